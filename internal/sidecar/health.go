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

// failuresToUnhealthy is the number of failed probes in a row after which a backend server counts as unhealthy. A refused
// connection needs no second one.
const failuresToUnhealthy = 2

// health is what the probes have found. It is safe for concurrent use.
type health struct {
	mu       sync.Mutex
	healthy  bool // Under mu, as all below.
	failures int
	silent   bool       // Unhealthy because the server does not answer, though it may accept connections.
	report   engineLoad // Latest report of an engine.
}

// succeed takes in a probe's answer. It returns whether the engine is another process than before.
func (h *health) succeed(report engineLoad) (restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted = h.report.BootID != "" && report.BootID != h.report.BootID
	h.healthy, h.silent, h.failures, h.report = true, false, 0, report
	return restarted
}

// fail takes in a failed probe or execution; refused says that the server does not accept connections. It returns
// whether the server counts as unhealthy.
func (h *health) fail(refused bool) (unhealthy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if refused || h.failures >= failuresToUnhealthy {
		h.healthy = false
	}
	return !h.healthy
}

// fellSilent takes in a probe without an answer. It returns whether the server counts as silent from now on.
func (h *health) fellSilent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.silent
	h.silent = !h.healthy
	return h.silent && !known
}

// isSilent reports whether the server does not answer.
func (h *health) isSilent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

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

// probe asks the backend server once. Jobs that waited for its outcome start, or fail when the server is dead.
func (s *Sidecar) probe(ctx context.Context) {
	asked := time.Now()
	defer s.dispatcher.Resume(asked)
	report, err := s.askBackend(ctx)
	if err != nil {
		unhealthy := s.health.fail(errors.Is(err, syscall.ECONNREFUSED))
		// A server that is silent may be cut off or paused; one whose connections break again and again is dead, also
		// when something between accepts them in its place.
		if unhealthy && !isTimeout(err) && s.suspects.Refused(time.Now()) {
			s.died("the backend server cannot be connected to")
		}
		if isTimeout(err) && s.health.fellSilent() {
			s.dropQueued()
		}
		return
	}
	if !s.health.succeed(report) {
		s.suspects.Alive(asked)
		s.learnServing(ctx, false)
		return
	}
	defer s.learnServing(ctx, true)
	s.holds.Forget()
	if s.suspects.Restarted(time.Now()) {
		s.died("the backend server has restarted")
	}
}

// askBackend returns an engine's report; a service only has to accept a connection.
func (s *Sidecar) askBackend(ctx context.Context) (engineLoad, error) {
	if s.engine != nil {
		return s.engine.Load(ctx)
	}
	conn, err := net.DialTimeout("tcp", s.settings.Backend, engineControlTimeout)
	if err != nil {
		return engineLoad{}, err
	}
	return engineLoad{}, conn.Close()
}

// died takes in the death of the backend server, whose memory is gone.
func (s *Sidecar) died(how string) {
	s.holds.Forget()
	s.metrics.crashes.Inc()
	s.log.Warn("backend server died", "how", how)
}

// dropQueued ends the calls that wait for a server that does not answer, as not run, so that they can go elsewhere.
func (s *Sidecar) dropQueued() {
	dropped := s.dispatcher.Clear()
	s.log.Warn("backend server does not answer", "queued_calls_refused", len(dropped))
	for _, j := range dropped {
		j.call.Fail(s.silentError())
		s.finish(j)
	}
}

func (s *Sidecar) silentError() *api.Error {
	return api.Errorf(api.CodeUnavailable, "the backend server of %s does not answer", s.settings.Name)
}

// noteFailure takes in an execution that failed.
func (s *Sidecar) noteFailure(j *job, err error) {
	if transport.IsNotSent(err) {
		s.health.fail(errors.Is(err, syscall.ECONNREFUSED))
	} else if !isTimeout(err) && isBroken(err) {
		now := time.Now()
		s.dispatcher.Pause(now)
		s.health.fail(false)
		s.suspects.Broke(j.request.Fingerprint, j.begun, now)
	}
	select {
	case s.probeNow <- struct{}{}:
	default:
	}
}

// isBroken reports whether the connection broke, as opposed to an answer that says no.
func isBroken(err error) bool {
	var status *transport.StatusError
	var answered *errEngineAnswer
	return !errors.As(err, &status) && !errors.As(err, &answered)
}
