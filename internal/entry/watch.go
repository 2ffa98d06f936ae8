package entry

import (
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	// primaryHeartbeats and standbyHeartbeats are the intervals, in heartbeats, at which the primary watcher and the other
	// watchers of a sidecar exchange with it.
	primaryHeartbeats = 2
	standbyHeartbeats = 4
	// renewDivisor divides the hold time into the interval at which holds are renewed.
	renewDivisor = 3
	// silentFailures is the number of consecutive unanswered heartbeats from which a sidecar is reported as silent.
	silentFailures = 2
	// fastRetryFailures is the number of consecutive unanswered heartbeats below which the sidecar is asked again at every
	// heartbeat.
	fastRetryFailures = 6
)

// protocolActive reports whether sidecars are watched through the membership protocol.
func (f *fleet) protocolActive() bool { return f.protocol != nil && f.protocol.active() }

// exchangeDue reports whether this entry is to send the sidecar a heartbeat now. While the membership protocol is active,
// only the sidecar's watchers do so regularly. Other entries do so if they have changed fences, releases or renewals to
// send, if the last heartbeats were not answered, or if no watcher has reported the sidecar.
func (f *fleet) exchangeDue(id string, s *sidecar) bool {
	if !f.protocolActive() {
		return true
	}
	request := f.baseRequest()
	sortFences(request.Fences)
	_, _, reported := f.protocol.watcherReport(id)
	rank := f.protocol.watcherRank(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	sinceLast := time.Since(s.lastAttemptAt)
	// exchangeDue runs once per heartbeat. Without a tolerance, a slightly early run would put the exchange off to the next.
	tolerance := f.heartbeat / 2
	switch {
	case len(s.pendingReleases) > 0 || !slices.Equal(s.sentFences, request.Fences):
		return true
	case s.failures > 0 && s.failures < fastRetryFailures:
		return true
	case rank == 0:
		return sinceLast >= primaryHeartbeats*f.heartbeat-tolerance
	case rank > 0 || !reported:
		return sinceLast >= standbyHeartbeats*f.heartbeat-tolerance
	}
	return len(s.renewUntil) > 0 && sinceLast >= ms(request.HoldMS)/renewDivisor
}

// applyWatcherReport applies the watchers' report of the sidecar, or the sidecar's last answer to this entry if that is
// newer. It does nothing unless the membership protocol is active.
func (f *fleet) applyWatcherReport(id string, s *sidecar) {
	if !f.protocolActive() {
		return
	}
	response, age, ok := f.protocol.watcherReport(id)
	direct, directAge, directOK := s.lastResponse()
	if directOK && (!ok || directAge < age) {
		response, age, ok = direct, directAge, true
	}
	if !ok || !s.recordWatcherReport(&response, age) {
		return
	}
	f.onResponse(id, &api.ExchangeRequest{}, &response)
}

// lastResponse returns the state that this entry last learned of the sidecar, and the age of the sidecar's last answer to
// it. ok is false if the answer is too old or a heartbeat has failed since.
func (s *sidecar) lastResponse() (r api.ExchangeResponse, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age = time.Since(s.reportedAt)
	if s.failures > 0 || age > maxWatcherReportAge {
		return api.ExchangeResponse{}, age, false
	}
	return api.ExchangeResponse{Incarnation: s.incarnation, ConfigRevision: s.revision, Load: s.load}, age, true
}

// recordWatcherReport records a report of the given age. It returns false, and records nothing, if a heartbeat of this
// entry has failed since the report was made. The number of running calls is at least that of this entry's own calls.
func (s *sidecar) recordWatcherReport(r *api.ExchangeResponse, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Add(-age).Before(s.lastFailureAt) {
		return false
	}
	r.Load.Running = max(r.Load.Running, s.inFlight)
	s.load, s.incarnation, s.revision = r.Load, r.Incarnation, r.ConfigRevision
	s.seenAt = now
	return true
}

// sortFences sorts fences by journal, so that two sets can be compared.
func sortFences(fences []api.Fence) {
	slices.SortFunc(fences, func(a, b api.Fence) int { return a.Journal - b.Journal })
}

// recordAttempt records that a heartbeat is being sent.
func (s *sidecar) recordAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAttemptAt = time.Now()
}

// recordSuccess records which fences the sidecar has received and reports its answer to the other entries.
func (f *fleet) recordSuccess(id string, s *sidecar, request *api.ExchangeRequest, response *api.ExchangeResponse) {
	fences := slices.Clone(request.Fences)
	sortFences(fences)
	s.mu.Lock()
	s.sentFences, s.failures = fences, 0
	s.mu.Unlock()
	if f.protocolActive() {
		f.protocol.reportResponse(id, response)
	}
}

// recordFailure records an unanswered heartbeat. From silentFailures on, it reports the sidecar as silent to the other
// entries.
func (f *fleet) recordFailure(id string, s *sidecar) {
	s.mu.Lock()
	s.failures++
	s.lastFailureAt = time.Now()
	silent := s.failures >= silentFailures
	s.mu.Unlock()
	if silent && f.protocolActive() {
		f.protocol.reportSilent(id)
	}
}
