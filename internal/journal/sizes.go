package journal

// maxListBytes is the largest ring, in stored bytes, that a recovery reads with one request instead of one for each
// slot.
const maxListBytes = 8 << 20

// ringSizes tracks how many bytes the ring's keys hold, so that a successor knows whether one request may read them
// all. The total is never below the true one: keys that this owner has neither read nor written stay counted as the
// former owner counted them until all sizes are known.
type ringSizes struct {
	bytes   []int // Size of each key's value; unknownSize if it is not known.
	known   int   // Sum of the known sizes.
	former  int   // The former owner's total of the keys that this owner does not know; 0 once all are known.
	missing int   // Number of keys whose size is not known.
}

const unknownSize = -1

// newRingSizes returns the sizes of a ring whose newest slot says that it holds stored bytes.
func newRingSizes(revisions []int64, stored int) ringSizes {
	s := ringSizes{bytes: make([]int, len(revisions)), former: stored, missing: len(revisions)}
	for i := range s.bytes {
		s.bytes[i] = unknownSize
	}
	for i, revision := range revisions {
		if revision == 0 {
			s.set(i, 0)
		}
	}
	return s
}

// found notes the size of a key that the former owner's total contains.
func (s *ringSizes) found(i, size int) {
	if s.bytes[i] == unknownSize {
		s.former = max(0, s.former-size)
		s.set(i, size)
	}
}

// set notes the size of a key that is new or that was overwritten.
func (s *ringSizes) set(i, size int) {
	if s.bytes[i] == unknownSize {
		s.missing--
	} else {
		s.known -= s.bytes[i]
	}
	s.bytes[i] = size
	s.known += size
	if s.missing == 0 {
		s.former = 0
	}
}

func (s *ringSizes) total() int { return s.known + s.former }
