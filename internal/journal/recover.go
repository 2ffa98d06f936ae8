package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// recoveryReads is the number of reads that a recovery has under way at once.
const recoveryReads = 16

// recovered is what a recovery leaves to the owner, besides the state machine's content.
type recovered struct {
	chunks map[ChunkID]struct{} // Chunks of the snapshot in force and of carried slots.
	bytes  int                  // Stored size of the slots that were applied.
	sizes  ringSizes
}

// recover restores the snapshot and applies the slots after it.
func (t *taking) recover(ctx context.Context, o opening) (recovered, error) {
	result := recovered{chunks: make(map[ChunkID]struct{}), sizes: o.sizes}
	t.listSlots(ctx, o, &result.sizes)
	for _, c := range o.header.Carried {
		result.chunks[c.Chunk] = struct{}{}
	}
	if o.header.Snapshot > 0 {
		if err := t.restore(ctx, o, result.chunks); err != nil {
			return result, err
		}
	}
	var err error
	result.bytes, err = t.applyAll(ctx, o, &result)
	return result, err
}

// listSlots reads the whole ring with one request if it is small and more than a few slots have to be read. The slots
// below the open record do not change any more, so that the listing need not be one moment. If the request fails, the
// slots are read one by one.
func (t *taking) listSlots(ctx context.Context, o opening, sizes *ringSizes) {
	if o.header.Slot-o.header.Cover <= recoveryReads || o.header.Stored > maxListBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.WriteTimeout)
	defer cancel()
	keys, err := t.ring.list(ctx, false)
	if err != nil {
		t.options.Logger.Warn("ring not read as a whole", "journal", t.options.ID, "error", err)
		return
	}
	t.listed = keys
	for i, kv := range keys {
		sizes.found(i, len(kv.Value))
	}
}

// restore reads the snapshot's manifest and head chunks and hands the latter to the state machine.
func (t *taking) restore(ctx context.Context, o opening, known map[ChunkID]struct{}) error {
	s, err := t.readSlot(ctx, o, o.header.Snapshot)
	if err != nil {
		return err
	}
	if s.Kind != kindSnapshot || len(s.records) != 1 {
		return &CorruptError{Key: t.ring.key(s.Slot), Reason: fmt.Sprintf("slot %d holds no manifest", s.Slot)}
	}
	var m manifest
	if err := json.Unmarshal(s.records[0], &m); err != nil {
		return &CorruptError{Key: t.ring.key(s.Slot), Reason: fmt.Sprintf("manifest: %v", err)}
	}
	for _, id := range m.all() {
		known[id] = struct{}{}
	}
	heads, err := t.ring.readChunks(ctx, t.options.WriteTimeout, m.Heads)
	if err != nil {
		return err
	}
	if err := t.options.State.Restore(heads); err != nil {
		return fmt.Errorf("restore the snapshot of slot %d: %w", s.Slot, err)
	}
	return nil
}

// applyAll applies the records of the slots after the snapshot, reading a bounded number of slots ahead.
// It returns their stored size in bytes.
func (t *taking) applyAll(ctx context.Context, o opening, result *recovered) (int, error) {
	fence, bytes := uint64(0), 0
	for first := o.header.Cover + 1; first < o.header.Slot; first += recoveryReads {
		last := min(first+recoveryReads, o.header.Slot)
		slots, err := t.readSlots(ctx, o, first, last)
		if err != nil {
			return bytes, err
		}
		for _, s := range slots {
			bytes += s.stored
			result.sizes.found(t.ring.index(s.Slot), s.stored)
			if s.Kind == kindOpen {
				fence = s.Slot
			}
			if fence != 0 && s.Fence != fence {
				reason := fmt.Sprintf("slot %d has fencing number %d in place of %d", s.Slot, s.Fence, fence)
				return bytes, &CorruptError{Key: t.ring.key(s.Slot), Reason: reason}
			}
			fence = s.Fence
			if err := t.apply(s); err != nil {
				return bytes, err
			}
		}
	}
	return bytes, nil
}

func (t *taking) apply(s slot) error {
	if s.Kind != kindBatch {
		return nil
	}
	for i, record := range s.records {
		if err := t.options.State.Apply(s.Slot, record); err != nil {
			return fmt.Errorf("apply record %d of slot %d: %w", i, s.Slot, err)
		}
	}
	return nil
}

// readSlots reads the slots from first to before last.
func (t *taking) readSlots(ctx context.Context, o opening, first, last uint64) ([]slot, error) {
	slots := make([]slot, last-first)
	group, ctx := errgroup.WithContext(ctx)
	for i := range slots {
		group.Go(func() error {
			var err error
			slots[i], err = t.readSlot(ctx, o, first+uint64(i))
			return err
		})
	}
	return slots, group.Wait()
}

// readSlot reads a slot from its key, or from the chunk that carries it, and checks its number.
func (t *taking) readSlot(ctx context.Context, o opening, n uint64) (slot, error) {
	var s slot
	err := retry(ctx, t.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		s, err = t.readOnce(ctx, o, n)
		return err
	})
	if err != nil {
		return s, err
	}
	switch {
	case s.Slot == n:
		return s, nil
	case s.Slot > o.header.Slot:
		return s, t.takenBy(s)
	default:
		reason := fmt.Sprintf("slot %d is missing, found slot %d", n, s.Slot)
		return s, &CorruptError{Key: t.ring.key(n), Reason: reason}
	}
}

func (t *taking) readOnce(ctx context.Context, o opening, n uint64) (slot, error) {
	for _, c := range o.header.Carried {
		if c.Slot != n {
			continue
		}
		kv, err := t.ring.getChunk(ctx, c.Chunk)
		if err != nil {
			return slot{}, err
		}
		return t.ring.decode(kv)
	}
	i := t.ring.index(n)
	if t.listed != nil && t.listed[i].Revision > 0 {
		o.revisions[i] = t.listed[i].Revision
		return t.ring.decode(t.listed[i])
	}
	s, err := t.ring.readAny(ctx, n)
	if err == nil {
		o.revisions[t.ring.index(n)] = s.revision
	}
	return s, err
}
