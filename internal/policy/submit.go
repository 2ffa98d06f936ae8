package policy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// submitTimeout bounds a submission whose context has no deadline.
const submitTimeout = 15 * time.Second

var idempotencyKeyRegexp = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// Submission asks for a configuration to take the place of revision Base.
type Submission struct {
	Config *Config
	Base   uint64 // The revision that the author started from; 0 when there is none yet.
	Author string
	Reason string
	// IdempotencyKey names the submission. Resending the same submission gives the same answer.
	IdempotencyKey string
}

// attempt is a submission on its way. head is the head that it was last seen to follow.
type attempt struct {
	id     string
	digest string
	base   uint64
	record []byte // Value under the submission's key.
	entry  Entry
	stored bool // The record is known to be stored.
}

// Submit accepts the submission as revision Base+1 or says why not. Its error is an *api.Error: CodeConfigInvalid,
// CodeConfigConflict naming the revision that won and its author, CodeBodyMismatch when the idempotency key was used
// for another submission, or CodeConfigUncertain when the key-value service did not settle it in time. After
// CodeConfigUncertain the same submission sent again says whether it was accepted.
func (s *Store) Submit(ctx context.Context, sub Submission) (Entry, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, submitTimeout)
		defer cancel()
	}
	a, err := s.prepare(sub)
	if err != nil {
		return Entry{}, err
	}
	var last error
	for try := 0; try == 0 || s.pause(ctx, try-1); try++ {
		entry, settled, err := s.step(ctx, a)
		if settled && err == nil {
			s.trim(ctx, entry.Revision)
		}
		if settled {
			return entry, err
		}
		last = err
	}
	return Entry{}, api.Errorf(api.CodeConfigUncertain,
		"it is not known whether the submission was accepted as revision %d; send the same submission again to learn it (%v)", sub.Base+1, last)
}

func (s *Store) prepare(sub Submission) (*attempt, error) {
	if err := sub.check(); err != nil {
		return nil, err
	}
	config, err := json.Marshal(sub.Config)
	if err != nil {
		return nil, api.Errorf(api.CodeConfigInvalid, "encode configuration: %v", err)
	}
	if len(config) > MaxConfigBytes {
		return nil, api.Errorf(api.CodeConfigInvalid, "configuration has %d bytes; the limit is %d", len(config), MaxConfigBytes)
	}
	a := &attempt{id: submissionID(sub.Base, sub.IdempotencyKey), base: sub.Base}
	a.digest = digest(config, sub.Author, sub.Reason)
	a.entry = Entry{
		Revision:   sub.Base + 1,
		Submission: a.id,
		Author:     sub.Author,
		Reason:     sub.Reason,
		TimeMS:     s.now().UnixMilli(),
		Digest:     a.digest,
	}
	a.record, err = pack(submissionRecord{Entry: a.entry, Config: config})
	if err != nil {
		return nil, api.Errorf(api.CodeConfigInvalid, "%v", err)
	}
	if len(a.record) > ports.MaxValueBytes {
		return nil, api.Errorf(api.CodeConfigInvalid, "configuration has %d bytes when compressed; the limit is %d", len(a.record), ports.MaxValueBytes)
	}
	return a, nil
}

func (sub Submission) check() error {
	if sub.Config == nil {
		return api.Errorf(api.CodeConfigInvalid, "the submission has no configuration")
	}
	if faults := sub.Config.Validate(); len(faults) > 0 {
		return api.Errorf(api.CodeConfigInvalid, "%v", faults)
	}
	if !idempotencyKeyRegexp.MatchString(sub.IdempotencyKey) {
		return api.Errorf(api.CodeBadRequest, "idempotency key %q is not 8 to 64 letters, digits, hyphens or underscores", sub.IdempotencyKey)
	}
	if n := len(strings.TrimSpace(sub.Author)); n == 0 || n > maxAuthorBytes {
		return api.Errorf(api.CodeBadRequest, "the author has %d bytes; it must have 1 to %d", n, maxAuthorBytes)
	}
	if n := len(strings.TrimSpace(sub.Reason)); n == 0 || n > maxReasonBytes {
		return api.Errorf(api.CodeBadRequest, "the reason has %d bytes; it must have 1 to %d", n, maxReasonBytes)
	}
	return nil
}

func digest(config []byte, author, reason string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d %d\n%s%s%s", len(config), len(author), len(reason), config, author, reason)
	return hex.EncodeToString(h.Sum(nil))
}

// step reads the head and, when the submission is still open, tries to move it once. It reports whether the outcome is
// settled; an error without that is worth another step.
func (s *Store) step(ctx context.Context, a *attempt) (Entry, bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	if head.Revision != a.base {
		return s.verdict(ctx, a, head)
	}
	if err := s.storeRecord(ctx, a); err != nil {
		return Entry{}, isRefusal(err), err
	}
	a.entry.Predecessor = head.Submission
	next, spill := head.next(a.entry)
	if err := s.storeChunk(ctx, spill); err != nil {
		return Entry{}, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Entry{}, true, fmt.Errorf("encode %s: %w", keyHead, err)
	}
	_, moved, err := s.kv.CompareAndSwap(ctx, keyHead, value, head.modRevision, 0)
	if err != nil {
		return Entry{}, false, fmt.Errorf("move %s to revision %d: %w", keyHead, next.Revision, err)
	}
	if moved {
		return a.entry, true, nil
	}
	return Entry{}, false, fmt.Errorf("move %s to revision %d: it has moved meanwhile", keyHead, next.Revision)
}

// verdict settles a submission whose base is not the head. The revision after the base never changes once it exists.
func (s *Store) verdict(ctx context.Context, a *attempt, head Head) (Entry, bool, error) {
	if head.Revision < a.base {
		return Entry{}, true, api.Errorf(api.CodeConfigConflict, "base revision %d does not exist; the newest is %d", a.base, head.Revision)
	}
	winner, err := s.entryAt(ctx, head, a.base+1)
	if err != nil {
		refused := api.AsError(err, api.CodeStoreUnavailable).Code == api.CodeNotFound
		if refused {
			err = api.Errorf(api.CodeConfigConflict, "base revision %d is too old; the newest is %d", a.base, head.Revision)
		}
		return Entry{}, refused, err
	}
	if winner.Submission != a.id {
		return Entry{}, true, conflict(winner, head)
	}
	if winner.Digest != a.digest {
		return Entry{}, true, keyReused(a.id)
	}
	return winner, true, nil
}

func conflict(winner Entry, head Head) *api.Error {
	at := time.UnixMilli(winner.TimeMS).UTC().Format(time.RFC3339)
	message := fmt.Sprintf("revision %d was taken by %s at %s (%s)", winner.Revision, winner.Author, at, winner.Reason)
	if head.Revision != winner.Revision {
		message += fmt.Sprintf("; the newest is %d by %s", head.Revision, head.Author)
	}
	return api.Errorf(api.CodeConfigConflict, "%s", message)
}

func keyReused(id string) *api.Error {
	return api.Errorf(api.CodeBodyMismatch, "the idempotency key of submission %q was used for another submission", id)
}

// storeRecord makes sure that the submission's record is stored, and takes over the time of the one that is.
func (s *Store) storeRecord(ctx context.Context, a *attempt) error {
	if a.stored {
		return nil
	}
	kv, created, err := s.kv.CompareAndSwap(ctx, keyPrefixSubmission+a.id, a.record, 0, 0)
	if errors.Is(err, ports.ErrTooLarge) {
		return api.Errorf(api.CodeConfigInvalid, "store submission: %v", err)
	}
	if err != nil {
		return fmt.Errorf("store submission %q: %w", a.id, err)
	}
	if !created {
		var record submissionRecord
		if err := unpack(kv.Value, &record); err != nil {
			return fmt.Errorf("read submission %q: %w", a.id, err)
		}
		if record.Digest != a.digest {
			return keyReused(a.id)
		}
		a.entry.TimeMS = record.TimeMS
	}
	a.stored = true
	return nil
}

// storeChunk writes entries that the next head leaves out. An existing chunk holds the same entries.
func (s *Store) storeChunk(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	value, err := pack(chunk{Entries: entries})
	if err != nil {
		return err
	}
	key := chunkKey(entries[0].Revision)
	if _, _, err := s.kv.CompareAndSwap(ctx, key, value, 0, 0); err != nil {
		return fmt.Errorf("store %s: %w", key, err)
	}
	return nil
}

func isRefusal(err error) bool {
	var e *api.Error
	return errors.As(err, &e)
}
