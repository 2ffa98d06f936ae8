package policy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Store keeps the chain of configuration revisions and the audit trail in the key-value service. It holds no state of
// its own and is safe for concurrent use.
type Store struct {
	kv    ports.KV
	now   func() time.Time
	pause func(ctx context.Context, attempt int) bool // Waits before a retry; false when ctx has ended.
}

// NewStore returns a Store over kv. The clock gives the time of submissions and audit events.
func NewStore(kv ports.KV, now func() time.Time) *Store {
	return &Store{kv: kv, now: now, pause: pauseWithBackoff}
}

const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

func pauseWithBackoff(ctx context.Context, attempt int) bool {
	pause.For(ctx, min(firstPause<<min(attempt, 10), maxPause))
	return ctx.Err() == nil
}

// Snapshot is one revision with its configuration. Raw is the document as it was accepted, with fields that this
// version of the program may not know.
type Snapshot struct {
	Entry  Entry           `json:"entry"`
	Config *Config         `json:"-"`
	Raw    json.RawMessage `json:"config"`
}

// UnmarshalJSON decodes the entry and the configuration, ready for use. Config stays nil when there is none.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	type plain Snapshot
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*s = Snapshot(decoded)
	if len(s.Raw) == 0 || string(s.Raw) == "null" {
		s.Raw = nil
		return nil
	}
	accepted, err := decodeSnapshot(s.Entry, s.Raw)
	*s = accepted
	return err
}

// Head returns the newest revision; its Revision is 0 when no configuration was ever accepted.
func (s *Store) Head(ctx context.Context) (Head, error) {
	kv, err := s.kv.Get(ctx, keyHead)
	if err != nil {
		return Head{}, fmt.Errorf("read %s: %w", keyHead, err)
	}
	return decodeHead(kv)
}

// Get returns the revision with its configuration. Its error is CodeNotFound for a revision that does not exist or is
// older than the retention, and CodeStoreUnavailable when the key-value service does not answer.
func (s *Store) Get(ctx context.Context, revision uint64) (Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Snapshot{}, unavailable(err)
	}
	entry, err := s.entryAt(ctx, head, revision)
	if err != nil {
		return Snapshot{}, err
	}
	return s.snapshot(ctx, entry)
}

// Fetch returns the newest revision if it is at least atLeast. Revision 0 comes with a nil Config.
func (s *Store) Fetch(ctx context.Context, atLeast uint64) (Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Snapshot{}, unavailable(err)
	}
	if head.Revision < atLeast {
		return Snapshot{}, api.Errorf(api.CodeNotFound, "the newest configuration revision is %d, not %d", head.Revision, atLeast)
	}
	if head.Revision == 0 {
		return Snapshot{}, nil
	}
	return s.snapshot(ctx, head.Entry)
}

// History returns the newest entries, newest first, at most limit of them.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	var out []Entry
	for revision := head.Revision; revision > 0 && len(out) < limit; revision-- {
		if e, ok := head.find(revision); ok {
			out = append(out, e)
			continue
		}
		older, err := s.chunkAt(ctx, revision)
		if err != nil {
			return nil, err
		}
		for i := len(older) - 1; i >= 0 && len(out) < limit; i-- {
			out = append(out, older[i])
		}
		revision = chunkStart(revision)
		if len(older) == 0 {
			break
		}
	}
	return out, nil
}

func (s *Store) snapshot(ctx context.Context, entry Entry) (Snapshot, error) {
	kv, err := s.kv.Get(ctx, keyPrefixSubmission+entry.Submission)
	if err != nil {
		return Snapshot{}, unavailable(fmt.Errorf("read submission %q: %w", entry.Submission, err))
	}
	if kv.Revision == 0 {
		return Snapshot{}, api.Errorf(api.CodeNotFound, "the configuration of revision %d is no longer kept", entry.Revision)
	}
	var record submissionRecord
	if err := unpack(kv.Value, &record); err != nil {
		return Snapshot{}, fmt.Errorf("read submission %q: %w", entry.Submission, err)
	}
	return decodeSnapshot(entry, record.Config)
}

// decodeSnapshot reads an accepted configuration. It passes over unknown fields, so that a process that is not yet
// upgraded keeps serving under a configuration written by a newer one.
func decodeSnapshot(entry Entry, data json.RawMessage) (Snapshot, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return Snapshot{}, fmt.Errorf("decode configuration revision %d: %w", entry.Revision, err)
	}
	return Snapshot{Entry: entry, Config: c.Compile(), Raw: data}, nil
}

// entryAt returns the entry of a revision at or below the head.
func (s *Store) entryAt(ctx context.Context, head Head, revision uint64) (Entry, error) {
	if e, ok := head.find(revision); ok && revision > 0 {
		return e, nil
	}
	if revision == 0 || revision > head.Revision {
		return Entry{}, api.Errorf(api.CodeNotFound, "configuration revision %d does not exist; the newest is %d", revision, head.Revision)
	}
	entries, err := s.chunkAt(ctx, revision)
	if err != nil {
		return Entry{}, err
	}
	for _, e := range entries {
		if e.Revision == revision {
			return e, nil
		}
	}
	return Entry{}, api.Errorf(api.CodeNotFound, "the entry of configuration revision %d is no longer kept", revision)
}

// chunkAt returns the entries of the chunk that holds the revision, or none when it is no longer kept.
func (s *Store) chunkAt(ctx context.Context, revision uint64) ([]Entry, error) {
	key := chunkKey(chunkStart(revision))
	kv, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, unavailable(fmt.Errorf("read %s: %w", key, err))
	}
	if kv.Revision == 0 {
		return nil, nil
	}
	var c chunk
	if err := unpack(kv.Value, &c); err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	return c.Entries, nil
}

func unavailable(err error) error {
	var known *api.Error
	if errors.As(err, &known) {
		return known
	}
	return api.Errorf(api.CodeStoreUnavailable, "%v", err)
}
