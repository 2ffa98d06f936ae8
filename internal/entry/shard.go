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

// shard is one ownership of a journal. It holds the journal, the programs in it, and the sidecars' reports of calls that
// earlier owners sent.
type shard struct {
	id            int
	store         *program.Store
	book          *orders.Book // Engine orders; used only in journal 0.
	journal       Journal
	journals      Journals
	ctx           context.Context // Cancelled when the ownership ends.
	cancel        context.CancelFunc
	commitSeconds *metrics.Summary // Duration of a commit.

	mu               sync.Mutex           // Guards the fields below.
	olderCalls       map[string]olderCall // By call id: calls that sidecars hold for earlier owners.
	reportedSidecars map[string]bool      // Sidecars that have reported their calls of earlier owners.
	pendingCommits   []time.Time          // Start times of the commits in progress, oldest first.
}

const (
	// stalledAfter is how long a commit may be in progress before new calls wait for it.
	stalledAfter = time.Second
	// stalledPoll is the time between two checks of a stalled journal.
	stalledPoll = 20 * time.Millisecond
)

// newShard returns a shard for the owned journal. The ownership lasts until the shard's cancel is called.
func newShard(
	id int, store *program.Store, book *orders.Book, owned Journal, journals Journals, commitSeconds *metrics.Summary,
) *shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &shard{
		id: id, store: store, book: book, journal: owned, journals: journals, ctx: ctx, cancel: cancel, commitSeconds: commitSeconds,
		olderCalls:       make(map[string]olderCall),
		reportedSidecars: make(map[string]bool),
	}
}

// stalled reports whether a commit has been in progress for longer than stalledAfter.
func (s *shard) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingCommits) > 0 && time.Since(s.pendingCommits[0]) > stalledAfter
}

// beginCommit records that a commit is in progress. The returned function records its end.
func (s *shard) beginCommit() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := time.Now()
	s.pendingCommits = append(s.pendingCommits, began)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if i := slices.Index(s.pendingCommits, began); i >= 0 {
			s.pendingCommits = slices.Delete(s.pendingCommits, i, i+1)
		}
	}
}

// olderCall is a call that an earlier owner sent to a sidecar and that the sidecar still holds.
type olderCall struct {
	sidecar string
	attempt int
}

// commit appends the record to the journal and returns when it is durable and applied. Records are applied in commit
// order. A record that ends a seq which has already ended has no effect, and commit returns an error.
func (s *shard) commit(ctx context.Context, r *program.Record) *api.Error {
	data, err := r.Encode()
	if err != nil {
		return api.Errorf(api.CodeBadRequest, "%v", err)
	}
	defer s.beginCommit()()
	defer s.commitSeconds.UpdateDuration(time.Now())
	var applied error
	if err := s.journal.AppendThen(ctx, data, func() { applied = s.store.Commit(r) }); err != nil {
		return s.commitError(r, err)
	}
	if applied != nil {
		return api.Errorf(api.CodeInterrupted, "program %s: %v; resend the same seq to read its answer", r.Program, applied)
	}
	return nil
}

// recordOlderCalls records a sidecar's report of the calls that earlier owners sent to it. Of several attempts of a call,
// the latest is kept.
func (s *shard) recordOlderCalls(sidecar string, calls []api.CallSummary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedSidecars[sidecar] = true
	for _, c := range calls {
		if c.State == api.SettleNever || c.State == api.SettleGone {
			continue
		}
		if known, ok := s.olderCalls[c.CallID]; !ok || known.attempt < c.Attempt {
			s.olderCalls[c.CallID] = olderCall{sidecar: sidecar, attempt: c.Attempt}
		}
	}
}

// earlierSendsKnown reports whether it is known what earlier owners sent for the call: either a sidecar holds the call, or
// all the given sidecars have reported and none of them holds it.
func (s *shard) earlierSendsKnown(callID string, sidecars []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.olderCalls[callID]; held {
		return true
	}
	for _, id := range sidecars {
		if !s.reportedSidecars[id] {
			return false
		}
	}
	return true
}

// takeOlderCall returns the call that an earlier owner sent, if a sidecar holds one, and removes it from the record.
func (s *shard) takeOlderCall(callID string) (olderCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.olderCalls[callID]
	delete(s.olderCalls, callID)
	return c, ok
}

// waitStoreReady waits for up to limit while the journal is stalled, then returns CodeStoreUnavailable. While the
// key-value service is away, new calls are thus refused before they run.
func (s *shard) waitStoreReady(ctx context.Context, limit time.Duration) *api.Error {
	deadline := time.Now().Add(limit)
	for s.stalled() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return api.Errorf(api.CodeStoreUnavailable, "the key-value service has not completed a commit of journal %d for %s", s.id, stalledAfter)
		}
		sleep(ctx, stalledPoll)
	}
	return nil
}

// ownedContext returns a context that ends with ctx or with the ownership.
func (s *shard) ownedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
