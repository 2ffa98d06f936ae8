// Package sidecar is the process in the slot beside a backend server: the only one that talks to it. It queues calls,
// runs each at most as often as its kind allows, keeps the answers until they are read, refuses deposed owners, releases
// cached memory that nobody renews, and reports the server's load as seen at first hand.
package sidecar

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// sweepInterval lies between two looks for ended calls to forget.
const sweepInterval = time.Second

// Sidecar is a running sidecar. It is safe for concurrent use.
type Sidecar struct {
	settings    Settings
	log         *slog.Logger
	incarnation string
	server      *transport.Server

	fences     *backend.Fences
	ledger     *backend.Ledger
	holds      *backend.Holds
	histories  *histories
	dispatcher *dispatcher
	suspects   *suspects
	orders     *orders
	serving    serving
	rates      rates
	health     health
	metrics    *sidecarMetrics
	revision   atomic.Uint64 // Highest configuration revision heard of.

	engine  *engine  // Set before an engine.
	service *service // Set before a service.

	draining atomic.Bool
	drained  chan struct{} // Closed at the end of the drain.
	drainErr error         // Set before drained is closed.
	probeNow chan struct{}
	ctx      context.Context // Ends when the sidecar stops.
	cancel   context.CancelFunc
	loops    errgroup.Group
}

// Start starts a sidecar, which runs until ctx ends or Shutdown is called. When ctx ends, calls under way are cut; use
// Shutdown to let them finish.
func Start(ctx context.Context, settings Settings, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings:    settings,
		log:         log.With("sidecar", settings.Name),
		incarnation: rand.Text(),
		fences:      backend.NewFences(),
		ledger: backend.NewLedger(backend.Limits{
			Calls: settings.LedgerCalls, Bytes: settings.LedgerBytes,
			Idempotent: settings.KeepCalls, NonIdempotent: settings.KeepOutcomes,
		}),
		holds:     backend.NewHolds(),
		histories: newHistories(settings.HistoryBytes),
		orders:    newOrders(),
		drained:   make(chan struct{}),
		probeNow:  make(chan struct{}, 1),
	}
	if err := s.newDispatcher(); err != nil {
		return nil, fmt.Errorf("start sidecar %s: %w", settings.Name, err)
	}
	s.suspects = newSuspects(s.settings.Name + "/" + s.incarnation)
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.metrics = newMetrics(s)
	if settings.Kind == KindEngine {
		s.engine = newEngine(settings.Backend, settings.EngineSilence)
	} else {
		s.service = newService(settings.Backend)
	}
	server, err := transport.Listen(settings.Listen, s.handle, transport.ServerOptions{
		Name: "redwinggauge-sidecar", MaxBodyBytes: settings.MaxBodyBytes,
	})
	if err != nil {
		s.cancel()
		return nil, fmt.Errorf("start sidecar %s: %w", settings.Name, err)
	}
	s.server = server
	s.startLoops()
	s.log.Info("sidecar started", "address", s.Address(), "backend", settings.Backend, "incarnation", s.incarnation)
	return s, nil
}

// newDispatcher sets the dispatcher as the settings say.
func (s *Sidecar) newDispatcher() error {
	order := schedule.DefaultQueueSettings()
	order.Policy, order.MaxItems = s.settings.QueuePolicy, s.settings.Queue
	queue, err := newJobQueue(order)
	if err != nil {
		return err
	}
	var admission *schedule.Admission
	if s.settings.RefuseEarly && s.settings.Kind == KindEngine {
		limits := schedule.DefaultAdmission()
		admission = &limits
	}
	s.dispatcher = newDispatcher(s.settings.Slots, queue, admission, s.execute, s.shed)
	return nil
}

// startLoops starts the work that goes on beside calls.
func (s *Sidecar) startLoops() {
	s.probe(s.ctx)
	s.loop(s.probeLoop)
	s.loop(s.sweepLoop)
	if s.engine != nil {
		s.loop(s.holdLoop)
	}
}

func (s *Sidecar) loop(run func(context.Context)) {
	s.loops.Go(func() error {
		run(s.ctx)
		return nil
	})
}

// sweepLoop bounds the ledger until ctx ends.
func (s *Sidecar) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.ledger.Sweep(now)
		}
	}
}

// Address returns the address that the sidecar listens on, host:port.
func (s *Sidecar) Address() string { return s.server.Address() }

// Incarnation returns the random name of this run of the sidecar.
func (s *Sidecar) Incarnation() string { return s.incarnation }

// Drained is closed at the end of a drain, also of one that was asked for over the network: the process may exit.
func (s *Sidecar) Drained() <-chan struct{} { return s.drained }

// execute runs a job in its slot.
func (s *Sidecar) execute(j *job) {
	if healthy, _ := s.health.get(); !healthy {
		j.call.Fail(api.Errorf(api.CodeBackendLost, "the backend server of %s died before call %s was sent", s.settings.Name, j.request.CallID))
		s.finish(j)
		return
	}
	j.begun = time.Now()
	s.metrics.wait.Update(j.begun.Sub(j.queued).Seconds())
	if j.request.Kind == api.KindModel {
		s.runModel(j)
	} else {
		s.runService(j)
	}
	s.metrics.execution.UpdateDuration(j.begun)
	s.finish(j)
}

// shed ends a job that gave way to others.
func (s *Sidecar) shed(j *job) {
	j.call.Fail(api.Errorf(api.CodeOverloaded, "the queue of %s is full or too slow for the call", s.settings.Name))
	s.finish(j)
}

// finish accounts for a call that has ended.
func (s *Sidecar) finish(j *job) {
	s.ledger.Retire(j.call)
	req := j.request
	_, code := j.call.State()
	if req.Kind == api.KindModel {
		go s.finishHold(req, !code.SafeToResend())
	}
	s.callLog(req).Debug("call ended", "code", int(code))
}

// callLog returns the logger for lines about a call.
func (s *Sidecar) callLog(req *api.CallRequest) *slog.Logger {
	return s.log.With("program", req.Program, "seq", req.Seq, "call_id", req.CallID)
}

// load returns the sidecar's view of its backend server.
func (s *Sidecar) load() api.Load {
	healthy, report := s.health.get()
	load := api.Load{
		Healthy:       healthy,
		Draining:      s.isDraining(),
		CacheUsed:     report.CacheUsed,
		CacheHeld:     s.holds.Tokens(time.Now()),
		CacheCapacity: report.CacheCapacity,
	}
	load.PrefillRate, load.DecodeRate = s.rates.get()
	load.Serving = s.reportServing()
	load.Draining = load.Draining || load.Serving != nil && load.Serving.Changing
	s.dispatcher.fill(&load)
	return load
}
