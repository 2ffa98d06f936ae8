package speed

import (
	"time"
)

const (
	stallFactor = 3 // Multiple of the expected time after which the server of a call is taken to have stalled.
	// normalFactor is the multiple of the expected time up to which a call is of normal length. A call that ends so shows that its
	// server has not stalled.
	normalFactor = 1.5
	// stallPause is how long a stalled server gets no new calls. Stalls of application servers last about as long.
	stallPause = 600 * time.Millisecond
	// maxStalledShare is the largest share of a service's servers that count as stalled: if more are slow, the load is the cause.
	maxStalledShare = 1.0 / 3
)

// Watch is a call that is watched for a stall of its server.
type Watch struct {
	sent     time.Time
	expected time.Duration
	counted  bool // It has been taken for a stall before.
}

// Stall is a stall that was found.
type Stall struct {
	Server   string
	Expected time.Duration // Of the call by which it was found.
	At       time.Time     // When the call had taken stallFactor times as long.
}

// maxUnread bounds the stalls that are kept until they are read.
const maxUnread = 100

// Stalls finds the servers of plain services that stall, from the calls in progress. It is not safe for concurrent use.
type Stalls struct {
	servers map[string]*stalls
	found   int
	unread  []Stall
}

// stalls is the state of one server.
type stalls struct {
	calls      []*Watch // In progress, in the order in which they were sent.
	lastNormal time.Time
	until      time.Time // Until when the server gets no new calls.
}

// NewStalls returns a Stalls without any calls.
func NewStalls() *Stalls { return &Stalls{servers: make(map[string]*stalls)} }

// Sent records that a call with the expected time (0: unknown) was sent to a server.
func (s *Stalls) Sent(now time.Time, server string, expected time.Duration) *Watch {
	entry := s.servers[server]
	if entry == nil {
		entry = &stalls{}
		s.servers[server] = entry
	}
	w := &Watch{sent: now, expected: expected}
	entry.calls = append(entry.calls, w)
	return w
}

// Ended records that the call ended, and whether the server answered it.
func (s *Stalls) Ended(now time.Time, server string, w *Watch, answered bool) {
	entry := s.servers[server]
	if entry == nil {
		return
	}
	s.check(now, server, entry)
	for i, call := range entry.calls {
		if call == w {
			entry.calls = append(entry.calls[:i], entry.calls[i+1:]...)
			break
		}
	}
	if answered && float64(now.Sub(w.sent)) <= normalFactor*float64(w.expected) {
		entry.lastNormal = now
		if w.sent.After(entry.until.Add(-stallPause)) {
			entry.until = time.Time{} // It was sent after the stall was found.
		}
	}
	if len(entry.calls) == 0 && !now.Before(entry.until) {
		delete(s.servers, server)
	}
}

// check takes the server for stalled if one of its calls takes stallFactor times as long as expected, unless another one that
// ended since then was of normal length.
func (s *Stalls) check(now time.Time, server string, entry *stalls) {
	for _, w := range entry.calls {
		if w.counted || w.expected <= 0 || now.Sub(w.sent) < stallFactor*w.expected {
			continue
		}
		w.counted = true
		noticed := w.sent.Add(stallFactor * w.expected) // Possibly before now: nobody asked since then.
		if until := noticed.Add(stallPause); !entry.lastNormal.After(w.sent.Add(w.expected)) && until.After(entry.until) {
			if noticed.After(entry.until) {
				s.found++
				if len(s.unread) < maxUnread {
					s.unread = append(s.unread, Stall{server, w.expected, noticed})
				}
			}
			entry.until = until
		}
	}
}

// Stalled reports for each of the servers of one service whether it should get no new calls because it has stalled. It reports
// none if more than maxStalledShare have.
func (s *Stalls) Stalled(now time.Time, ids []string) []bool {
	out := make([]bool, len(ids))
	n := 0
	for i, id := range ids {
		entry := s.servers[id]
		if entry == nil {
			continue
		}
		s.check(now, id, entry)
		if now.Before(entry.until) {
			out[i] = true
			n++
		}
	}
	if float64(n) > float64(len(ids))*maxStalledShare {
		return make([]bool, len(ids))
	}
	return out
}

// Found returns the number of stalls so far, and those of them that were not returned before.
func (s *Stalls) Found() (total int, unread []Stall) {
	unread, s.unread = s.unread, nil
	return s.found, unread
}

// Sweep deletes servers that are no longer listed and have no calls.
func (s *Stalls) Sweep(listed func(id string) bool) {
	for id, entry := range s.servers {
		if !listed(id) && len(entry.calls) == 0 {
			delete(s.servers, id)
		}
	}
}
