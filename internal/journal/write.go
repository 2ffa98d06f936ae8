package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Delays between retries of writes and reads while the key-value service fails.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// maxTimeoutDoublings is how often the timeout of an attempt may double, so that a slow service can answer in time.
const maxTimeoutDoublings = 4

// writeOutcome is the outcome of writing a slot.
type writeOutcome int

// Outcomes of a write.
const (
	writeCommitted writeOutcome = iota
	writeLost                   // The key holds another write of this slot, or a later slot after the ring has wrapped.
	writeNoEffect               // No attempt has had or will have an effect.
	writeUnknown                // An attempt may take effect now or later.
)

// writeResult is the result of writing a slot.
type writeResult struct {
	outcome     writeOutcome
	revision    int64 // Revision of the key; set with writeCommitted.
	storedBytes int   // Size of the slot's stored value.
	winner      slot  // Slot that the key holds instead; set with writeLost.
	err         error // Why the write ended; set with writeNoEffect and writeUnknown.
}

// slotWrite is the write of one slot. The same value is written again until the outcome is known. An unanswered attempt
// may take effect at any later time, so finding the slot unwritten proves nothing. A written slot proves who wrote it.
type slotWrite struct {
	ring           ring
	pacer          *Pacer
	timeout        time.Duration // Timeout of an attempt when no attempts have failed.
	failedAttempts int           // Failed attempts, including those counted from earlier writes to a slow service.
	header         header
	value          []byte
	expected       int64 // Revision of the key that the write replaces.
}

// run writes the slot. The caller must have waited for the pacer once. The outcome is known to be committed or lost
// unless ctx ends, the key holds corrupt data, or an attempt provably had no effect and no earlier one is unanswered.
func (w *slotWrite) run(ctx context.Context) writeResult {
	delays := newRetryDelays()
	ambiguous := false
	for ; ; w.failedAttempts++ {
		kv, swapped, err := w.attempt(ctx, growTimeout(w.timeout, w.failedAttempts))
		writeAttempts.Inc()
		switch {
		case err == nil && swapped:
			slotsCommitted[w.header.Kind].Inc()
			return writeResult{outcome: writeCommitted, revision: kv.Revision}
		case err == nil:
			result, known := w.resolveConflict(kv)
			if known {
				return result
			}
		case provesNoEffect(err):
			if !ambiguous {
				return writeResult{outcome: writeNoEffect, err: err}
			}
		default:
			writesUnanswered.Inc()
			ambiguous = true
		}
		if waitErr := w.waitForRetry(ctx, delays, err); waitErr != nil {
			return w.interruptedResult(ambiguous, waitErr)
		}
	}
}

// provesNoEffect reports whether the error proves that a write has had no effect and never will have one.
func provesNoEffect(err error) bool {
	if errors.Is(err, ports.ErrAmbiguous) {
		return false
	}
	return errors.Is(err, ports.ErrTooLarge) || errors.Is(err, ports.ErrUnavailable)
}

func (w *slotWrite) attempt(ctx context.Context, timeout time.Duration) (ports.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.ring.kv.CompareAndSwap(ctx, w.ring.key(w.header.Slot), w.value, w.expected, 0)
}

// resolveConflict determines the outcome after a failed compare-and-swap from what the key holds; it returns false if
// the write has to be tried again. An older slot means that the expected revision was read before that slot was
// written, so the next attempt expects the revision found.
func (w *slotWrite) resolveConflict(kv ports.KeyValue) (writeResult, bool) {
	kv.Key = w.ring.key(w.header.Slot)
	if kv.Revision == 0 {
		err := &CorruptError{Key: kv.Key, Reason: "key of a written slot does not exist"}
		return writeResult{outcome: writeUnknown, err: err}, true
	}
	found, err := w.ring.decodeChecked(kv)
	if err != nil {
		return writeResult{outcome: writeUnknown, err: err}, true
	}
	switch {
	case found.Write == w.header.Write:
		slotsCommitted[w.header.Kind].Inc()
		return writeResult{outcome: writeCommitted, revision: kv.Revision}, true
	case found.Slot < w.header.Slot:
		w.expected = kv.Revision
		return writeResult{}, false
	default:
		return writeResult{outcome: writeLost, winner: found}, true
	}
}

// waitForRetry waits for the pacer before the next attempt. After a failed request it first waits for a growing delay. A
// compare-and-swap that failed on the revision is retried without that delay, because the service has answered.
func (w *slotWrite) waitForRetry(ctx context.Context, delays backoff.BackOff, cause error) error {
	if cause != nil {
		if err := sleep(ctx, delays.NextBackOff()); err != nil {
			return fmt.Errorf("%w; last attempt: %w", err, cause)
		}
	}
	return w.pacer.Wait(ctx)
}

// interruptedResult returns the result of a write that ended before its outcome was known.
func (w *slotWrite) interruptedResult(ambiguous bool, err error) writeResult {
	if ambiguous {
		return writeResult{outcome: writeUnknown, err: err}
	}
	return writeResult{outcome: writeNoEffect, err: err}
}

// newRetryDelays returns the growing delays between attempts of a request to the key-value service.
func newRetryDelays() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	b.Reset()
	return b
}

// growTimeout returns the timeout of an attempt after a number of failed attempts.
func growTimeout(timeout time.Duration, failed int) time.Duration {
	return timeout << min(failed, maxTimeoutDoublings)
}

// retry calls f until it succeeds, ctx ends or the error is permanent. It waits for the pacer before each attempt. The
// timeout of the attempts grows.
func retry(ctx context.Context, timeout time.Duration, pacer *Pacer, f func(context.Context) error) error {
	delays := newRetryDelays()
	for attempts := 0; ; attempts++ {
		if err := pacer.Wait(ctx); err != nil {
			return err
		}
		attempt, cancel := context.WithTimeout(ctx, growTimeout(timeout, attempts))
		err := f(attempt)
		cancel()
		if err == nil || isPermanent(err) {
			return err
		}
		if waitErr := sleep(ctx, delays.NextBackOff()); waitErr != nil {
			return fmt.Errorf("%w; last attempt: %w", waitErr, err)
		}
	}
}

// isPermanent reports whether a retry cannot succeed.
func isPermanent(err error) bool {
	return errors.Is(err, ErrCorrupt) ||
		errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrOpenConflict) ||
		errors.Is(err, ports.ErrTooLarge)
}
