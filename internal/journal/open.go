package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Open makes the caller the owner of the journal and recovers its state. It finds the newest slot, writes an open
// record after it and only then reads the slots before the open record, because they can no longer change. The slot
// number of the open record is the owner's fencing number.
//
// Failed requests are retried until ctx ends. Open returns an OpenConflictError if another new owner was faster; the
// caller decides whether to replace that one. After any other error the open record may have been written.
func Open(ctx context.Context, o Options) (*Journal, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	t := &takeover{options: o, ring: ring{kv: o.KV, id: o.ID, slots: o.RingSlots}}
	opened, err := t.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("open journal %d: %w", o.ID, err)
	}
	start := time.Now()
	recovered, err := t.recoverState(ctx, opened)
	if errors.Is(err, ErrCorrupt) {
		err = t.diagnoseCorruption(ctx, opened, err)
	}
	if err != nil {
		return nil, fmt.Errorf("recover journal %d: %w", o.ID, err)
	}
	recoverySeconds.UpdateDuration(start)
	recoverySlots.Add(int(opened.header.Slot - opened.header.Cover - 1))
	return newJournal(o, t.ring, opened, recovered), nil
}

// diagnoseCorruption returns the error for an apparent corruption during recovery. A newer owner may delete chunks and
// overwrite slots, so the result is an OpenConflictError if there is one, and cause otherwise.
func (t *takeover) diagnoseCorruption(ctx context.Context, o openRecord, cause error) error {
	view, err := t.view(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("%v; cannot check for a newer owner: %w", cause, err)
	case view.newest.Fence > o.header.Fence:
		return t.conflictWith(view.newest)
	default:
		return cause
	}
}

// takeover is one call of Open.
type takeover struct {
	options    Options
	ring       ring
	listedKeys []ports.KeyValue // Keys and values of the ring by index if one request has read them all; else nil.
}

// openRecord is a committed open record with what was known of the ring when it was written.
type openRecord struct {
	header    header
	revisions []int64
	sizes     ringSizes
}

// open writes the open record. If the previous owner wrote the slot first, it starts again from the new state of the
// ring.
func (t *takeover) open(ctx context.Context) (openRecord, error) {
	var first *ringView
	delays := newRetryDelays()
	for {
		view, err := t.view(ctx)
		if err != nil {
			return openRecord{}, err
		}
		if first == nil {
			first = &view
		}
		if view.newest.Fence != first.newest.Fence {
			return openRecord{}, t.conflictWith(view.newest)
		}
		h, expected, err := t.openRecordHeader(ctx, view)
		if err != nil {
			return openRecord{}, err
		}
		if h.Slot == 0 {
			continue
		}
		result, err := t.writeOpenRecord(ctx, h, expected)
		switch {
		case err != nil:
			return openRecord{}, err
		case result.outcome == writeCommitted:
			view.revisions[t.ring.index(h.Slot)] = result.revision
			sizes := newRingSizes(view.revisions, h.Stored)
			sizes.set(t.ring.index(h.Slot), result.storedBytes)
			return openRecord{header: h, revisions: view.revisions, sizes: sizes}, nil
		case result.outcome == writeUnknown:
			return openRecord{}, &PendingError{Journal: t.options.ID, Slot: h.Slot, Err: result.err}
		case result.outcome == writeNoEffect && isPermanent(result.err):
			return openRecord{}, result.err
		case result.outcome == writeNoEffect:
			if err := sleep(ctx, delays.NextBackOff()); err != nil {
				return openRecord{}, fmt.Errorf("%w; last attempt: %w", err, result.err)
			}
		}
	}
}

// conflictWith returns the error that reports the owner of slot s as a newer owner.
func (t *takeover) conflictWith(s slot) error {
	return &OpenConflictError{Journal: t.options.ID, Fence: s.Fence, Owner: s.Owner}
}

// view reads the state of the ring. It retries failed reads until ctx ends.
func (t *takeover) view(ctx context.Context) (ringView, error) {
	var view ringView
	err := retry(ctx, t.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		view, err = t.ring.view(ctx)
		return err
	})
	return view, err
}

// openRecordHeader returns the header of an open record after the newest slot, and the revision of the key that it
// overwrites. A header with slot 0 means that the ring has changed since the view was read.
func (t *takeover) openRecordHeader(ctx context.Context, view ringView) (header, int64, error) {
	newest := view.newest
	n := newest.Slot + 1
	h := header{
		Slot:     n,
		Kind:     kindOpen,
		Write:    newWriteID(),
		Fence:    n,
		Owner:    t.options.Owner,
		Ring:     t.options.RingSlots,
		Cover:    newest.Cover,
		Snapshot: newest.Snapshot,
		Carried:  newest.Carried,
		Stored:   newest.Stored + newest.storedBytes,
	}
	expected := view.revisions[t.ring.index(n)]
	displaced := n - min(n, uint64(t.options.RingSlots))
	if displaced <= h.Cover {
		return h, expected, nil
	}
	chunk, err := t.carryOver(ctx, n, displaced, expected)
	if err != nil {
		return h, 0, err
	}
	if chunk == "" {
		return header{}, 0, nil
	}
	h.Carried = append(h.Carried[:len(h.Carried):len(h.Carried)], carriedSlot{Slot: displaced, Chunk: chunk})
	return h, expected, nil
}

// carryOver copies the slot that open record n overwrites to a chunk, because no snapshot contains that slot yet. The
// open record's compare-and-swap against the same revision proves that the copy is the slot's final content. carryOver
// returns an empty id if the key has changed since the view was read.
func (t *takeover) carryOver(ctx context.Context, n, displaced uint64, expected int64) (ChunkID, error) {
	id := newChunkID(n, newWriteID())
	key, changed := t.ring.key(displaced), false
	err := retry(ctx, t.options.WriteTimeout, t.options.Pacer, func(ctx context.Context) error {
		kv, err := t.ring.kv.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read %s: %w", key, err)
		}
		changed = kv.Revision != expected
		if changed {
			return nil
		}
		return t.ring.kv.Put(ctx, t.ring.chunkKey(id), kv.Value, 0)
	})
	if err != nil {
		return "", fmt.Errorf("copy slot %d to a chunk: %w", displaced, err)
	}
	if changed {
		return "", nil
	}
	return id, nil
}

// writeOpenRecord writes an open record to the key whose last known revision is expected.
func (t *takeover) writeOpenRecord(ctx context.Context, h header, expected int64) (writeResult, error) {
	value, err := encodeSlot(h, nil)
	if err != nil {
		return writeResult{}, err
	}
	if err := t.options.Pacer.Wait(ctx); err != nil {
		return writeResult{}, err
	}
	w := slotWrite{
		ring:     t.ring,
		pacer:    t.options.Pacer,
		timeout:  t.options.WriteTimeout,
		header:   h,
		value:    value,
		expected: expected,
	}
	result := w.run(ctx)
	result.storedBytes = len(value)
	return result, nil
}
