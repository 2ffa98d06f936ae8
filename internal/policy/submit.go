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

// submitTimeout is the timeout of a submission whose context has no deadline.
const submitTimeout = 15 * time.Second

var idempotencyKeyRegexp = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// Submission is a request to replace the configuration of revision Base.
type Submission struct {
	Config *Config
	Base   uint64 // The revision that Config was derived from; 0 if there is none yet.
	Author string
	Reason string
	// IdempotencyKey identifies the submission. Sending the same submission again returns the same result.
	IdempotencyKey string
}

// submissionState is a submission in progress.
type submissionState struct {
	id     string
	digest string // As in Entry.Digest.
	base   uint64
	record []byte // Value of the submission's key.
	entry  Entry  // Becomes the head's entry if the submission is accepted.
	stored bool   // Whether the record is known to be stored.
}

// Submit accepts the submission as revision Base+1 or returns the reason for rejecting it. Its error is an *api.Error:
//   - CodeConfigInvalid: the configuration is invalid.
//   - CodeBadRequest: the idempotency key, the author or the reason is invalid.
//   - CodeConfigConflict: Base is not the newest revision. The message names the revision that replaced it and its author.
//   - CodeBodyMismatch: the idempotency key was used for a different submission.
//   - CodeConfigUncertain: the key-value service did not confirm the outcome in time. Sending the same submission again
//     returns whether it was accepted.
func (s *Store) Submit(ctx context.Context, sub Submission) (Entry, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, submitTimeout)
		defer cancel()
	}
	state, err := s.prepare(sub)
	if err != nil {
		return Entry{}, err
	}
	var lastErr error
	for try := 0; try == 0 || s.backoff(ctx, try-1); try++ {
		entry, settled, err := s.trySubmit(ctx, state)
		if settled && err == nil {
			s.trim(ctx, entry.Revision)
		}
		if settled {
			return entry, err
		}
		lastErr = err
	}
	return Entry{}, api.Errorf(api.CodeConfigUncertain,
		"it is unknown whether the submission was accepted as revision %d; send the same submission again to find out (%v)", sub.Base+1, lastErr)
}

// prepare validates the submission and encodes its record.
func (s *Store) prepare(sub Submission) (*submissionState, error) {
	if err := sub.validate(); err != nil {
		return nil, err
	}
	config, err := json.Marshal(sub.Config)
	if err != nil {
		return nil, api.Errorf(api.CodeConfigInvalid, "encode configuration: %v", err)
	}
	if len(config) > MaxConfigBytes {
		return nil, api.Errorf(api.CodeConfigInvalid, "configuration has %d bytes; the limit is %d", len(config), MaxConfigBytes)
	}
	state := &submissionState{id: submissionID(sub.Base, sub.IdempotencyKey), base: sub.Base}
	state.digest = digest(config, sub.Author, sub.Reason)
	state.entry = Entry{
		Revision:   sub.Base + 1,
		Submission: state.id,
		Author:     sub.Author,
		Reason:     sub.Reason,
		TimeMS:     s.now().UnixMilli(),
		Digest:     state.digest,
	}
	state.record, err = compressJSON(submissionRecord{Entry: state.entry, Config: config})
	if err != nil {
		return nil, api.Errorf(api.CodeConfigInvalid, "%v", err)
	}
	if len(state.record) > ports.MaxValueBytes {
		return nil, api.Errorf(api.CodeConfigInvalid, "configuration has %d bytes when compressed; the limit is %d", len(state.record), ports.MaxValueBytes)
	}
	return state, nil
}

func (sub Submission) validate() error {
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

// digest returns the SHA-256 hash that distinguishes submissions with the same idempotency key.
func digest(config []byte, author, reason string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d %d\n%s%s%s", len(config), len(author), len(reason), config, author, reason)
	return hex.EncodeToString(h.Sum(nil))
}

// trySubmit reads the head and, if it is still the submission's base, makes one attempt to replace it. The bool result
// reports whether the outcome is final. An error with a false result can be retried.
func (s *Store) trySubmit(ctx context.Context, state *submissionState) (Entry, bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	if head.Revision != state.base {
		return s.resolveOutdated(ctx, state, head)
	}
	if err := s.storeRecord(ctx, state); err != nil {
		return Entry{}, isAPIError(err), err
	}
	state.entry.Predecessor = head.Submission
	next, overflow := head.next(state.entry)
	if err := s.storeChunk(ctx, overflow); err != nil {
		return Entry{}, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Entry{}, true, fmt.Errorf("encode %s: %w", keyHead, err)
	}
	_, swapped, err := s.kv.CompareAndSwap(ctx, keyHead, value, head.modRevision, 0)
	if err != nil {
		return Entry{}, false, fmt.Errorf("update %s to revision %d: %w", keyHead, next.Revision, err)
	}
	if swapped {
		return state.entry, true, nil
	}
	return Entry{}, false, fmt.Errorf("update %s to revision %d: modified concurrently", keyHead, next.Revision)
}

// resolveOutdated determines the outcome of a submission whose base is not the head. The revision after the base
// decides: once it exists, it never changes. The bool result reports whether the outcome is final.
func (s *Store) resolveOutdated(ctx context.Context, state *submissionState, head Head) (Entry, bool, error) {
	if head.Revision < state.base {
		return Entry{}, true, api.Errorf(api.CodeConfigConflict, "base revision %d does not exist; the newest is %d", state.base, head.Revision)
	}
	winner, err := s.entryAt(ctx, head, state.base+1)
	if err != nil {
		notFound := api.AsError(err, api.CodeStoreUnavailable).Code == api.CodeNotFound
		if notFound {
			err = api.Errorf(api.CodeConfigConflict, "base revision %d is too old; the newest is %d", state.base, head.Revision)
		}
		return Entry{}, notFound, err
	}
	if winner.Submission != state.id {
		return Entry{}, true, conflictError(winner, head)
	}
	if winner.Digest != state.digest {
		return Entry{}, true, keyReusedError(state.id)
	}
	return winner, true, nil
}

// conflictError names the revision that replaced the base and, if there are later ones, the newest revision.
func conflictError(winner Entry, head Head) *api.Error {
	at := time.UnixMilli(winner.TimeMS).UTC().Format(time.RFC3339)
	message := fmt.Sprintf("revision %d was taken by %s at %s (%s)", winner.Revision, winner.Author, at, winner.Reason)
	if head.Revision != winner.Revision {
		message += fmt.Sprintf("; the newest is %d by %s", head.Revision, head.Author)
	}
	return api.Errorf(api.CodeConfigConflict, "%s", message)
}

func keyReusedError(id string) *api.Error {
	return api.Errorf(api.CodeBodyMismatch, "the idempotency key of submission %q was used for a different submission", id)
}

// storeRecord stores the submission's record unless it exists. It uses the timestamp of an existing record, so that a
// retry yields the same entry.
func (s *Store) storeRecord(ctx context.Context, state *submissionState) error {
	if state.stored {
		return nil
	}
	kv, created, err := s.kv.CompareAndSwap(ctx, keyPrefixSubmission+state.id, state.record, 0, 0)
	if errors.Is(err, ports.ErrTooLarge) {
		return api.Errorf(api.CodeConfigInvalid, "store submission: %v", err)
	}
	if err != nil {
		return fmt.Errorf("store submission %q: %w", state.id, err)
	}
	if !created {
		var record submissionRecord
		if err := decompressJSON(kv.Value, &record); err != nil {
			return fmt.Errorf("read submission %q: %w", state.id, err)
		}
		if record.Digest != state.digest {
			return keyReusedError(state.id)
		}
		state.entry.TimeMS = record.TimeMS
	}
	state.stored = true
	return nil
}

// storeChunk stores the entries that the next head no longer holds. An existing chunk holds the same entries and is
// kept.
func (s *Store) storeChunk(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	value, err := compressJSON(chunk{Entries: entries})
	if err != nil {
		return err
	}
	key := chunkKey(entries[0].Revision)
	if _, _, err := s.kv.CompareAndSwap(ctx, key, value, 0, 0); err != nil {
		return fmt.Errorf("store %s: %w", key, err)
	}
	return nil
}

// isAPIError reports whether err is an api.Error, which is a final rejection. Errors of the key-value service are not.
func isAPIError(err error) bool {
	var e *api.Error
	return errors.As(err, &e)
}
