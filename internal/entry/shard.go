package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// shard is one ownership of a journal: the journal, the programs in it, and what sidecars reported of calls that an
// earlier owner began.
type shard struct {
	id       int
	store    *program.Store
	book     *orders.Book // Engine orders; used in journal 0.
	journal  Journal
	journals Journals
	ctx      context.Context // Ends when the ownership ends.
	cancel   context.CancelFunc
	commits  *metrics.Summary // Seconds that a commit took.

	mu      sync.Mutex // Guards the fields below.
	older   map[string]olderCall
	heard   map[string]bool // Sidecars that have reported the calls of earlier owners.
	pending []time.Time     // Starts of the commits under way, oldest first.
}

const (
	// stalledAfter is how long a commit may be under way before new calls wait.
	stalledAfter = time.Second
	// stalledPoll is the time between two looks at a stalled journal.
	stalledPoll = 20 * time.Millisecond
)

// newShard returns an ownership that lasts until cancel is called.
func newShard(
	id int, store *program.Store, book *orders.Book, owned Journal, journals Journals, commits *metrics.Summary,
) *shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &shard{
		id: id, store: store, book: book, journal: owned, journals: journals, ctx: ctx, cancel: cancel, commits: commits,
		older: make(map[string]olderCall),
		heard: make(map[string]bool),
	}
}

// stalled reports whether a commit has been under way for longer than stalledAfter.
func (s *shard) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0 && time.Since(s.pending[0]) > stalledAfter
}

// beginCommit notes a commit under way; the returned function notes its end.
func (s *shard) beginCommit() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := time.Now()
	s.pending = append(s.pending, began)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if i := slices.Index(s.pending, began); i >= 0 {
			s.pending = slices.Delete(s.pending, i, i+1)
		}
	}
}

// olderCall is a call that an earlier owner began and a sidecar still holds.
type olderCall struct {
	sidecar string
	attempt int
}

// commit appends the record, returns when it is durable, and applies it in commit order. A record that ends a seq which
// has already ended has no effect and is an error.
func (s *shard) commit(ctx context.Context, r *program.Record) *api.Error {
	data, err := r.Encode()
	if err != nil {
		return api.Errorf(api.CodeBadRequest, "%v", err)
	}
	defer s.beginCommit()()
	defer s.commits.UpdateDuration(time.Now())
	var applied error
	if err := s.journal.AppendThen(ctx, data, func() { applied = s.store.Commit(r) }); err != nil {
		return s.commitError(r, err)
	}
	if applied != nil {
		return api.Errorf(api.CodeInterrupted, "seq of program %s: %v; resend it to read its answer", r.Program, applied)
	}
	return nil
}

// noteOlder remembers the calls of earlier owners that a sidecar reported.
func (s *shard) noteOlder(sidecar string, calls []api.CallSummary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[sidecar] = true
	for _, c := range calls {
		if c.State == api.SettleNever || c.State == api.SettleGone {
			continue
		}
		if known, ok := s.older[c.CallID]; !ok || known.attempt < c.Attempt {
			s.older[c.CallID] = olderCall{sidecar: sidecar, attempt: c.Attempt}
		}
	}
}

// settled reports whether it is known what earlier owners sent for the call: a sidecar holds it, or every listed sidecar
// has reported and none does.
func (s *shard) settled(callID string, sidecars []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.older[callID]; held {
		return true
	}
	for _, id := range sidecars {
		if !s.heard[id] {
			return false
		}
	}
	return true
}

// takeOlder returns and forgets the older run of the call.
func (s *shard) takeOlder(callID string) (olderCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.older[callID]
	delete(s.older, callID)
	return c, ok
}

// storeReady waits, bounded by limit, until no commit has been under way for long, so that new calls are refused as
// not run while the key-value service is away.
func (s *shard) storeReady(ctx context.Context, limit time.Duration) *api.Error {
	deadline := time.Now().Add(limit)
	for s.stalled() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return api.Errorf(api.CodeStoreUnavailable, "the key-value service has not taken a commit of journal %d for %s", s.id, stalledAfter)
		}
		sleep(ctx, stalledPoll)
	}
	return nil
}

// owned returns a context that ends with ctx or with the ownership.
func (s *shard) owned(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
