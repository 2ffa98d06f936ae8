package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentReads is the largest number of concurrent reads of slots or chunks. If recovery has to read no more slots
// than this, it does not list the ring.
const maxConcurrentReads = 16

// recoveryResult is what the new owner keeps from the recovery besides the state machine's content.
type recoveryResult struct {
	chunks       map[ChunkID]struct{} // Chunks of the current snapshot and of carried slots.
	appliedBytes int                  // Stored size of the applied slots.
	sizes        ringSizes
}

// recoverState restores the current snapshot and applies the slots between it and the open record.
func (t *takeover) recoverState(ctx context.Context, o openRecord) (recoveryResult, error) {
	result := recoveryResult{chunks: make(map[ChunkID]struct{}), sizes: o.sizes}
	t.listRing(ctx, o, &result.sizes)
	for _, c := range o.header.Carried {
		result.chunks[c.Chunk] = struct{}{}
	}
	if o.header.Snapshot > 0 {
		if err := t.restoreSnapshot(ctx, o, result.chunks); err != nil {
			return result, err
		}
	}
	var err error
	result.appliedBytes, err = t.applySlots(ctx, o, &result)
	return result, err
}

// listRing reads the whole ring with one request if the ring is small and more than a few slots have to be read. The
// listing need not be atomic, because the slots before the open record no longer change. If the request fails, the
// slots are read one by one.
func (t *takeover) listRing(ctx context.Context, o openRecord, sizes *ringSizes) {
	if o.header.Slot-o.header.Cover <= maxConcurrentReads || o.header.Stored > maxListBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.WriteTimeout)
	defer cancel()
	keys, err := t.ring.list(ctx, false)
	if err != nil {
		t.options.Logger.Warn("cannot list the ring; reading slots singly", "journal", t.options.ID, "error", err)
		return
	}
	t.listedKeys = keys
	for i, kv := range keys {
		sizes.setExisting(i, len(kv.Value))
	}
}

// restoreSnapshot reads the snapshot's manifest and head chunks and passes the latter to the state machine. It adds the
// chunks of the manifest to known.
func (t *takeover) restoreSnapshot(ctx context.Context, o openRecord, known map[ChunkID]struct{}) error {
	s, err := t.readSlot(ctx, o, o.header.Snapshot)
	if err != nil {
		return err
	}
	if s.Kind != kindSnapshot || len(s.records) != 1 {
		return &CorruptError{Key: t.ring.key(s.Slot), Reason: fmt.Sprintf("slot %d contains no snapshot manifest", s.Slot)}
	}
	var m manifest
	if err := json.Unmarshal(s.records[0], &m); err != nil {
		return &CorruptError{Key: t.ring.key(s.Slot), Reason: fmt.Sprintf("decode snapshot manifest: %v", err)}
	}
	for _, id := range m.allChunks() {
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

// applySlots applies the records of the slots between the snapshot and the open record, reading up to
// maxConcurrentReads slots at a time. It checks that the fencing number changes only at open records, and returns the
// stored size of the slots in bytes.
func (t *takeover) applySlots(ctx context.Context, o openRecord, result *recoveryResult) (int, error) {
	fence, bytes := uint64(0), 0
	for first := o.header.Cover + 1; first < o.header.Slot; first += maxConcurrentReads {
		last := min(first+maxConcurrentReads, o.header.Slot)
		slots, err := t.readSlots(ctx, o, first, last)
		if err != nil {
			return bytes, err
		}
		for _, s := range slots {
			bytes += s.storedBytes
			result.sizes.setExisting(t.ring.index(s.Slot), s.storedBytes)
			if s.Kind == kindOpen {
				fence = s.Slot
			}
			if fence != 0 && s.Fence != fence {
				reason := fmt.Sprintf("slot %d has fencing number %d, expected %d", s.Slot, s.Fence, fence)
				return bytes, &CorruptError{Key: t.ring.key(s.Slot), Reason: reason}
			}
			fence = s.Fence
			if err := t.applySlot(s); err != nil {
				return bytes, err
			}
		}
	}
	return bytes, nil
}

// applySlot applies the records of a batch slot. Slots of other kinds do not change the state.
func (t *takeover) applySlot(s slot) error {
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

// readSlots concurrently reads the slots from first up to but not including last.
func (t *takeover) readSlots(ctx context.Context, o openRecord, first, last uint64) ([]slot, error) {
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

// readSlot reads slot n from its key, or from a chunk if it was carried over, and checks its number. A number beyond
// the open record means that another owner has opened the journal since.
func (t *takeover) readSlot(ctx context.Context, o openRecord, n uint64) (slot, error) {
	var s slot
	err := retry(ctx, t.options.WriteTimeout, nil, func(ctx context.Context) error {
		var err error
		s, err = t.readSlotOnce(ctx, o, n)
		return err
	})
	if err != nil {
		return s, err
	}
	switch {
	case s.Slot == n:
		return s, nil
	case s.Slot > o.header.Slot:
		return s, t.conflictWith(s)
	default:
		reason := fmt.Sprintf("slot %d is missing, found slot %d", n, s.Slot)
		return s, &CorruptError{Key: t.ring.key(n), Reason: reason}
	}
}

// readSlotOnce is one attempt of readSlot. It updates the revisions of o.
func (t *takeover) readSlotOnce(ctx context.Context, o openRecord, n uint64) (slot, error) {
	for _, c := range o.header.Carried {
		if c.Slot != n {
			continue
		}
		kv, err := t.ring.getChunk(ctx, c.Chunk)
		if err != nil {
			return slot{}, err
		}
		return t.ring.decodeChecked(kv)
	}
	i := t.ring.index(n)
	if t.listedKeys != nil && t.listedKeys[i].Revision > 0 {
		o.revisions[i] = t.listedKeys[i].Revision
		return t.ring.decodeChecked(t.listedKeys[i])
	}
	s, err := t.ring.readKeyOf(ctx, n)
	if err == nil {
		o.revisions[t.ring.index(n)] = s.revision
	}
	return s, err
}
