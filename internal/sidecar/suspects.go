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

// suspects counts the request bodies that were running when a backend server died. A death is seen by probes, a broken
// execution by its connection, in either order: what breaks within crashGrace of a death counts. It is safe for
// concurrent use.
type suspects struct {
	server string // Prefix of the identities of this server's crashes.

	mu      sync.Mutex
	broken  map[string]time.Time // Fingerprint to when its execution broke; under mu, as all below.
	crashes int                  // Deaths of this server.
	died    time.Time            // Time of the latest death.
	down    bool                 // The server has not been seen alive since its latest death, or at all.
	ledger  *schedule.SuspectLedger
}

func newSuspects(server string) *suspects {
	return &suspects{
		server: server, down: true, broken: make(map[string]time.Time), ledger: schedule.NewSuspectLedger(maxSuspects, schedule.MaxCrashes),
	}
}

// Broke notes an execution, begun at the given time, whose connection broke.
func (s *suspects) Broke(fingerprint string, begun, now time.Time) {
	if fingerprint == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun.Before(s.died) && now.Sub(s.died) < crashGrace {
		s.ledger.Crash(fingerprint, s.crash(), now)
		return
	}
	s.broken[fingerprint] = now
}

// Alive says that the server answered a probe, sent at the given time, as the same process as before: what broke some
// time earlier was no crash.
func (s *suspects) Alive(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	for fingerprint, at := range s.broken {
		if at.Before(asked.Add(-crashGrace)) {
			delete(s.broken, fingerprint)
		}
	}
}

// Refused says that the server cannot be connected to. It returns true when that is news.
func (s *suspects) Refused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.down = true
	s.die(now)
	return true
}

// Restarted says that the server answers as another process than before. It returns true when its death is news.
func (s *suspects) Restarted(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.down
	s.down = false
	if known {
		return false
	}
	s.die(now)
	return true
}

// die counts a death against every execution that broke. The caller holds mu.
func (s *suspects) die(now time.Time) {
	s.crashes++
	s.died = now
	for fingerprint := range s.broken {
		s.ledger.Crash(fingerprint, s.crash(), now)
	}
	clear(s.broken)
}

// crash returns the identity of the latest death. The caller holds mu.
func (s *suspects) crash() string { return fmt.Sprintf("%s/%d", s.server, s.crashes) }

// Learn takes in what entries know of the crashes of all backend servers.
func (s *suspects) Learn(reported []api.Suspect, now time.Time) {
	if len(reported) == 0 {
		return
	}
	records := make([]schedule.CrashRecord, 0, len(reported))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reported {
		record := schedule.CrashRecord{Fingerprint: r.Fingerprint, Crashes: r.IDs, Cleared: r.Cleared, Last: now}
		if len(r.IDs) == 0 && r.Crashes > 0 {
			record.Crashes = s.unnamed(r)
		}
		records = append(records, record)
	}
	s.ledger.Merge(records)
}

// unnamed makes up identities for the crashes that a reporter counted beyond those known here. The caller holds mu.
func (s *suspects) unnamed(r api.Suspect) []string {
	known := 0
	switch s.ledger.Mode(r.Fingerprint) {
	case schedule.RunModeAlone:
		known = 1
	case schedule.RunModeRefused:
		known = schedule.MaxCrashes
	}
	var ids []string
	for i := known; i < min(r.Crashes, schedule.MaxCrashes); i++ {
		ids = append(ids, fmt.Sprintf("unnamed/%d", i))
	}
	return ids
}

// Verdict returns how a request body may run.
func (s *suspects) Verdict(fingerprint string) schedule.RunMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Mode(fingerprint)
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
		out = append(out, api.Suspect{Fingerprint: r.Fingerprint, Crashes: len(r.Crashes), IDs: r.Crashes, Cleared: r.Cleared})
	}
	return out
}
