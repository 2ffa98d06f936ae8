package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Spacing of repeated writes and reads while the key-value service fails.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// maxTimeoutGrowth is how many times the timeout of an attempt doubles, so that a slow service gets to answer.
const maxTimeoutGrowth = 4

// writeOutcome says what became of a slot's write.
type writeOutcome int

// Outcomes of a write.
const (
	writeCommitted writeOutcome = iota
	writeLost                   // Another write holds the slot, or the ring has wrapped past it.
	writeNone                   // No attempt had or will have an effect.
	writeUnknown                // An attempt may have an effect, now or later.
)

// writeResult is the end of a slot's write.
type writeResult struct {
	outcome  writeOutcome
	revision int64 // Of the committed slot.
	stored   int   // Size of the slot's stored form, in bytes.
	winner   slot  // What the key holds instead, of writeLost.
	err      error // Why the write ended, of writeNone and writeUnknown.
}

// slotWrite is one write of one slot. It is repeated unchanged until its outcome is known: an attempt without an answer
// may take effect at any later time, so that its absence proves nothing, while the taken slot proves whose it is.
type slotWrite struct {
	ring     ring
	pacer    *Pacer
	timeout  time.Duration // Of an attempt after none has failed.
	failed   int           // Attempts that have failed, with those of earlier writes to a slow service.
	header   header
	value    []byte
	expected int64 // Revision of the key that the slot replaces.
}

// run writes the slot. The caller has waited for the pacer once. Only the end of ctx or a provably ineffective first
// attempt leaves the slot open.
func (w *slotWrite) run(ctx context.Context) writeResult {
	delays := newRetryDelays()
	ambiguous := false
	for ; ; w.failed++ {
		kv, swapped, err := w.attempt(ctx, growTimeout(w.timeout, w.failed))
		writeAttempts.Inc()
		switch {
		case err == nil && swapped:
			slotsCommitted[w.header.Kind].Inc()
			return writeResult{outcome: writeCommitted, revision: kv.Revision}
		case err == nil:
			result, settled := w.inspect(kv)
			if settled {
				return result
			}
		case provesNoEffect(err):
			if !ambiguous {
				return writeResult{outcome: writeNone, err: err}
			}
		default:
			writesUnanswered.Inc()
			ambiguous = true
		}
		if waitErr := w.pause(ctx, delays, err); waitErr != nil {
			return w.abandoned(ambiguous, waitErr)
		}
	}
}

// provesNoEffect reports whether a failed write has had no effect and never will.
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

// inspect settles a refused compare-and-swap by what the key holds. An older slot means that the expected revision was
// read before that slot was written: the write is tried again against the revision found.
func (w *slotWrite) inspect(kv ports.KeyValue) (writeResult, bool) {
	kv.Key = w.ring.key(w.header.Slot)
	if kv.Revision == 0 {
		err := &CorruptError{Key: kv.Key, Reason: "key of a written slot does not exist"}
		return writeResult{outcome: writeUnknown, err: err}, true
	}
	found, err := w.ring.decode(kv)
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

// pause waits before the next attempt: not at all after a refusal by revision, which answers at once.
func (w *slotWrite) pause(ctx context.Context, delays backoff.BackOff, cause error) error {
	if cause != nil {
		if err := sleep(ctx, delays.NextBackOff()); err != nil {
			return fmt.Errorf("%w; last attempt: %w", err, cause)
		}
	}
	return w.pacer.Wait(ctx)
}

func (w *slotWrite) abandoned(ambiguous bool, err error) writeResult {
	if ambiguous {
		return writeResult{outcome: writeUnknown, err: err}
	}
	return writeResult{outcome: writeNone, err: err}
}

// newRetryDelays returns growing delays between attempts at the key-value service.
func newRetryDelays() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	b.Reset()
	return b
}

// growTimeout returns the timeout of an attempt after a number of failed ones.
func growTimeout(timeout time.Duration, failed int) time.Duration {
	return timeout << min(failed, maxTimeoutGrowth)
}

// retry calls f with a growing timeout for each attempt until it succeeds, ctx ends or the error is not one of the service.
func retry(ctx context.Context, timeout time.Duration, pacer *Pacer, f func(context.Context) error) error {
	delays := newRetryDelays()
	for attempts := 0; ; attempts++ {
		if err := pacer.Wait(ctx); err != nil {
			return err
		}
		attempt, cancel := context.WithTimeout(ctx, growTimeout(timeout, attempts))
		err := f(attempt)
		cancel()
		if err == nil || permanent(err) {
			return err
		}
		if waitErr := sleep(ctx, delays.NextBackOff()); waitErr != nil {
			return fmt.Errorf("%w; last attempt: %w", waitErr, err)
		}
	}
}

// permanent reports whether repeating cannot help.
func permanent(err error) bool {
	return errors.Is(err, ErrCorrupt) ||
		errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrTaken) ||
		errors.Is(err, ports.ErrTooLarge)
}
