package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// origin is one run of an entry: all that it has said.
type origin struct {
	key     uint64
	id      string
	region  string
	epoch   uint64
	streams [streamCount]stream
	self    self
	fences  map[int]fenceFact
	accused map[uint64]accusation
	slots   map[uint64]*slot
}

// slot is what an origin says of one backend server that it watches.
type slot struct {
	name        string
	status      Status
	load        Load
	hasStatus   bool
	statusAt    time.Time
	confirmedAt time.Time // Last answer of the sidecar to this origin.
	loadAt      time.Time
}

func newOrigin(id, region string, epoch uint64) *origin {
	o := &origin{
		key: originKey(id, epoch), id: id, region: region, epoch: epoch,
		fences:  make(map[int]fenceFact),
		accused: make(map[uint64]accusation),
		slots:   make(map[uint64]*slot),
	}
	for i := range o.streams {
		o.streams[i] = newStream()
	}
	return o
}

// originKey identifies one run of an entry.
func originKey(id string, epoch uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), epoch))
}

// regionKey stands for a region's name on the wire.
func regionKey(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// apply takes a fact that is newer than all of its stream. An error leaves the origin as it was.
func (o *origin) apply(f *fact) error {
	if err := o.interpret(f); err != nil {
		return err
	}
	o.streams[f.kind.stream()].put(f)
	return nil
}

func (o *origin) interpret(f *fact) error {
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
		o.accused[f.sub] = a
	case kindCrash:
		_, err := decodeCrash(f.body)
		return err
	case kindName, kindStatus, kindLoad:
		return o.applySlot(f)
	case kindConfirm:
		o.applyConfirm(f)
	}
	return nil // Kinds of later versions are carried on.
}

func (o *origin) applyFence(f *fact) error {
	v, err := decodeFence(f.body)
	if err != nil {
		return err
	}
	if f.sub < maxSlot && v.number >= o.fences[int(f.sub)].number {
		o.fences[int(f.sub)] = v
	}
	return nil
}

func (o *origin) applySlot(f *fact) error {
	if f.sub >= maxSlot {
		return nil
	}
	s := o.slots[f.sub]
	if f.kind == kindName {
		r := reader{b: f.body}
		name := r.string()
		if s == nil || s.name != name {
			o.slots[f.sub] = &slot{name: name}
			o.streams[streamRegional].drop(factKey{kind: kindStatus, sub: f.sub})
			o.streams[streamRegional].drop(factKey{kind: kindLoad, sub: f.sub})
		}
		if name == "" {
			delete(o.slots, f.sub)
		}
		return r.wrap("name")
	}
	if s == nil {
		return nil // Freed since.
	}
	return s.apply(f)
}

func (s *slot) apply(f *fact) error {
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

// applyConfirm notes which slots answered. The body is a bit set.
func (o *origin) applyConfirm(f *fact) {
	for number, s := range o.slots {
		if byteAt := number / 8; byteAt < uint64(len(f.body)) && f.body[byteAt]&(1<<(number%8)) != 0 {
			s.confirmedAt = later(s.confirmedAt, f.at)
		}
	}
}

// evidenceAt returns when what the slot says of its backend server was last seen: silent, or answering.
func (s *slot) evidenceAt() time.Time {
	if s.status.Silent {
		return s.statusAt
	}
	return later(s.confirmedAt, s.statusAt)
}

// sweep drops the facts about slots that were freed long ago.
func (o *origin) sweep(before time.Time) {
	names := &o.streams[streamRegional]
	for key, f := range names.facts {
		if key.kind == kindName && o.slots[key.sub] == nil && f.at.Before(before) {
			names.drop(key)
		}
	}
	names.compact()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// region is the list of a region's origins in the order of their keys.
type region struct {
	name    string
	key     uint32
	origins []*origin
	set     uint64    // Sum of the keys in order.
	heardAt time.Time // Last packet from one of its entries.
}

func (r *region) add(o *origin) {
	at, _ := slices.BinarySearchFunc(r.origins, o.key, func(o *origin, key uint64) int { return cmp.Compare(o.key, key) })
	r.origins = slices.Insert(r.origins, at, o)
	r.resum()
}

func (r *region) remove(o *origin) {
	r.origins = slices.DeleteFunc(r.origins, func(x *origin) bool { return x == o })
	r.resum()
}

func (r *region) resum() {
	b := make([]byte, 0, 8*len(r.origins))
	for _, o := range r.origins {
		b = binary.LittleEndian.AppendUint64(b, o.key)
	}
	r.set = xxhash.Sum64(b)
}

// sum sums up the global streams.
func (r *region) sum(buffer []byte) (uint64, []byte) {
	b := buffer[:0]
	for _, o := range r.origins {
		b = binary.LittleEndian.AppendUint64(b, o.key)
		b = binary.LittleEndian.AppendUint64(b, o.streams[streamGlobal].version)
	}
	return xxhash.Sum64(b), b
}
