package gateway

import (
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	// suspectCrashes is the number of crashed backend servers at which a request body is refused. A gateway cannot run a body
	// alone on a server, which would tell a culprit from a bystander after two; the same bystander at three is rare.
	suspectCrashes = 3
	maxSuspects    = 1024             // Bodies that are remembered.
	maxBrokenCalls = 4096             // Calls that broke off and whose server's death is not yet known.
	brokenMemory   = 10 * time.Second // Longer than the list of servers takes to show that a server has ended or started anew.
	suspectMemory  = 10 * time.Minute // After its last crash a body may run again, as the verdict may be wrong.
)

// suspects counts for each request body the backend servers that ended while they ran it. A call that broke off is a suspect
// when its server is then found dead: it refuses connections, has left the list, or has started anew. Safe for concurrent use.
type suspects struct {
	log *slog.Logger

	mu     sync.Mutex
	ledger *schedule.SuspectLedger // Guarded by mu.
	broken []brokenCall            // Guarded by mu. The oldest first.
	news   map[string]bool         // Guarded by mu. Fingerprints of which the hub is still to be told.
}

// brokenCall is a call whose connection ended before its answer.
type brokenCall struct {
	fingerprint string
	server      string
	born        int64
	at          time.Time
}

func newSuspects(log *slog.Logger) *suspects {
	return &suspects{log: log, ledger: schedule.NewSuspectLedger(maxSuspects, suspectCrashes), news: make(map[string]bool)}
}

// fingerprint names what a call asks for, over all attempts of its caller. Calls without a body are alike but for who sends
// them.
func fingerprint(c *calls.Call, caller string) string {
	hash := xxhash.New()
	parts := []string{c.Method, c.Host, c.Target}
	if len(c.Body) == 0 {
		parts = append(parts, c.Program, caller)
	}
	for _, part := range parts {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(c.Body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// isEmpty reports whether no body is suspected.
func (s *suspects) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Len() == 0
}

// isRefused reports whether the body may no longer run.
func (s *suspects) isRefused(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Mode(fingerprint) == schedule.RunModeRefused
}

// broke notes that a call broke off at the server.
func (s *suspects) broke(fingerprint string, server *fleet.BackendServer, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) < maxBrokenCalls {
		s.broken = append(s.broken, brokenCall{fingerprint: fingerprint, server: server.ID, born: server.Born, at: now})
	}
}

// served takes the crashes so far off the body: a server has run it and lives.
func (s *suspects) served(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Mode(fingerprint) != schedule.RunModeNormal {
		s.ledger.Clear(fingerprint)
		s.note(fingerprint)
	}
}

// died notes that the server accepts no connections: the calls that broke off at it were running when it ended.
func (s *suspects) died(server string, now time.Time) {
	s.resolve(now, func(c brokenCall) bool { return c.server == server })
}

// sweep finds the servers that have ended by the list of servers.
func (s *suspects) sweep(view *fleet.View, now time.Time) {
	s.mu.Lock()
	s.ledger.Expire(now.Add(-suspectMemory))
	s.mu.Unlock()
	s.resolve(now, func(c brokenCall) bool {
		server := view.Server(c.server)
		return server == nil || server.Born != c.born
	})
}

// resolve counts the crashes of the broken calls whose servers have ended, and forgets the calls that broke off long ago.
func (s *suspects) resolve(now time.Time, ended func(brokenCall) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = slices.DeleteFunc(s.broken, func(c brokenCall) bool {
		if !ended(c) {
			return now.Sub(c.at) > brokenMemory
		}
		crash := c.server + "/" + strconv.FormatInt(c.born, 10)
		s.ledger.Crash(c.fingerprint, crash, c.at)
		s.note(c.fingerprint)
		s.log.Warn("request ran when its server ended", "body", c.fingerprint, "crash", crash,
			"broke_off_ms_ago", now.Sub(c.at).Milliseconds(), "refused", s.ledger.Mode(c.fingerprint) == schedule.RunModeRefused)
		return true
	})
}

// note keeps what the hub is to be told. What is not told in time is known here all the same. The caller holds mu.
func (s *suspects) note(fingerprint string) {
	if len(s.news) < maxSuspects {
		s.news[fingerprint] = true
	}
}

// renew takes back news that did not reach the hub.
func (s *suspects) renew(records []schedule.CrashRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.note(r.Fingerprint)
	}
}

// takeNews returns the records that have changed since the last time.
func (s *suspects) takeNews() []schedule.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.ledger.Select(func(fingerprint string) bool { return s.news[fingerprint] })
	clear(s.news)
	return records
}

// refused returns the records of the bodies that may no longer run.
func (s *suspects) refused() []schedule.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Select(func(fingerprint string) bool { return s.ledger.Mode(fingerprint) == schedule.RunModeRefused })
}

// learn takes over what another gateway has counted.
func (s *suspects) learn(records []schedule.CrashRecord) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Merge(records)
}
