package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// origin is one run of an entry, with all facts that it published and the state decoded from them.
type origin struct {
	key         uint64
	id          string
	region      string
	epoch       uint64
	streams     [streamCount]stream
	self        selfFact
	fences      map[int]fenceFact     // By journal.
	accusations map[uint64]accusation // By the key of the accused origin.
	watchSlots  map[uint64]*watchSlot // By the number of the slot.
}

// watchSlot is what an origin published about one backend server that it watches. The subkey of these facts is the number
// of the slot.
type watchSlot struct {
	name        string // Id of the backend server.
	status      Status
	load        Load
	hasStatus   bool
	statusAt    time.Time // When the status was known to hold.
	confirmedAt time.Time // Last answer of the sidecar to this origin.
	loadAt      time.Time // When the load was known to hold; zero: no load was published.
}

func newOrigin(id, region string, epoch uint64) *origin {
	o := &origin{
		key: originKey(id, epoch), id: id, region: region, epoch: epoch,
		fences:      make(map[int]fenceFact),
		accusations: make(map[uint64]accusation),
		watchSlots:  make(map[uint64]*watchSlot),
	}
	for i := range o.streams {
		o.streams[i] = newStream()
	}
	return o
}

// originKey returns the hash that identifies one run of an entry.
func originKey(id string, epoch uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), epoch))
}

// regionKey returns the hash that identifies a region in messages.
func regionKey(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// apply adds a fact that is newer than all others of its stream. If it returns an error, the fact was not added.
func (o *origin) apply(f *fact) error {
	if err := o.updateState(f); err != nil {
		return err
	}
	o.streams[f.kind.stream()].put(f)
	return nil
}

// updateState updates the decoded state with the fact.
func (o *origin) updateState(f *fact) error {
	switch f.kind {
	case kindSelf:
		s, err := decodeSelf(f.body)
		if err != nil {
			return err
		}
		if s.refutations >= o.self.refutations {
			o.self = s
		}
	case kindFence:
		return o.applyFence(f)
	case kindAccuse:
		a, err := decodeAccusation(f.body)
		if err != nil {
			return err
		}
		o.accusations[f.subkey] = a
	case kindCrash:
		_, err := decodeCrash(f.body)
		return err
	case kindName, kindStatus, kindLoad:
		return o.applySlot(f)
	case kindConfirm:
		o.applyConfirm(f)
	}
	return nil // Kinds that only later versions know are stored and passed on.
}

// applyFence records the ownership, unless its fencing number is lower than the journal's known one.
func (o *origin) applyFence(f *fact) error {
	v, err := decodeFence(f.body)
	if err != nil {
		return err
	}
	if f.subkey < subkeyLimit && v.number >= o.fences[int(f.subkey)].number {
		o.fences[int(f.subkey)] = v
	}
	return nil
}

// applySlot applies a name, status or load. A new name discards the status and load of the backend server that had the slot
// before. An empty name frees the slot.
func (o *origin) applySlot(f *fact) error {
	if f.subkey >= subkeyLimit {
		return nil
	}
	s := o.watchSlots[f.subkey]
	if f.kind == kindName {
		r := reader{b: f.body}
		name := r.string()
		if s == nil || s.name != name {
			o.watchSlots[f.subkey] = &watchSlot{name: name}
			o.streams[streamRegional].drop(factKey{kind: kindStatus, subkey: f.subkey})
			o.streams[streamRegional].drop(factKey{kind: kindLoad, subkey: f.subkey})
		}
		if name == "" {
			delete(o.watchSlots, f.subkey)
		}
		return r.wrap("name")
	}
	if s == nil {
		return nil // The slot has been freed.
	}
	return s.apply(f)
}

// apply records a status or a load.
func (s *watchSlot) apply(f *fact) error {
	if f.kind == kindStatus {
		v, err := decodeStatus(f.body)
		if err != nil {
			return err
		}
		s.status, s.statusAt, s.hasStatus = v, f.at, true
		return nil
	}
	v, err := decodeLoad(f.body)
	if err != nil {
		return err
	}
	s.load, s.loadAt = v, f.at
	return nil
}

// applyConfirm records for which slots the backend server answered. The body is a bit set of slot numbers.
func (o *origin) applyConfirm(f *fact) {
	for number, s := range o.watchSlots {
		if byteAt := number / 8; byteAt < uint64(len(f.body)) && f.body[byteAt]&(1<<(number%8)) != 0 {
			s.confirmedAt = later(s.confirmedAt, f.at)
		}
	}
}

// evidenceAt returns when the published status was last known to hold: when the server was found silent, or else the time
// of its last known answer or status.
func (s *watchSlot) evidenceAt() time.Time {
	if s.status.Silent {
		return s.statusAt
	}
	return later(s.confirmedAt, s.statusAt)
}

// dropFreedSlots removes the name facts of slots that were freed before the given time. Names left by freed slots are empty.
func (o *origin) dropFreedSlots(before time.Time) {
	regional := &o.streams[streamRegional]
	for key, f := range regional.facts {
		if key.kind == kindName && o.watchSlots[key.subkey] == nil && f.at.Before(before) {
			regional.drop(key)
		}
	}
	regional.compact()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// region holds the known origins of a region.
type region struct {
	name        string
	key         uint32
	origins     []*origin // Sorted by key.
	originsHash uint64    // Hash of the sorted keys of the origins.
	heardAt     time.Time // Last packet from the region that any entry of the node's own region is known to have received.
}

func (r *region) add(o *origin) {
	index, _ := slices.BinarySearchFunc(r.origins, o.key, func(o *origin, key uint64) int { return cmp.Compare(o.key, key) })
	r.origins = slices.Insert(r.origins, index, o)
	r.rehashOrigins()
}

func (r *region) remove(o *origin) {
	r.origins = slices.DeleteFunc(r.origins, func(x *origin) bool { return x == o })
	r.rehashOrigins()
}

// rehashOrigins recomputes originsHash.
func (r *region) rehashOrigins() {
	b := make([]byte, 0, 8*len(r.origins))
	for _, o := range r.origins {
		b = binary.LittleEndian.AppendUint64(b, o.key)
	}
	r.originsHash = xxhash.Sum64(b)
}

// globalHash returns a hash of the versions of all origins' global streams, and the buffer for use by the next call.
func (r *region) globalHash(buffer []byte) (uint64, []byte) {
	b := buffer[:0]
	for _, o := range r.origins {
		b = binary.LittleEndian.AppendUint64(b, o.key)
		b = binary.LittleEndian.AppendUint64(b, o.streams[streamGlobal].version)
	}
	return xxhash.Sum64(b), b
}
