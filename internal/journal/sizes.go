package journal

// maxListBytes is the largest size of a ring, in stored bytes, that recovery reads with one request instead of one
// request per slot.
const maxListBytes = 8 << 20

// ringSizes tracks the size of the ring's values, so that a successor knows whether one request may read them all. The
// total is an upper bound: values that this owner has neither read nor written are counted with the former owner's
// total until all sizes are known.
type ringSizes struct {
	sizes        []int // Size of each key's value by index, or unknownSize.
	knownTotal   int   // Sum of the known sizes.
	formerTotal  int   // The former owner's total less the sizes learned since; 0 once all are known.
	unknownCount int   // Number of keys whose size is not known.
}

const unknownSize = -1

// newRingSizes returns the sizes of a ring whose total is at most stored bytes. The size of keys that do not exist is
// known to be 0.
func newRingSizes(revisions []int64, stored int) ringSizes {
	s := ringSizes{sizes: make([]int, len(revisions)), formerTotal: stored, unknownCount: len(revisions)}
	for i := range s.sizes {
		s.sizes[i] = unknownSize
	}
	for i, revision := range revisions {
		if revision == 0 {
			s.set(i, 0)
		}
	}
	return s
}

// setExisting records the size of a value that the former owner's total includes.
func (s *ringSizes) setExisting(i, size int) {
	if s.sizes[i] == unknownSize {
		s.formerTotal = max(0, s.formerTotal-size)
		s.set(i, size)
	}
}

// set records the size of a value that was written or overwritten.
func (s *ringSizes) set(i, size int) {
	if s.sizes[i] == unknownSize {
		s.unknownCount--
	} else {
		s.knownTotal -= s.sizes[i]
	}
	s.sizes[i] = size
	s.knownTotal += size
	if s.unknownCount == 0 {
		s.formerTotal = 0
	}
}

// total returns an upper bound on the stored bytes of the ring.
func (s *ringSizes) total() int { return s.knownTotal + s.formerTotal }
