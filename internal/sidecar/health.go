package sidecar

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

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
	report   engineLoad // Latest report of an engine.
}

// succeed takes in a probe's answer. It returns whether the engine is another process than before.
func (h *health) succeed(report engineLoad) (restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted = h.report.BootID != "" && report.BootID != h.report.BootID
	h.healthy, h.failures, h.report = true, 0, report
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

// probe asks the backend server once.
func (s *Sidecar) probe(ctx context.Context) {
	asked := time.Now()
	report, err := s.askBackend(ctx)
	if err != nil {
		unhealthy := s.health.fail(errors.Is(err, syscall.ECONNREFUSED))
		// A server that is silent may be cut off or paused; one whose connections break again and again is dead, also
		// when something between accepts them in its place.
		if unhealthy && !isTimeout(err) {
			s.crashed("the backend server cannot be connected to")
		}
		return
	}
	restarted := s.health.succeed(report)
	s.learnServing(ctx, restarted)
	if restarted {
		s.crashed("the backend server has restarted")
		return
	}
	s.suspects.Alive(asked)
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

// crashed takes in the death of the backend server.
func (s *Sidecar) crashed(how string) {
	s.holds.Forget()
	if counted := s.suspects.Crashed(time.Now()); counted > 0 {
		s.metrics.crashes.Inc()
		s.log.Warn("backend server died with calls running", "how", how, "suspects", counted)
	}
}

// noteFailure takes in an execution that failed.
func (s *Sidecar) noteFailure(j *job, err error) {
	if transport.IsNotSent(err) {
		s.health.fail(errors.Is(err, syscall.ECONNREFUSED))
	} else if !isTimeout(err) && isBroken(err) {
		s.suspects.Broke(j.request.Fingerprint, time.Now())
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
