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

// Store reads and writes the chain of configuration revisions and the audit trail in the key-value service. It has no
// mutable state and is safe for concurrent use.
type Store struct {
	kv      ports.KV
	now     func() time.Time
	backoff func(ctx context.Context, attempt int) bool // Waits before a retry; returns false if ctx has ended.
}

// NewStore returns a Store that uses kv. now supplies the timestamps of submissions and audit events.
func NewStore(kv ports.KV, now func() time.Time) *Store {
	return &Store{kv: kv, now: now, backoff: waitBackoff}
}

const (
	minBackoff = 20 * time.Millisecond // Delay before the first retry.
	maxBackoff = time.Second
)

// waitBackoff waits before a retry, twice as long after each attempt, up to maxBackoff.
func waitBackoff(ctx context.Context, attempt int) bool {
	pause.For(ctx, min(minBackoff<<min(attempt, 10), maxBackoff))
	return ctx.Err() == nil
}

// Snapshot is one revision with its configuration. Raw is the document as it was accepted. It may contain fields that
// this version of the program does not know.
type Snapshot struct {
	Entry  Entry           `json:"entry"`
	Config *Config         `json:"-"`
	Raw    json.RawMessage `json:"config"`
}

// UnmarshalJSON decodes the entry and compiles the configuration. Config is nil if the document has no configuration.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	type fields Snapshot // Without this method, which json.Unmarshal would call again.
	var decoded fields
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

// Head returns the newest revision. Its Revision is 0 if no configuration has been accepted yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	kv, err := s.kv.Get(ctx, keyHead)
	if err != nil {
		return Head{}, fmt.Errorf("read %s: %w", keyHead, err)
	}
	return decodeHead(kv)
}

// Get returns a revision with its configuration. Its error has CodeNotFound if the revision does not exist or is no
// longer kept, and CodeStoreUnavailable if the key-value service does not respond.
func (s *Store) Get(ctx context.Context, revision uint64) (Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Snapshot{}, asUnavailable(err)
	}
	entry, err := s.entryAt(ctx, head, revision)
	if err != nil {
		return Snapshot{}, err
	}
	return s.snapshot(ctx, entry)
}

// Fetch returns the newest revision with its configuration. Revision 0 has a nil Config. The error has CodeNotFound if
// the newest revision is lower than atLeast, and CodeStoreUnavailable if the key-value service does not respond.
func (s *Store) Fetch(ctx context.Context, atLeast uint64) (Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Snapshot{}, asUnavailable(err)
	}
	if head.Revision < atLeast {
		return Snapshot{}, api.Errorf(api.CodeNotFound, "the newest configuration revision is %d, not %d", head.Revision, atLeast)
	}
	if head.Revision == 0 {
		return Snapshot{}, nil
	}
	return s.snapshot(ctx, head.Entry)
}

// History returns up to limit of the newest entries, newest first. It ends early at a chunk that is no longer stored.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, asUnavailable(err)
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

// snapshot reads the configuration of an entry.
func (s *Store) snapshot(ctx context.Context, entry Entry) (Snapshot, error) {
	kv, err := s.kv.Get(ctx, keyPrefixSubmission+entry.Submission)
	if err != nil {
		return Snapshot{}, asUnavailable(fmt.Errorf("read submission %q: %w", entry.Submission, err))
	}
	if kv.Revision == 0 {
		return Snapshot{}, api.Errorf(api.CodeNotFound, "the configuration of revision %d is no longer stored", entry.Revision)
	}
	var record submissionRecord
	if err := decompressJSON(kv.Value, &record); err != nil {
		return Snapshot{}, fmt.Errorf("read submission %q: %w", entry.Submission, err)
	}
	return decodeSnapshot(entry, record.Config)
}

// decodeSnapshot decodes an accepted configuration. It ignores unknown fields, so that a process that is not yet
// upgraded can use a configuration written by a newer version.
func decodeSnapshot(entry Entry, data json.RawMessage) (Snapshot, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return Snapshot{}, fmt.Errorf("decode configuration revision %d: %w", entry.Revision, err)
	}
	return Snapshot{Entry: entry, Config: c.Compile(), Raw: data}, nil
}

// entryAt returns the entry of a revision from the head or from a chunk. Its error has CodeNotFound if the revision
// does not exist or its entry is no longer stored.
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
	return Entry{}, api.Errorf(api.CodeNotFound, "the entry of configuration revision %d is no longer stored", revision)
}

// chunkAt returns the entries of the chunk that holds the revision, or none if the chunk does not exist.
func (s *Store) chunkAt(ctx context.Context, revision uint64) ([]Entry, error) {
	key := chunkKey(chunkStart(revision))
	kv, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, asUnavailable(fmt.Errorf("read %s: %w", key, err))
	}
	if kv.Revision == 0 {
		return nil, nil
	}
	var c chunk
	if err := decompressJSON(kv.Value, &c); err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	return c.Entries, nil
}

// asUnavailable returns the api.Error that err wraps, if any, and otherwise an error with CodeStoreUnavailable.
func asUnavailable(err error) error {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return api.Errorf(api.CodeStoreUnavailable, "%v", err)
}
