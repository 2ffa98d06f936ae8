package sidecar

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	suspectMemory = time.Hour   // How long a fingerprint is reported after its last crash.
	crashGrace    = time.Second // A server that dies may still answer a probe for this long.
	crashLimit    = 2           // Crashes after which a request body is refused.
)

// suspects counts the request bodies that were running when the backend server died. A broken execution is noted first;
// it counts when the next probe finds the server dead or restarted. It is safe for concurrent use.
type suspects struct {
	mu     sync.Mutex
	broken map[string]time.Time // Fingerprint to when its execution broke; under mu, as all below.
	own    map[string]*suspect  // Crashes of this backend server.
	shared map[string]int       // Crashes that entries have reported, of any backend server.
}

type suspect struct {
	crashes int
	last    time.Time
}

func newSuspects() *suspects {
	return &suspects{broken: make(map[string]time.Time), own: make(map[string]*suspect), shared: make(map[string]int)}
}

// Broke notes an execution whose connection broke.
func (s *suspects) Broke(fingerprint string, now time.Time) {
	if fingerprint == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[fingerprint] = now
}

// Alive says that the server answered a probe, sent at the given time, as the same process as before: what broke earlier
// was no crash.
func (s *suspects) Alive(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, at := range s.broken {
		if at.Before(asked.Add(-crashGrace)) {
			delete(s.broken, fingerprint)
		}
	}
}

// Crashed counts a crash against every execution that broke. It returns their number.
func (s *suspects) Crashed(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := len(s.broken)
	for fingerprint := range s.broken {
		entry := s.own[fingerprint]
		if entry == nil {
			entry = &suspect{}
			s.own[fingerprint] = entry
		}
		entry.crashes++
		entry.last = now
	}
	clear(s.broken)
	return counted
}

// Learn takes in what entries know of all backend servers.
func (s *suspects) Learn(reported []api.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reported {
		s.shared[r.Fingerprint] = max(s.shared[r.Fingerprint], r.Crashes)
	}
}

// Crashes returns the crashes known of the fingerprint.
func (s *suspects) Crashes(fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.shared[fingerprint]
	if entry := s.own[fingerprint]; entry != nil {
		crashes = max(crashes, entry.crashes)
	}
	return crashes
}

// Report returns the crashes of this backend server and forgets those past their time.
func (s *suspects) Report(now time.Time) []api.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []api.Suspect
	for fingerprint, entry := range s.own {
		if now.Sub(entry.last) > suspectMemory {
			delete(s.own, fingerprint)
			continue
		}
		out = append(out, api.Suspect{Fingerprint: fingerprint, Crashes: entry.crashes})
	}
	return out
}
