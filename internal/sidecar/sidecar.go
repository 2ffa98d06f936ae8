// Package sidecar implements the process that runs next to a backend server and is the only client of it. A sidecar
// queues calls and runs a non-idempotent one at most once. It keeps the answers until they are read and refuses
// requests of journal owners that have been deposed. It releases the engine's cache memory of programs whose lease was
// not renewed. It reports the server's load, as it observes it itself, to the entries, the processes that send it
// calls.
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
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// sweepInterval is the interval at which ended calls are removed from the ledger.
const sweepInterval = time.Second

// Sidecar is a running sidecar. It is safe for concurrent use.
type Sidecar struct {
	settings    Settings
	log         *slog.Logger
	incarnation string
	server      *transport.Server

	fences         *backend.Fences
	ledger         *backend.Ledger
	holds          *backend.Holds
	histories      *histories
	answers        *buffers.Pool // Pays for the answers of the calls that run.
	dispatcher     *dispatcher
	suspects       *suspects
	orders         *orders
	serving        serving
	rates          rates
	health         health
	metrics        *sidecarMetrics
	configRevision atomic.Uint64 // Highest configuration revision that an entry has reported.

	engine  *engine  // nil if the backend server is a service.
	service *service // nil if the backend server is an engine.

	draining atomic.Bool
	drained  chan struct{}   // Closed when the drain has ended.
	drainErr error           // Set before drained is closed.
	probeNow chan struct{}   // Requests a probe before the next interval; has a buffer of one.
	ctx      context.Context // Ends when the sidecar stops.
	cancel   context.CancelFunc
	loops    errgroup.Group
}

// Start starts a sidecar, which runs until ctx ends or Shutdown is called. The end of ctx aborts running calls; Shutdown
// lets them finish.
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
		answers:   buffers.NewPool(maxAnswersBytes),
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
		s.engine = newEngine(settings.Backend, settings.EngineSilence, transport.RecordBrokenAnswers(s.log, s.metrics.set))
	} else {
		s.service = newService(settings.Backend, transport.RecordBrokenAnswers(s.log, s.metrics.set))
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

// newDispatcher creates the dispatcher according to the settings.
func (s *Sidecar) newDispatcher() error {
	queueSettings := schedule.DefaultQueueSettings()
	queueSettings.Policy, queueSettings.MaxItems = s.settings.QueuePolicy, s.settings.Queue
	queue, err := newJobQueue(queueSettings)
	if err != nil {
		return err
	}
	var admission *schedule.Admission
	if s.settings.RefuseEarly && s.settings.Kind == KindEngine {
		limits := schedule.DefaultAdmission()
		admission = &limits
	}
	s.dispatcher = newDispatcher(s.settings.Slots, queue, admission, s.execute, s.rejectJob)
	return nil
}

// startLoops probes the backend server once and then starts the background loops.
func (s *Sidecar) startLoops() {
	s.probe(s.ctx)
	s.startLoop(s.probeLoop)
	s.startLoop(s.sweepLoop)
	if s.engine != nil {
		s.startLoop(s.holdLoop)
	}
}

// startLoop runs a function in a goroutine that Shutdown waits for.
func (s *Sidecar) startLoop(run func(context.Context)) {
	s.loops.Go(func() error {
		guard.Loop(s.ctx, s.log, "loop", run)
		return nil
	})
}

// sweepLoop periodically removes ended calls from the ledger until ctx ends.
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

// Address returns the host:port address that the sidecar listens on.
func (s *Sidecar) Address() string { return s.server.Address() }

// Incarnation returns the random identifier of this run of the sidecar.
func (s *Sidecar) Incarnation() string { return s.incarnation }

// Drained returns a channel that is closed when a drain has ended and the process may exit. The drain may have been
// requested by Shutdown or over the network.
func (s *Sidecar) Drained() <-chan struct{} { return s.drained }

// execute runs a job that the dispatcher has given a slot.
func (s *Sidecar) execute(j *job) {
	if healthy, _ := s.health.get(); !healthy {
		j.call.Fail(api.Errorf(api.CodeBackendLost, "the backend server of %s crashed before call %s was sent", s.settings.Name, j.request.CallID))
		s.finish(j)
		return
	}
	j.startedAt = time.Now()
	s.metrics.queueTime.Update(j.startedAt.Sub(j.queuedAt).Seconds())
	run := s.runService
	if j.request.Kind == api.KindModel {
		run = s.runModel
	}
	if err := guard.Run(s.callLog(j.request), "call", func() { run(j) }); err != nil {
		j.call.Fail(api.Errorf(api.CodeOutcomeUnknown, "call %s: %v", j.request.CallID, err))
	}
	s.metrics.executionTime.UpdateDuration(j.startedAt)
	s.finish(j)
}

// rejectJob ends a job that was refused or evicted from the queue.
func (s *Sidecar) rejectJob(j *job) {
	j.call.Fail(api.Errorf(api.CodeOverloaded, "the queue of %s is full, or the call would wait in it too long", s.settings.Name))
	s.finish(j)
}

// finish records the end of a call and ends its use of the program's cached prefix. The use ends in the background,
// because it may need a request to the engine.
func (s *Sidecar) finish(j *job) {
	s.ledger.AddEnded(j.call)
	req := j.request
	_, code := j.call.State()
	if req.Kind == api.KindModel {
		go s.startLease(req, !code.SafeToResend())
	}
	s.callLog(req).Debug("call ended", "code", int(code))
}

// callLog returns a logger with the attributes of a call.
func (s *Sidecar) callLog(req *api.CallRequest) *slog.Logger {
	return s.log.With("program", req.Program, "seq", req.Seq, "call_id", req.CallID)
}

// load returns the sidecar's report about its backend server.
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
	load.Serving = s.currentServing()
	load.Draining = load.Draining || load.Serving != nil && load.Serving.Changing
	s.dispatcher.fillLoad(&load)
	return load
}
