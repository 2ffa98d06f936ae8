package membership

import (
	"sort"
	"time"
)

// factKind names what a fact says. The value is part of the protocol.
type factKind uint8

// Kinds of facts. Those up to kindCrash go to all regions, the others stay in the origin's region.
const (
	kindSelf   factKind = 1 // Address, incarnation, leaving, refutations.
	kindFence  factKind = 2 // Sub: journal.
	kindAccuse factKind = 3 // Sub: key of the accused.
	kindCrash  factKind = 4 // Sub: position among the origin's reports.

	kindName    factKind = 8  // Sub: slot. Empty: the slot is free.
	kindStatus  factKind = 9  // Sub: slot.
	kindLoad    factKind = 10 // Sub: slot.
	kindConfirm factKind = 11 // Slots that answered.
)

// streamID selects one of an origin's streams.
type streamID uint8

const (
	streamGlobal   streamID = 0 // Read by all entries.
	streamRegional streamID = 1 // Read by the entries of the origin's region.
	streamCount             = 2
)

// stream returns where facts of the kind go.
func (k factKind) stream() streamID {
	if k >= kindName {
		return streamRegional
	}
	return streamGlobal
}

// factKey identifies a fact within its stream: a new fact replaces the one with the same key.
type factKey struct {
	kind factKind
	sub  uint64
}

// fact is one encoded statement of an origin.
type fact struct {
	factKey
	version uint64
	at      time.Time // When it was true, by the local clock.
	body    []byte
}

// stream holds the newest fact of each key in version order. Its version is that of the newest fact ever put.
type stream struct {
	version uint64
	facts   map[factKey]*fact
	order   []*fact // Ascending versions; entries that were replaced remain until compact.
}

func newStream() stream { return stream{facts: make(map[factKey]*fact)} }

// put adds a fact that is newer than all others.
func (s *stream) put(f *fact) {
	s.version = f.version
	s.facts[f.factKey] = f
	s.order = append(s.order, f)
	if len(s.order) > 2*len(s.facts)+16 {
		s.compact()
	}
}

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

// drop removes a fact without a version of its own: it no longer matters to anyone.
func (s *stream) drop(key factKey) { delete(s.facts, key) }

// since calls yield with the facts above the version, oldest first, until it returns false.
func (s *stream) since(version uint64, yield func(*fact) bool) {
	first := sort.Search(len(s.order), func(i int) bool { return s.order[i].version > version })
	for _, f := range s.order[first:] {
		if s.facts[f.factKey] == f && !yield(f) {
			return
		}
	}
}
