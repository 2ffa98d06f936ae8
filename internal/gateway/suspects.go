package gateway

import (
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/liveness"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	// suspectCrashes is the number of backend servers that must have crashed before a request body is refused. Two crashes
	// would be enough if the body could be run alone on a server, which would show whether it causes the crash. A gateway
	// cannot do that. An innocent body is rarely running in three crashes.
	suspectCrashes      = 3
	maxSuspects         = 1024             // Request bodies with recorded crashes.
	maxBrokenCalls      = 4096             // Calls that broke off and whose server is not known to have ended.
	brokenCallRetention = 10 * time.Second // Longer than the list of servers takes to show that a server has ended or restarted.
	suspectRetention    = 10 * time.Minute // After the last crash. Then a body may run again, as it may not be the cause.
	togetherTime        = 2 * time.Second  // See brokenCall.crashID.
)

// suspects counts for each request body the backend servers that ended while running it. A call that broke off is counted
// when its server is then found to have ended: the server refuses connections, has left the list, or has restarted. A call that
// was abandoned is counted only if its server had ended before that: servers that leave later have not ended under it. It is safe
// for concurrent use.
type suspects struct {
	log     *slog.Logger
	crashes *vm.Counter // Counted by this process.

	mu         sync.Mutex
	ledger     *schedule.SuspectLedger // Guarded by mu.
	broken     []brokenCall            // Guarded by mu. The oldest first.
	unreported map[string]bool         // Guarded by mu. Fingerprints whose records have changed since the last report to the hub.
	served     servedRequests          // Guarded by mu. Of plain services.
}

// brokenCall is a call that ended before its answer was complete.
type brokenCall struct {
	fingerprint string
	server      string
	born        int64     // Start of the server's run in Unix milliseconds.
	at          time.Time // When the call ended.
	abandoned   bool      // This process ended it, at its deadline or because its caller left.
	unreachable bool      // Abandoned, and the server's host did not answer then.
	keptSince   time.Time // Start of brokenCallRetention.
	served      bool      // The request had been served shortly before.
}

// crashID returns the id of the crash under which the call ended. Crashes with one id count once. For a request that has just been served,
// those of the same moment are one: servers that end together, while they run copies of it, end for another reason.
func (c brokenCall) crashID() string {
	moment := strconv.FormatInt(c.at.UnixNano()/int64(togetherTime), 10)
	switch {
	case c.served:
		return "together/" + moment
	case c.born == 0: // The server names no start, which would tell its runs apart.
		return c.server + "/at/" + moment
	}
	return c.server + "/" + strconv.FormatInt(c.born, 10)
}

func newSuspects(log *slog.Logger, crashes *vm.Counter) *suspects {
	return &suspects{log: log, crashes: crashes, ledger: schedule.NewSuspectLedger(maxSuspects, suspectCrashes), unreported: make(map[string]bool)}
}

// fingerprint identifies a request across all attempts of its caller, by a hash of method, host, target and body. For calls
// without a body it includes the program, or else the caller's address, because such requests are otherwise identical. The calls of a
// program may come from several addresses. Requests of different organisations differ: what one of them sends does not get another
// one's calls refused.
func fingerprint(c *calls.Call, organisation, caller string) string {
	hash := xxhash.New()
	parts := []string{c.Method, c.Host, c.Target}
	if organisation != "" {
		parts = append([]string{"", organisation}, parts...) // No method is empty, so this differs from any request without one.
	}
	if len(c.Body) == 0 {
		if c.Program != "" {
			caller = ""
		}
		parts = append(parts, c.Program, caller)
	}
	for _, part := range parts {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(c.Body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// fingerprint returns the fingerprint of the call, whose body must have been read.
func (x *exchange) fingerprint() string {
	if x.bodyFingerprint == "" {
		x.bodyFingerprint = fingerprint(x.call, x.organisationName(), x.caller)
	}
	return x.bodyFingerprint
}

// checkSuspect returns an error if the call is refused because too many servers ended while they ran it.
func (x *exchange) checkSuspect() error {
	if x.g.suspects.isEmpty() || !x.g.suspects.isRefused(x.fingerprint()) {
		return nil
	}
	return api.Errorf(api.CodeCrashSuspect, "%d backend servers ended while running this request", suspectCrashes)
}

// isRefusal reports whether the call was refused right before it would have been sent, for a reason that holds at every server.
func isRefusal(err error) bool {
	var failure *api.Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Code == api.CodeCrashSuspect || failure.Code == api.CodeStreamUnknown || failure.Code == api.CodeDraining
}

// isEmpty reports whether no body has recorded crashes.
func (s *suspects) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Len() == 0
}

// crashesOf returns the number of crashes recorded for the fingerprint.
func (s *suspects) crashesOf(fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Crashes(fingerprint)
}

// isRefusedLocked is isRefused for a caller that holds mu.
func (s *suspects) isRefusedLocked(fingerprint string) bool {
	return s.ledger.Mode(fingerprint) == schedule.RunModeRefused
}

// isRefused reports whether calls with the fingerprint are refused.
func (s *suspects) isRefused(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRefusedLocked(fingerprint)
}

// recordBrokenCall records a call that broke off. It counts as a crash if the server is found to have ended.
func (s *suspects) recordBrokenCall(c brokenCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) >= maxBrokenCalls {
		// The oldest have been checked. A mass of calls that are given up must not hide those that break off.
		oldest := max(slices.IndexFunc(s.broken, func(c brokenCall) bool { return c.abandoned }), 0)
		s.broken = slices.Delete(s.broken, oldest, oldest+1)
	}
	c.keptSince, c.served = c.at, s.served.contains(c.fingerprint, c.at)
	s.broken = append(s.broken, c)
}

// rememberServed remembers that a request was served, in case servers end soon while they run it.
func (s *suspects) rememberServed(fingerprint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.add(fingerprint, now)
}

// recordServed clears the crashes recorded for the body, because a server has run it without ending. It returns how many they were.
func (s *suspects) recordServed(fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.ledger.Crashes(fingerprint)
	if crashes > 0 {
		s.ledger.Clear(fingerprint)
		s.queueReport(fingerprint)
	}
	return crashes
}

// recordUnreachable counts crashes for the calls that broke off at the server, which now refuses connections: they were
// running when it ended.
func (s *suspects) recordUnreachable(server string, now time.Time) {
	s.resolve(now, func(c brokenCall) bool { return c.server == server && !c.abandoned })
}

// recordState uses the result of a check of the server that was made when a call had ended there. Abandoned calls at a server that
// runs are no crashes, unless the list shows another run of it.
func (s *suspects) recordState(server string, state liveness.State, view *fleet.View, now time.Time) {
	s.resolve(now, func(c brokenCall) bool {
		return c.server == server && (state == liveness.Ended || c.abandoned && hasRestarted(view, c))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.broken {
		if c := &s.broken[i]; c.server == server && c.abandoned {
			c.unreachable = state == liveness.Unknown
		}
	}
	if state == liveness.Running {
		s.broken = slices.DeleteFunc(s.broken, func(c brokenCall) bool { return c.server == server && c.abandoned })
	}
}

// hasRestarted reports whether the list shows a later run of the server than the one that had the call.
func hasRestarted(view *fleet.View, c brokenCall) bool {
	server := view.Server(c.server)
	return server != nil && server.Born != c.born
}

// sweep counts crashes for the broken calls whose servers, by the list of servers, have ended or restarted. It also drops
// crash records that are older than suspectRetention. While the key-value service is away the list shows nothing, and no broken
// call expires.
func (s *suspects) sweep(view *fleet.View, away bool, now time.Time) {
	s.mu.Lock()
	s.ledger.Expire(now.Add(-suspectRetention))
	if away {
		for i := range s.broken {
			s.broken[i].keptSince = now
		}
	}
	s.mu.Unlock()
	s.resolve(now, func(c brokenCall) bool {
		return (!c.abandoned || c.unreachable) && (view.Server(c.server) == nil || hasRestarted(view, c))
	})
}

// resolve counts crashes for the broken calls whose servers have ended, and drops the calls that broke off more than
// brokenCallRetention ago.
func (s *suspects) resolve(now time.Time, ended func(brokenCall) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = slices.DeleteFunc(s.broken, func(c brokenCall) bool {
		if !ended(c) {
			expired := now.Sub(c.keptSince) > brokenCallRetention
			if expired && !c.abandoned {
				s.log.Info("call that broke off is no crash", "body", c.fingerprint, "server", c.server, "born", c.born)
			}
			return expired
		}
		crash := c.crashID()
		s.ledger.Crash(c.fingerprint, crash, c.at)
		s.queueReport(c.fingerprint)
		s.crashes.Inc()
		s.log.Warn("request ran when its server ended", "body", c.fingerprint, "server", c.server, "born", c.born, "crash", crash,
			"broke_off_ms_ago", now.Sub(c.at).Milliseconds(), "crashes", s.ledger.Crashes(c.fingerprint), "refused", s.isRefusedLocked(c.fingerprint))
		return true
	})
}

// queueReport marks the record of the fingerprint as changed since the last report to the hub. Beyond maxSuspects the change
// is not reported, but still applies in this process. The caller holds mu.
func (s *suspects) queueReport(fingerprint string) {
	if len(s.unreported) < maxSuspects {
		s.unreported[fingerprint] = true
	}
}

// requeueReports queues records again that could not be reported to the hub.
func (s *suspects) requeueReports(records []schedule.CrashRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.queueReport(r.Fingerprint)
	}
}

// requeueAll queues all records for the next report, because the hub has changed: the records that only the former hub knew are
// pooled again from those of all gateways.
func (s *suspects) requeueAll() {
	s.requeueReports(s.AllRecords())
}

// takeUnreported returns the records that have changed since the last call.
func (s *suspects) takeUnreported() []schedule.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.ledger.Select(func(fingerprint string) bool { return s.unreported[fingerprint] })
	clear(s.unreported)
	return records
}

// refused returns the records of the bodies that are refused.
func (s *suspects) refused() []schedule.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Select(s.isRefusedLocked)
}

// merge adds the crash records of another gateway.
func (s *suspects) merge(records []schedule.CrashRecord, from string) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var before []string
	for _, r := range records {
		if s.isRefusedLocked(r.Fingerprint) {
			before = append(before, r.Fingerprint)
		}
	}
	s.ledger.Merge(records)
	for _, r := range records {
		if s.isRefusedLocked(r.Fingerprint) != slices.Contains(before, r.Fingerprint) {
			s.log.Info("refusal of request changed by another gateway", "body", r.Fingerprint, "gateway", from,
				"crashes", s.ledger.Crashes(r.Fingerprint), "refused", s.isRefusedLocked(r.Fingerprint))
		}
	}
}
