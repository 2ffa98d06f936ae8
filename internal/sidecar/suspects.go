package sidecar

import (
	"fmt"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	maxSuspects = 256         // Maximum number of fingerprints that are stored and reported.
	crashGrace  = time.Second // A crashing server may still answer a probe for this long.
)

// suspects counts, for each request body, the crashes of backend servers during which it was running. Probes detect a
// crash, and a broken connection shows that an execution was running; either may be noticed first. An execution counts
// as running during a crash if its connection broke within crashGrace of it. It is safe for concurrent use.
type suspects struct {
	idPrefix string // Prefix of the ids of this server's crashes: name and incarnation of the sidecar.

	mu        sync.Mutex
	brokenAt  map[string]time.Time // By fingerprint, when the connection of its execution broke; under mu, like all below.
	crashes   int                  // Number of crashes of this server.
	lastCrash time.Time            // Time of the latest crash.
	down      bool                 // The server has not answered a probe since its latest crash or since the start.
	ledger    *schedule.SuspectLedger
}

func newSuspects(idPrefix string) *suspects {
	return &suspects{
		idPrefix: idPrefix, down: true, brokenAt: make(map[string]time.Time), ledger: schedule.NewSuspectLedger(maxSuspects, schedule.MaxCrashes),
	}
}

// RecordBroken records that the connection of an execution that began at startedAt broke.
func (s *suspects) RecordBroken(fingerprint string, startedAt, now time.Time) {
	if fingerprint == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if startedAt.Before(s.lastCrash) && now.Sub(s.lastCrash) < crashGrace {
		s.ledger.Crash(fingerprint, s.crashID(), now)
		return
	}
	s.brokenAt[fingerprint] = now
}

// RecordAlive records that the server answered a probe that was sent at sentAt, and is the same process as before.
// Connections that broke more than crashGrace before the probe therefore did not break because of a crash.
func (s *suspects) RecordAlive(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	for fingerprint, at := range s.brokenAt {
		if at.Before(sentAt.Add(-crashGrace)) {
			delete(s.brokenAt, fingerprint)
		}
	}
}

// RecordRefused records that the server cannot be connected to. It returns true when that is a crash that has not been
// counted yet.
func (s *suspects) RecordRefused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.down = true
	s.recordCrash(now)
	return true
}

// RecordRestart records that the server answers but is another process than before. It returns true when the crash in
// between has not been counted yet.
func (s *suspects) RecordRestart(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alreadyDown := s.down
	s.down = false
	if alreadyDown {
		return false
	}
	s.recordCrash(now)
	return true
}

// recordCrash counts a crash for every body whose connection broke. The caller holds mu.
func (s *suspects) recordCrash(now time.Time) {
	s.crashes++
	s.lastCrash = now
	for fingerprint := range s.brokenAt {
		s.ledger.Crash(fingerprint, s.crashID(), now)
	}
	clear(s.brokenAt)
}

// crashID returns the id of the latest crash. The caller holds mu.
func (s *suspects) crashID() string { return fmt.Sprintf("%s/%d", s.idPrefix, s.crashes) }

// Merge adds the crashes of all backend servers that an entry has reported.
func (s *suspects) Merge(reported []api.Suspect, now time.Time) {
	if len(reported) == 0 {
		return
	}
	records := make([]schedule.CrashRecord, 0, len(reported))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reported {
		record := schedule.CrashRecord{Fingerprint: r.Fingerprint, Crashes: r.IDs, Cleared: r.Cleared, Last: now}
		if len(r.IDs) == 0 && r.Crashes > 0 {
			record.Crashes = s.syntheticIDs(r)
		}
		records = append(records, record)
	}
	s.ledger.Merge(records)
}

// syntheticIDs returns ids for crashes that were reported without ids, as many as the report counts beyond those known
// here. The caller holds mu.
func (s *suspects) syntheticIDs(r api.Suspect) []string {
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

// Mode returns how a request body may run.
func (s *suspects) Mode(fingerprint string) schedule.RunMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Mode(fingerprint)
}

// Report returns all known crashes by request body.
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
