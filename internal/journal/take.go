package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Take makes the caller the owner of the journal and recovers its state: it finds the newest slot, writes an open
// record after it, and only then reads what lies below, which is final by then. The number of the open record's slot is
// the fencing number.
//
// Take repeats its requests until ctx ends. It returns a TakenError when another new owner was faster; the caller
// decides whether that one is to be replaced. After any other error the open record may have been written.
func Take(ctx context.Context, o Options) (*Journal, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	t := &taking{options: o, ring: ring{kv: o.KV, id: o.ID, slots: o.RingSlots}}
	opened, err := t.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("open journal %d: %w", o.ID, err)
	}
	start := time.Now()
	recovered, err := t.recover(ctx, opened)
	if errors.Is(err, ErrCorrupt) {
		err = t.explain(ctx, opened, err)
	}
	if err != nil {
		return nil, fmt.Errorf("recover journal %d: %w", o.ID, err)
	}
	recoverySeconds.UpdateDuration(start)
	recoverySlots.Add(int(opened.header.Slot - opened.header.Cover - 1))
	return newJournal(o, t.ring, opened, recovered), nil
}

// explain tells damage from the traces of a new owner, which may delete chunks and overwrite slots.
func (t *taking) explain(ctx context.Context, o opening, cause error) error {
	view, err := t.view(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("%v; whether another owner has opened the journal is unknown: %w", cause, err)
	case view.newest.Fence > o.header.Fence:
		return t.takenBy(view.newest)
	default:
		return cause
	}
}

// taking is one run of Take.
type taking struct {
	options Options
	ring    ring
	listed  []ports.KeyValue // Values of the ring by index, when one request could read them all.
}

// opening is a committed open record.
type opening struct {
	header    header
	revisions []int64
	sizes     ringSizes
}

// open writes the open record. Losing to the previous owner's next append means looking again.
func (t *taking) open(ctx context.Context) (opening, error) {
	var first *ringView
	delays := newRetryDelays()
	for {
		view, err := t.view(ctx)
		if err != nil {
			return opening{}, err
		}
		if first == nil {
			first = &view
		}
		if view.newest.Fence != first.newest.Fence {
			return opening{}, t.takenBy(view.newest)
		}
		h, expected, err := t.nextHeader(ctx, view)
		if err != nil {
			return opening{}, err
		}
		if h.Slot == 0 {
			continue
		}
		result, err := t.write(ctx, h, expected)
		switch {
		case err != nil:
			return opening{}, err
		case result.outcome == writeCommitted:
			view.revisions[t.ring.index(h.Slot)] = result.revision
			sizes := newRingSizes(view.revisions, h.Stored)
			sizes.set(t.ring.index(h.Slot), result.stored)
			return opening{header: h, revisions: view.revisions, sizes: sizes}, nil
		case result.outcome == writeUnknown:
			return opening{}, &PendingError{Journal: t.options.ID, Slot: h.Slot, Err: result.err}
		case result.outcome == writeNone && permanent(result.err):
			return opening{}, result.err
		case result.outcome == writeNone:
			if err := sleep(ctx, delays.NextBackOff()); err != nil {
				return opening{}, fmt.Errorf("%w; last attempt: %w", err, result.err)
			}
		}
	}
}

func (t *taking) takenBy(s slot) error {
	return &TakenError{Journal: t.options.ID, Fence: s.Fence, By: s.Owner}
}

func (t *taking) view(ctx context.Context) (ringView, error) {
	var view ringView
	err := retry(ctx, t.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		view, err = t.ring.view(ctx)
		return err
	})
	return view, err
}

// nextHeader returns the header of the open record after the newest slot and the revision that it replaces. Slot 0
// means that the ring has changed since the view.
func (t *taking) nextHeader(ctx context.Context, view ringView) (header, int64, error) {
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
		Stored:   newest.Stored + newest.stored,
	}
	expected := view.revisions[t.ring.index(n)]
	displaced := n - min(n, uint64(t.options.RingSlots))
	if displaced <= h.Cover {
		return h, expected, nil
	}
	chunk, err := t.carry(ctx, n, displaced, expected)
	if err != nil {
		return h, 0, err
	}
	if chunk == "" {
		return header{}, 0, nil
	}
	h.Carried = append(h.Carried[:len(h.Carried):len(h.Carried)], carriedSlot{Slot: displaced, Chunk: chunk})
	return h, expected, nil
}

// carry copies the slot that the open record n displaces to a chunk, as no snapshot contains it yet. The
// compare-and-swap of the open record against the same revision proves that the copy is the slot's final content.
// It returns an empty id when the key has changed since the view.
func (t *taking) carry(ctx context.Context, n, displaced uint64, expected int64) (ChunkID, error) {
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
		return "", fmt.Errorf("carry slot %d: %w", displaced, err)
	}
	if changed {
		return "", nil
	}
	return id, nil
}

func (t *taking) write(ctx context.Context, h header, expected int64) (writeResult, error) {
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
	result.stored = len(value)
	return result, nil
}
