package journal

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// keyPrefix is the prefix of every key of every journal.
const keyPrefix = "journal/"

// ring addresses the keys of one journal. Decimal ring keys sort before the chunk keys, which start with a letter.
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

// ringView is what one listing of the ring's keys shows. The listing need not be one moment: a revision in it may be
// outdated, which the compare-and-swap against it finds out.
type ringView struct {
	revisions []int64 // Modification revision of each key, by index; 0 means that the key does not exist.
	newest    slot    // Slot at the key with the highest revision; Slot is 0 for an empty journal.
}

// list returns the ring's keys by index; those that do not exist have revision 0. One read of the service.
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
			return nil, &CorruptError{Key: kv.Key, Reason: fmt.Sprintf("not a slot of a ring of %d", r.slots)}
		}
		keys[i] = kv
	}
	return keys, nil
}

// view lists the ring and reads its newest slot: two reads of the service.
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
	v.newest, err = r.readAny(ctx, uint64(newest))
	if err != nil {
		return v, err
	}
	if v.newest.Slot == 0 {
		return v, &CorruptError{Key: r.key(uint64(newest)), Reason: "key of a written slot does not exist"}
	}
	v.revisions[newest] = v.newest.revision
	return v, nil
}

// readAny reads the key of slot n, which may hold another slot of the same key, or none yet.
func (r ring) readAny(ctx context.Context, n uint64) (slot, error) {
	key := r.key(n)
	kv, err := r.kv.Get(ctx, key)
	if err != nil {
		return slot{}, fmt.Errorf("read %s: %w", key, err)
	}
	if kv.Revision == 0 {
		return slot{}, nil
	}
	kv.Key = key
	return r.decode(kv)
}

// decode decodes a slot and checks that it was written for a ring of this size.
func (r ring) decode(kv ports.KeyValue) (slot, error) {
	s, err := decodeSlot(kv)
	if err != nil {
		return s, err
	}
	if s.Ring != r.slots {
		reason := fmt.Sprintf("written for a ring of %d slots, this one has %d", s.Ring, r.slots)
		return s, &CorruptError{Key: kv.Key, Reason: reason}
	}
	return s, nil
}

// HeadInfo says who owns a journal.
type HeadInfo struct {
	Exists bool   // False for a journal that nobody has opened yet.
	Slot   uint64 // Newest slot.
	Fence  uint64 // Fencing number of the last owner.
	Owner  Owner  // Last owner.
	Closed bool   // The last owner has given the journal up: a successor need not wait for it.
}

// Head returns the owner of the journal as the key-value service shows it. It costs two reads.
func Head(ctx context.Context, kv ports.KV, id, ringSlots int) (HeadInfo, error) {
	v, err := ring{kv: kv, id: id, slots: ringSlots}.view(ctx)
	if err != nil {
		return HeadInfo{}, err
	}
	return headOf(v.newest), nil
}

func headOf(s slot) HeadInfo {
	return HeadInfo{
		Exists: s.Slot > 0,
		Slot:   s.Slot,
		Fence:  s.Fence,
		Owner:  s.Owner,
		Closed: s.Kind == kindClosed,
	}
}
