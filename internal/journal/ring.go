package journal

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// keyPrefix is the common prefix of the keys of all journals.
const keyPrefix = "journal/"

// ring accesses the keys of one journal: a fixed number of slot keys and any number of chunk keys. The decimal slot
// keys sort before the chunk keys, which start with a letter.
type ring struct {
	kv    ports.KV
	id    int
	slots int
}

func (r ring) prefix() string { return keyPrefix + strconv.Itoa(r.id) + "/" }

func (r ring) chunkPrefix() string { return r.prefix() + "chunk/" }

func (r ring) chunkKey(id ChunkID) string { return r.chunkPrefix() + string(id) }

func (r ring) index(slot uint64) int { return int(slot % uint64(r.slots)) }

func (r ring) key(slot uint64) string { return r.prefix() + strconv.Itoa(r.index(slot)) }

// ringView is the result of listing the ring's keys. The listing need not be atomic: a revision in it may be outdated,
// in which case the compare-and-swap against that revision fails.
type ringView struct {
	revisions []int64 // Modification revision of each key, by index; 0 means that the key does not exist.
	newest    slot    // Slot at the key with the highest revision; Slot is 0 for an empty journal.
}

// list returns the ring's keys by index; keys that do not exist have revision 0. It costs one read of the key-value
// service.
func (r ring) list(ctx context.Context, keysOnly bool) ([]ports.KeyValue, error) {
	found, err := r.kv.List(ctx, r.prefix(), r.slots, keysOnly)
	if err != nil {
		return nil, fmt.Errorf("list the slots of journal %d: %w", r.id, err)
	}
	keys := make([]ports.KeyValue, r.slots)
	for _, kv := range found {
		if strings.HasPrefix(kv.Key, r.chunkPrefix()) {
			break
		}
		i, err := strconv.Atoi(strings.TrimPrefix(kv.Key, r.prefix()))
		if err != nil || i < 0 || i >= r.slots {
			return nil, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("not a slot key of a ring of %d slots", r.slots)}
		}
		keys[i] = kv
	}
	return keys, nil
}

// view lists the ring and reads its newest slot. It costs two reads of the key-value service.
func (r ring) view(ctx context.Context) (ringView, error) {
	v := ringView{revisions: make([]int64, r.slots)}
	keys, err := r.list(ctx, true)
	if err != nil {
		return v, err
	}
	newest := 0
	for i, kv := range keys {
		v.revisions[i] = kv.Revision
		if kv.Revision > v.revisions[newest] {
			newest = i
		}
	}
	if v.revisions[newest] == 0 {
		return v, nil
	}
	v.newest, err = r.readKeyOf(ctx, uint64(newest))
	if err != nil {
		return v, err
	}
	if v.newest.Slot == 0 {
		return v, &CorruptError{Key: r.key(uint64(newest)), Reason: "key of a written slot does not exist"}
	}
	v.revisions[newest] = v.newest.revision
	return v, nil
}

// readKeyOf reads the key of slot n. The key may hold another slot with the same index. The result has slot number 0 if
// the key does not exist.
func (r ring) readKeyOf(ctx context.Context, n uint64) (slot, error) {
	key := r.key(n)
	kv, err := r.kv.Get(ctx, key)
	if err != nil {
		return slot{}, fmt.Errorf("read %s: %w", key, err)
	}
	if kv.Revision == 0 {
		return slot{}, nil
	}
	kv.Key = key
	return r.decodeChecked(kv)
}

// decodeChecked decodes a slot and checks that it was written for a ring of this size.
func (r ring) decodeChecked(kv ports.KeyValue) (slot, error) {
	s, err := decodeSlot(kv)
	if err != nil {
		return s, err
	}
	if s.Ring != r.slots {
		reason := fmt.Sprintf("slot was written for a ring of %d slots, the configured ring has %d", s.Ring, r.slots)
		return s, &CorruptError{Key: kv.Key, Reason: reason}
	}
	return s, nil
}

// HeadInfo describes the newest slot and the last owner of a journal.
type HeadInfo struct {
	Exists bool   // False if the journal has never been opened.
	Slot   uint64 // Number of the newest slot.
	Fence  uint64 // Fencing number of the last owner.
	Owner  Owner  // Last owner.
	Closed bool   // The last owner has closed the journal, so that a successor need not wait for it.
}

// Head reads the newest slot of a journal and returns its last owner. It costs two reads of the key-value service.
func Head(ctx context.Context, kv ports.KV, id, ringSlots int) (HeadInfo, error) {
	v, err := ring{kv: kv, id: id, slots: ringSlots}.view(ctx)
	if err != nil {
		return HeadInfo{}, err
	}
	return headOf(v.newest), nil
}

// headOf returns the head of a journal whose newest slot is s.
func headOf(s slot) HeadInfo {
	return HeadInfo{
		Exists: s.Slot > 0,
		Slot:   s.Slot,
		Fence:  s.Fence,
		Owner:  s.Owner,
		Closed: s.Kind == kindClosed,
	}
}
