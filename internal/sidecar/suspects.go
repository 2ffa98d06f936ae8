package sidecar

import (
	"fmt"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	maxSuspects = 256         // Fingerprints remembered and reported.
	crashGrace  = time.Second // A server that dies may still answer a probe for this long.
)

// suspects counts the request bodies that were running when a backend server died. A broken execution is noted first; it
// counts when a probe finds the server dead or restarted soon after. It is safe for concurrent use.
type suspects struct {
	server string // Prefix of the identities of this server's crashes.

	mu      sync.Mutex
	broken  map[string]time.Time // Fingerprint to when its execution broke; under mu, as all below.
	crashes int                  // Crashes of this server that counted.
	dead    bool                 // The last crash has been counted and the server has not answered since.
	ledger  *schedule.SuspectLedger
}

func newSuspects(server string) *suspects {
	return &suspects{
		server: server, broken: make(map[string]time.Time), ledger: schedule.NewSuspectLedger(maxSuspects),
	}
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

// Alive says that the server answered a probe, sent at the given time, as the same process as before: what broke some
// time earlier was no crash.
func (s *suspects) Alive(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, at := range s.broken {
		if at.Before(asked.Add(-crashGrace)) {
			delete(s.broken, fingerprint)
		}
	}
}

// Recovered says that the server answers again: what breaks from now on belongs to another crash.
func (s *suspects) Recovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = false
}

// Crashed counts a crash against every execution that broke. It returns their number.
func (s *suspects) Crashed(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := len(s.broken)
	if counted == 0 {
		return 0
	}
	if !s.dead {
		s.crashes++
		s.dead = true
	}
	crash := fmt.Sprintf("%s/%d", s.server, s.crashes)
	for fingerprint := range s.broken {
		s.ledger.Crash(fingerprint, crash, now)
	}
	clear(s.broken)
	return counted
}

// Learn takes in what entries know of the crashes of all backend servers.
func (s *suspects) Learn(reported []api.Suspect, now time.Time) {
	if len(reported) == 0 {
		return
	}
	records := make([]schedule.CrashRecord, 0, len(reported))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reported {
		record := schedule.CrashRecord{Fingerprint: r.Fingerprint, Crashes: r.IDs, Last: now}
		if len(r.IDs) == 0 {
			record.Crashes = s.unnamed(r)
		}
		records = append(records, record)
	}
	s.ledger.Merge(records)
}

// unnamed makes up identities for the crashes that a reporter counted beyond those known here. The caller holds mu.
func (s *suspects) unnamed(r api.Suspect) []string {
	known := 0
	switch s.ledger.Verdict(r.Fingerprint) {
	case schedule.VerdictAlone:
		known = 1
	case schedule.VerdictRefuse:
		known = schedule.MaxCrashes
	}
	var ids []string
	for i := known; i < min(r.Crashes, schedule.MaxCrashes); i++ {
		ids = append(ids, fmt.Sprintf("unnamed/%d", i))
	}
	return ids
}

// Verdict returns how a request body may run.
func (s *suspects) Verdict(fingerprint string) schedule.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Verdict(fingerprint)
}

// Report returns the crashes known.
func (s *suspects) Report() []api.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Len() == 0 {
		return nil
	}
	records := s.ledger.Records()
	out := make([]api.Suspect, 0, len(records))
	for _, r := range records {
		out = append(out, api.Suspect{Fingerprint: r.Fingerprint, Crashes: len(r.Crashes), IDs: r.Crashes})
	}
	return out
}
