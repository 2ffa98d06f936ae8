package sidecar

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// unhealthyThreshold is the number of consecutive failures after which a backend server is unhealthy. A refused
// connection makes it unhealthy immediately.
const unhealthyThreshold = 2

// health is the health of the backend server as found by probes and failed executions. It is safe for concurrent use.
type health struct {
	mu           sync.Mutex
	healthy      bool       // Under mu, like all below.
	failures     int        // Consecutive failures of probes and executions.
	unresponsive bool       // Unhealthy, and a probe timed out: the server may accept connections but does not answer.
	report       engineLoad // Latest report of an engine.
}

// recordSuccess records the answer to a probe. It returns whether the engine is another process than the one that
// answered the previous probe.
func (h *health) recordSuccess(report engineLoad) (restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted = h.report.BootID != "" && report.BootID != h.report.BootID
	h.healthy, h.unresponsive, h.failures, h.report = true, false, 0, report
	return restarted
}

// recordFailure records a failed probe or execution; refused means that the server refused the connection. It returns
// whether the server is unhealthy.
func (h *health) recordFailure(refused bool) (unhealthy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if refused || h.failures >= unhealthyThreshold {
		h.healthy = false
	}
	return !h.healthy
}

// recordTimeout records that a probe timed out. It is called after recordFailure for the same probe. A server that is
// unhealthy thereby becomes unresponsive; recordTimeout returns true if it was not unresponsive before.
func (h *health) recordTimeout() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUnresponsive := h.unresponsive
	h.unresponsive = !h.healthy
	return h.unresponsive && !wasUnresponsive
}

// isUnresponsive reports whether the server does not answer probes.
func (h *health) isUnresponsive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unresponsive
}

// get returns whether the server is healthy, and the engine's latest report.
func (h *health) get() (bool, engineLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healthy, h.report
}

// probeLoop probes the backend server until ctx ends.
func (s *Sidecar) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(s.settings.ProbeInterval)
	defer ticker.Stop()
	for {
		s.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.probeNow:
		}
	}
}

// probe probes the backend server once. Afterwards the dispatcher resumes: jobs that waited because a connection broke
// start, or fail if the server has crashed.
func (s *Sidecar) probe(ctx context.Context) {
	sentAt := time.Now()
	defer s.dispatcher.Resume(sentAt)
	report, err := s.queryBackend(ctx)
	if err != nil {
		unhealthy := s.health.recordFailure(errors.Is(err, syscall.ECONNREFUSED))
		// A timeout does not prove a crash: the server may be paused or unreachable over the network. Connections that
		// fail repeatedly do, even when an intermediary accepts them on behalf of the server.
		if unhealthy && !isTimeout(err) && s.suspects.RecordRefused(time.Now()) {
			s.handleCrash("cannot connect to the backend server")
		}
		if isTimeout(err) && s.health.recordTimeout() {
			s.rejectQueued()
		}
		return
	}
	if !s.health.recordSuccess(report) {
		s.suspects.RecordAlive(sentAt)
		s.refreshServing(ctx, false)
		return
	}
	defer s.refreshServing(ctx, true)
	s.holds.Invalidate()
	if s.suspects.RecordRestart(time.Now()) {
		s.handleCrash("the backend server has restarted")
	}
}

// queryBackend requests the report of an engine. For a service it only checks that the service accepts a connection.
func (s *Sidecar) queryBackend(ctx context.Context) (engineLoad, error) {
	if s.engine != nil {
		return s.engine.Load(ctx)
	}
	conn, err := net.DialTimeout("tcp", s.settings.Backend, engineControlTimeout)
	if err != nil {
		return engineLoad{}, err
	}
	return engineLoad{}, conn.Close()
}

// handleCrash records a crash of the backend server, whose cache is lost with it. how describes the evidence.
func (s *Sidecar) handleCrash(how string) {
	s.holds.Invalidate()
	s.metrics.crashes.Inc()
	s.log.Warn("backend server crashed", "how", how)
}

// rejectQueued ends the waiting calls as not run when the server does not answer, so that they can be sent to another
// one.
func (s *Sidecar) rejectQueued() {
	dropped := s.dispatcher.Clear()
	s.log.Warn("backend server does not answer", "queued_calls_refused", len(dropped))
	for _, j := range dropped {
		j.call.Fail(s.unresponsiveError())
		s.finish(j)
	}
}

// unresponsiveError returns the error of a call that is refused because the backend server does not answer.
func (s *Sidecar) unresponsiveError() *api.Error {
	return api.Errorf(api.CodeUnavailable, "the backend server of %s does not answer", s.settings.Name)
}

// recordFailure records the error of a failed execution and triggers a probe. If a connection broke, it pauses the
// dispatcher until that probe, because the backend server may have crashed.
func (s *Sidecar) recordFailure(j *job, err error) {
	if transport.IsNotSent(err) {
		s.health.recordFailure(errors.Is(err, syscall.ECONNREFUSED))
	} else if !isTimeout(err) && isConnectionBroken(err) {
		now := time.Now()
		s.dispatcher.Pause(now)
		s.health.recordFailure(false)
		s.suspects.RecordBroken(j.request.Fingerprint, j.startedAt, now)
	}
	select {
	case s.probeNow <- struct{}{}:
	default:
	}
}

// isConnectionBroken reports whether the error means that the connection broke, and is not an error that the backend
// server answered.
func isConnectionBroken(err error) bool {
	var status *transport.StatusError
	var streamErr *engineStreamError
	return !errors.As(err, &status) && !errors.As(err, &streamErr)
}
