package membership

import (
	"sort"
	"time"
)

// factKind is the kind of a fact. The values are part of the protocol.
type factKind uint8

// Kinds of facts. Those up to kindCrash are sent to all regions, the others only within the origin's region.
const (
	kindSelf   factKind = 1 // Address, failure domain, incarnation, leaving and refutation counter.
	kindFence  factKind = 2 // Ownership. Subkey: journal.
	kindAccuse factKind = 3 // Accusation. Subkey: key of the accused origin.
	kindCrash  factKind = 4 // Crash report. Subkey: index among the origin's reports.

	kindName    factKind = 8  // Id of the backend server in a watch slot; empty: the slot is free. Subkey: slot.
	kindStatus  factKind = 9  // Status of the backend server. Subkey: slot.
	kindLoad    factKind = 10 // Load of the backend server. Subkey: slot.
	kindConfirm factKind = 11 // Bit set of the slots whose backend servers have answered.
)

// streamID identifies one of an origin's streams. The values are part of the protocol.
type streamID uint8

const (
	streamGlobal   streamID = 0 // Sent to all entries.
	streamRegional streamID = 1 // Sent to the entries of the origin's region.
	streamCount             = 2
)

// stream returns the stream that contains facts of the kind.
func (k factKind) stream() streamID {
	if k >= kindName {
		return streamRegional
	}
	return streamGlobal
}

// factKey identifies a fact within its stream. A new fact replaces the one with the same key.
type factKey struct {
	kind   factKind
	subkey uint64 // Meaning depends on the kind.
}

// fact is one encoded piece of state that an origin published.
type fact struct {
	factKey
	version uint64
	at      time.Time // When it was known to hold, by the local clock.
	body    []byte
}

// stream holds the newest fact for each key. Its version is that of the newest fact ever added.
type stream struct {
	version uint64
	facts   map[factKey]*fact
	order   []*fact // By ascending version. Replaced and dropped facts remain until compact.
}

func newStream() stream { return stream{facts: make(map[factKey]*fact)} }

// put adds a fact that is newer than all others. It replaces a fact with the same key.
func (s *stream) put(f *fact) {
	s.version = f.version
	s.facts[f.factKey] = f
	s.order = append(s.order, f)
	if len(s.order) > 2*len(s.facts)+16 {
		s.compact()
	}
}

// compact removes replaced and dropped facts from order.
func (s *stream) compact() {
	kept := s.order[:0]
	for _, f := range s.order {
		if s.facts[f.factKey] == f {
			kept = append(kept, f)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// drop removes a fact without changing the version of the stream. It is only for facts that no entry needs any more, since
// other entries do not learn of the removal.
func (s *stream) drop(key factKey) { delete(s.facts, key) }

// since calls yield with each fact above the version, in ascending order of versions, until yield returns false.
func (s *stream) since(version uint64, yield func(*fact) bool) {
	first := sort.Search(len(s.order), func(i int) bool { return s.order[i].version > version })
	for _, f := range s.order[first:] {
		if s.facts[f.factKey] == f && !yield(f) {
			return
		}
	}
}
