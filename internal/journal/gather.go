package journal

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// collect seals what the former owner's holders have for it and names it in the open record h. Entries that it cannot
// collect are a gap, which h names. An append of the former owner that is committed meanwhile makes h lose its slot.
func (t *taking) collect(ctx context.Context, newest slot, h *header) error {
	if len(newest.Group) == 0 || newest.Kind == kindClosed {
		return nil
	}
	entries, complete, err := t.seal(ctx, newest)
	if err != nil {
		return err
	}
	if !complete {
		h.Gap = &Gap{Slot: h.Slot, AtMS: time.Now().UnixMilli()}
		gapsFound.Inc()
		t.options.Logger.Warn("entries of the former owner may be lost", "journal", t.options.ID, "fence", newest.Fence)
	}
	records, err := decodeEntries(entries, newest.Held)
	if err != nil {
		return err
	}
	entriesCollected.Add(len(entries))
	for len(records) > 0 {
		n := fitting(records)
		id, err := t.writeBuffered(ctx, h, records[:n])
		if err != nil {
			return err
		}
		h.Buffered = append(h.Buffered, id)
		records = records[n:]
	}
	return nil
}

// sealing is what the holders of a former owner have answered. Its fields are guarded by mu while requests are under way.
type sealing struct {
	mu      sync.Mutex
	sealed  map[Holder]bool
	gone    map[Holder]bool
	entries map[uint64][]byte
}

// seal asks the holders until enough have answered to know every held entry, or until enough are gone that neither a
// successor can read nor the former owner can hold anything. complete is false in the latter case. Silence proves
// nothing, as the former owner may still reach holders that this process does not: it is waited out until ctx ends.
func (t *taking) seal(ctx context.Context, newest slot) (entries map[uint64][]byte, complete bool, err error) {
	if t.options.Buffer == nil {
		return nil, false, nil
	}
	s := &sealing{sealed: make(map[Holder]bool), gone: make(map[Holder]bool), entries: make(map[uint64][]byte)}
	for {
		t.sealOnce(ctx, newest, s)
		if len(s.sealed) >= holdQuorum {
			return s.entries, true, nil
		}
		if len(s.gone) >= holdQuorum {
			return s.entries, false, nil
		}
		if err := sleep(ctx, holdRetryDelay); err != nil {
			return nil, false, fmt.Errorf("seal the buffer of journal %d at %d holders, %d gone: %w",
				t.options.ID, len(s.sealed), len(s.gone), err)
		}
	}
}

// sealOnce asks every holder that has not answered.
func (t *taking) sealOnce(ctx context.Context, newest slot, s *sealing) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	silent := slices.DeleteFunc(slices.Clone(newest.Group), func(h Holder) bool { return s.sealed[h] || s.gone[h] })
	var tasks sync.WaitGroup
	for _, holder := range silent {
		tasks.Go(func() {
			fence := api.Fence{Journal: t.options.ID, Number: newest.Fence}
			r := &api.SealRequest{Fence: fence, Incarnation: holder.Incarnation, After: newest.Held}
			answer, err := t.options.Buffer.Seal(ctx, holder, r)
			if err == nil {
				s.add(holder, answer)
			}
		})
	}
	tasks.Wait()
}

func (s *sealing) add(holder Holder, answer api.SealResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.State != api.HoldDone {
		s.gone[holder] = true
		return
	}
	s.sealed[holder] = true
	for _, e := range answer.Entries {
		s.entries[e.Number] = e.Data
	}
}

// decodeEntries returns the records of the entries after number held, up to the first that is missing. Entries beyond
// that were not acknowledged, since an owner acknowledges them in order.
func decodeEntries(entries map[uint64][]byte, held uint64) ([][]byte, error) {
	var records [][]byte
	for n := held + 1; entries[n] != nil; n++ {
		s, err := decodeRecords(fmt.Sprintf("entry %d", n), entries[n])
		if err != nil {
			return nil, err
		}
		records = append(records, s.records...)
	}
	return records, nil
}

// decodeRecords decodes records that are stored outside the ring.
func decodeRecords(name string, value []byte) (slot, error) {
	return decodeSlot(ports.KeyValue{Key: name, Value: value})
}

// fitting returns how many of the first records fit into one chunk, at least one.
func fitting(records [][]byte) int {
	size := 0
	n := slices.IndexFunc(records, func(r []byte) bool {
		size += len(r) + recordOverhead
		return size > maxBatchBytes
	})
	if n < 0 {
		return len(records)
	}
	return max(1, n)
}

// writeBuffered stores records in a chunk of the open record.
func (t *taking) writeBuffered(ctx context.Context, h *header, records [][]byte) (ChunkID, error) {
	value, err := encodeSlot(header{Slot: h.Slot, Kind: kindBatch, Fence: h.Fence}, records)
	if err != nil {
		return "", err
	}
	id := newChunkID(h.Slot, newWriteID())
	err = retry(ctx, t.options.WriteTimeout, t.options.Pacer, func(ctx context.Context) error {
		return t.ring.kv.Put(ctx, t.ring.chunkKey(id), value, 0)
	})
	if err != nil {
		return "", fmt.Errorf("store what the former owner left: %w", err)
	}
	return id, nil
}

// applyBuffered applies the records that an open record names.
func (t *taking) applyBuffered(ctx context.Context, h header, known map[ChunkID]struct{}) error {
	for _, id := range h.Buffered {
		known[id] = struct{}{}
		var s slot
		err := retry(ctx, t.options.WriteTimeout, nil, func(ctx context.Context) error {
			kv, err := t.ring.getChunk(ctx, id)
			if err != nil {
				return err
			}
			s, err = decodeRecords(kv.Key, kv.Value)
			return err
		})
		if err != nil {
			return err
		}
		s.Slot, s.Kind = h.Slot, kindBatch
		if err := t.apply(s); err != nil {
			return err
		}
	}
	return nil
}
