package gateway

import "time"

const (
	servedPeriod      = 30 * time.Second // A request counts as recently served for this time at least, and twice as long at most.
	maxServedInPeriod = 2048             // Bounds the requests of one period.
)

// servedRequests holds the fingerprints of requests that were served recently. It is not safe for concurrent use.
type servedRequests struct {
	current, previous map[string]bool
	began             time.Time // Of the current period.
}

// add records that a request was served. If there are too many, the earliest are forgotten.
func (s *servedRequests) add(fingerprint string, now time.Time) {
	s.expire(now)
	if len(s.current) >= maxServedInPeriod {
		s.rotate(now)
	}
	if s.current == nil {
		s.current = make(map[string]bool)
	}
	s.current[fingerprint] = true
}

// contains reports whether the request was served recently.
func (s *servedRequests) contains(fingerprint string, now time.Time) bool {
	s.expire(now)
	return s.current[fingerprint] || s.previous[fingerprint]
}

// expire begins another period if the current one is over.
func (s *servedRequests) expire(now time.Time) {
	switch age := now.Sub(s.began); {
	case age > 2*servedPeriod:
		s.current = nil
		s.rotate(now)
	case age > servedPeriod:
		s.rotate(now)
	}
}

func (s *servedRequests) rotate(now time.Time) { s.previous, s.current, s.began = s.current, nil, now }
