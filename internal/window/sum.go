// Package window adds up values over a sliding window of time.
package window

import "time"

// Sum adds up values over a span of time that ends now. The span is exact to one slot. It is not safe for concurrent use.
type Sum struct {
	slot   time.Duration // Length of a slot.
	slots  []float64
	newest int64 // Number of the newest slot since the epoch.
	total  float64
}

// NewSum returns a sum over the span, which is divided into the given number of slots.
func NewSum(span time.Duration, slots int) Sum {
	return Sum{slot: max(span/time.Duration(slots), time.Millisecond), slots: make([]float64, slots)}
}

// advance drops the slots that have left the span.
func (s *Sum) advance(now time.Time) {
	n, size := now.UnixNano()/int64(s.slot), int64(len(s.slots))
	if n-s.newest >= size {
		clear(s.slots)
		s.total = 0
	} else {
		for i := s.newest + 1; i <= n; i++ {
			s.total -= s.slots[i%size]
			s.slots[i%size] = 0
		}
	}
	s.newest = max(s.newest, n)
}

// Add adds a value at the given time. A time before that of an earlier call counts as the latter.
func (s *Sum) Add(now time.Time, value float64) {
	s.advance(now)
	s.slots[s.newest%int64(len(s.slots))] += value
	s.total += value
}

// Total returns the sum of the values in the span that ends at the given time.
func (s *Sum) Total(now time.Time) float64 {
	s.advance(now)
	return s.total
}
