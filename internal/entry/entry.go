package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	// shutdownGrace is how long Shutdown waits for the listeners to close after the last call has ended.
	shutdownGrace = 5 * time.Second
	// kvTimeoutFactor is the request timeout of the key-value client, as a multiple of the write timeout. The journal
	// lengthens its own timeout when the service is slow. A shorter timeout in the client would expire first, and the
	// outcome of every write would be unknown.
	kvTimeoutFactor = 16
	// maxInternalBodyBytes limits the size of a message between processes. Such a message holds a caller's body together
	// with the answer text delivered so far.
	maxInternalBodyBytes = 16 << 20
)

// Entry is a running entry process. Start creates it and Shutdown stops it.
type Entry struct {
	settings        Settings
	incarnation     string
	log             *slog.Logger
	client          *transport.Client
	kv              ports.KV
	membership      ports.Membership
	fleet           *fleet
	peers           *peers
	ownership       *ownership
	router          *router
	suspects        *suspects
	retryBudget     *retryBudget
	pauseTracker    *pauseTracker
	costs           *classCosts
	metrics         *entryMetrics
	store           *policy.Store
	tracker         *policy.Tracker
	operatorHandler *httpapi.Handler

	ctx        context.Context // Ends with the context passed to Start or at the end of Shutdown.
	cancel     context.CancelFunc
	relays     sync.WaitGroup // Calls in progress that callers sent to this entry.
	ownedCalls sync.WaitGroup // Calls in progress that run at this entry, as owner of the program's journal.

	draining       atomic.Bool
	ready          atomic.Bool // Set when the entry becomes ready and never cleared; see Ready.
	callerServer   *transport.Server
	operatorServer *transport.Server
	internalServer *transport.Server
}

// Start starts an entry process, which serves until Shutdown is called. The configuration initial is in force until
// operators submit one.
func Start(ctx context.Context, s Settings, initial *policy.Config, log *slog.Logger) (*Entry, error) {
	log = log.With("entry", s.ID)
	onBrokenAnswer := transport.RecordBrokenAnswers(log, metrics.GetDefaultSet())
	kv, err := ports.NewKV(s.KV, ports.KVOptions{RequestTimeout: kvTimeoutFactor * ms(s.KVWriteTimeoutMS), OnBrokenAnswer: onBrokenAnswer})
	if err != nil {
		return nil, fmt.Errorf("connect to the key-value service: %w", err)
	}
	pacer, err := journal.NewPacer(int(s.KVWritesPerSec))
	if err != nil {
		return nil, fmt.Errorf("limit writes to the key-value service: %w", err)
	}
	listeners, err := bindAll(s.InternalListen, s.OperatorListen, s.Listen)
	if err != nil {
		return nil, err
	}
	if s.Advertise == "" {
		s.Advertise = listeners[0].Addr().String()
	}
	e := &Entry{
		settings:    s,
		incarnation: newIncarnation(),
		log:         log,
		client:      transport.NewClient(transport.ClientOptions{Token: s.Token, OnBrokenAnswer: onBrokenAnswer}),
		kv:          kv,
		membership:  ports.NewMembership(s.Membership, log),
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.router, err = newRouter(s.Policy, s.FailureDomain, s.ID, ms(s.DeadAfterMS))
	if err != nil {
		closeAll(listeners)
		return nil, err
	}
	e.suspects = newSuspects(kv)
	e.retryBudget = newRetryBudget()
	e.pauseTracker = newPauseTracker(s.Holds == holdsByCost)
	e.costs = newClassCosts()
	e.store = policy.NewStore(kv, time.Now)
	e.tracker = policy.NewTracker(initial, policy.DefaultMaxAge, time.Now)
	e.operatorHandler = e.newOperatorHandler()
	e.metrics = newMetrics(e)
	e.wire(pacer)
	e.serve(listeners[0], listeners[1], listeners[2])
	e.startLoops()
	return e, nil
}

// bindAll opens a listener on every address. If one fails, it closes those already open and returns the error.
func bindAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := transport.Bind(address)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// serve starts the servers of the internal, operators' and callers' ports.
func (e *Entry) serve(internal, operator, callers net.Listener) {
	options := transport.ServerOptions{Name: "redwinggauge", MaxConns: e.settings.MaxConns, MaxBodyBytes: maxInternalBodyBytes}
	e.internalServer = transport.Serve(internal, e.serveInternal, options)
	options.MaxBodyBytes = httpapi.MaxBodyBytes
	e.operatorServer = transport.Serve(operator, e.serveOperators, options)
	options.MaxBodyBytes = e.settings.MaxBodyBytes
	e.callerServer = transport.Serve(callers, e.serveCallers, options)
}

// wire creates the components that refer to each other and sets their callbacks.
func (e *Entry) wire(pacer *journal.Pacer) {
	s := &e.settings
	journals := &kvJournals{
		kv:           e.kv,
		owner:        journal.Owner{Entry: s.ID, Address: s.Advertise, Incarnation: e.incarnation},
		ringSlots:    s.RingSlots,
		writeTimeout: ms(s.KVWriteTimeoutMS),
		queueTimeout: ms(s.CallTimeoutMS),
		pacer:        pacer,
		log:          e.log,
	}
	e.peers = newPeers(e.client, e.log, ms(s.DeadAfterMS))
	e.fleet = newFleet(e.client, e.log, ms(s.HeartbeatMS))
	e.ownership = newOwnership(s.ID, s.Journals, journals, e.peers, e.log, ms(s.DeadAfterMS))
	e.peers.localState = e.peerState
	e.peers.onState = e.handlePeerState
	e.fleet.baseRequest = e.baseExchangeRequest
	e.fleet.onResponse = e.handleSidecarResponse
	e.fleet.protocol = e.peers.protocol
	e.ownership.metrics = e.metrics
	e.ownership.onLost = e.forgetShardPrograms
	e.ownership.onChange = func(owned int) {
		pacer.SetRate(s.KVWritesPerSec * float64(owned) / float64(s.Journals))
	}
}

// Address returns the address of the port for callers.
func (e *Entry) Address() string { return e.callerServer.Address() }

// OperatorAddress returns the address of the port for operators.
func (e *Entry) OperatorAddress() string { return e.operatorServer.Address() }

// InternalAddress returns the address of the port for other processes of the system.
func (e *Entry) InternalAddress() string { return e.internalServer.Address() }

// Shutdown refuses new calls and closes the owned journals, so that other entries can take them over. It then waits until
// ctx ends or the calls in progress have ended, where necessary at the new owners. Finally it stops the servers. It returns
// the error of shutting down the callers' port.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.draining.Store(true)
	e.log.Info("draining")
	e.peers.sendHeartbeats(ctx, ms(e.settings.HeartbeatMS))
	e.ownership.handOverAll(ctx)
	waitForGroup(ctx, &e.relays)
	waitForGroup(ctx, &e.ownedCalls)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	err := e.callerServer.Shutdown(closeCtx)
	_ = e.operatorServer.Shutdown(closeCtx)
	_ = e.internalServer.Shutdown(closeCtx)
	e.cancel()
	e.log.Info("stopped")
	return err
}

// waitForGroup returns when wg is done or ctx ends.
func waitForGroup(ctx context.Context, wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// newIncarnation returns a random identifier for this run of the process. It tells a restarted entry from its
// predecessor with the same id.
func newIncarnation() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // Never returns an error.
	return hex.EncodeToString(raw)
}
