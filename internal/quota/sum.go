package quota

import "time"

// sumSlots is the number of slots of a slidingSum. Its span is exact to one slot.
const sumSlots = 50

// slidingSum adds up values over a span of time that ends now.
type slidingSum struct {
	slot   time.Duration // Length of a slot.
	slots  [sumSlots]float64
	newest int64 // Number of the newest slot since the zero time of the process's clock.
	total  float64
}

// newSlidingSum returns a sum over the span.
func newSlidingSum(span time.Duration) slidingSum {
	return slidingSum{slot: max(span/sumSlots, time.Millisecond)}
}

// advance drops the slots that have left the span.
func (s *slidingSum) advance(now time.Time) {
	n := now.UnixNano() / int64(s.slot)
	if n-s.newest >= sumSlots {
		clear(s.slots[:])
		s.total = 0
	} else {
		for i := s.newest + 1; i <= n; i++ {
			s.total -= s.slots[i%sumSlots]
			s.slots[i%sumSlots] = 0
		}
	}
	s.newest = max(s.newest, n)
}

// add adds a value at the given time.
func (s *slidingSum) add(now time.Time, value float64) {
	s.advance(now)
	s.slots[s.newest%sumSlots] += value
	s.total += value
}

// sum returns the sum of the values in the span that ends at the given time.
func (s *slidingSum) sum(now time.Time) float64 {
	s.advance(now)
	return s.total
}
