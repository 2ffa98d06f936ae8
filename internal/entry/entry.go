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

	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	// shutdownGrace bounds the closing of the listeners after the last call.
	shutdownGrace = 5 * time.Second
	// kvPatience is how many write timeouts a request to a slow key-value service may take: the journal lengthens its
	// own limit under a slow service, and a shorter one here would make every write ambiguous.
	kvPatience = 16
	// maxInternalBodyBytes bounds messages between processes: a caller's body with the text delivered so far.
	maxInternalBodyBytes = 16 << 20
)

// Entry is a running entry process.
type Entry struct {
	settings    Settings
	incarnation string
	log         *slog.Logger
	client      *transport.Client
	kv          ports.KV
	members     ports.Membership
	fleet       *fleet
	peers       *peers
	ownership   *ownership
	router      *router
	suspects    *suspects
	retries     *retries
	pauses      *pauses
	costs       *classCosts
	metrics     *entryMetrics
	store       *policy.Store
	tracker     *policy.Tracker
	operators   *httpapi.Handler

	ctx    context.Context // Ends when the process stops.
	cancel context.CancelFunc
	relays sync.WaitGroup // Callers' calls under way.
	calls  sync.WaitGroup // Owned calls under way.

	draining atomic.Bool
	ready    atomic.Bool // Ready once.
	callers  *transport.Server
	operator *transport.Server
	internal *transport.Server
}

// Start starts an entry. It serves until Shutdown. initial is in force until operators have submitted a configuration.
func Start(ctx context.Context, s Settings, initial *policy.Config, log *slog.Logger) (*Entry, error) {
	kv, err := ports.NewKV(s.KV, ports.KVOptions{RequestTimeout: kvPatience * ms(s.KVWriteTimeoutMS)})
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
		log:         log.With("entry", s.ID),
		client:      transport.NewClient(transport.ClientOptions{Token: s.Token}),
		kv:          kv,
		members:     ports.NewMembership(s.Membership),
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.router, err = newRouter(s.Policy, s.FailureDomain, s.ID, ms(s.DeadAfterMS))
	if err != nil {
		closeAll(listeners)
		return nil, err
	}
	e.suspects = newSuspects(kv)
	e.retries = newRetries()
	e.pauses = newPauses(s.Holds == holdsByCost)
	e.costs = newClassCosts()
	e.store = policy.NewStore(kv, time.Now)
	e.tracker = policy.NewTracker(initial, policy.DefaultMaxAge, time.Now)
	e.operators = e.newOperatorHandler()
	e.metrics = newMetrics(e)
	e.wire(pacer)
	e.serve(listeners[0], listeners[1], listeners[2])
	e.run()
	return e, nil
}

// bindAll opens a listener on every address, or on none.
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

// serve serves the ports.
func (e *Entry) serve(internal, operator, callers net.Listener) {
	options := transport.ServerOptions{Name: "redwinggauge", MaxConns: e.settings.MaxConns, MaxBodyBytes: maxInternalBodyBytes}
	e.internal = transport.Serve(internal, e.serveInternal, options)
	options.MaxBodyBytes = httpapi.MaxBodyBytes
	e.operator = transport.Serve(operator, e.serveOperators, options)
	options.MaxBodyBytes = e.settings.MaxBodyBytes
	e.callers = transport.Serve(callers, e.serveCallers, options)
}

// wire builds the parts that know of each other.
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
	e.peers.self = e.peerState
	e.peers.learned = e.peerSpoke
	e.fleet.request = e.exchangeRequest
	e.fleet.learned = e.sidecarAnswered
	e.fleet.group = e.peers.group
	e.ownership.metrics = e.metrics
	e.ownership.onLost = e.forgetShard
	e.ownership.onChange = func(owned int) {
		pacer.SetRate(s.KVWritesPerSec * float64(owned) / float64(s.Journals))
	}
}

// Address returns the address of the callers' port.
func (e *Entry) Address() string { return e.callers.Address() }

// OperatorAddress returns the address of the operators' port.
func (e *Entry) OperatorAddress() string { return e.operator.Address() }

// InternalAddress returns the address that other processes use.
func (e *Entry) InternalAddress() string { return e.internal.Address() }

// Shutdown stops taking calls, hands the journals over, lets the callers' calls end at their new owners, and stops.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.draining.Store(true)
	e.log.Info("draining")
	e.peers.beat(ctx, ms(e.settings.HeartbeatMS))
	e.ownership.leave(ctx)
	waitGroup(ctx, &e.relays)
	waitGroup(ctx, &e.calls)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	err := e.callers.Shutdown(closing)
	_ = e.operator.Shutdown(closing)
	_ = e.internal.Shutdown(closing)
	e.cancel()
	e.log.Info("stopped")
	return err
}

// waitGroup waits for the group or the end of ctx.
func waitGroup(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// newIncarnation names one run of a process.
func newIncarnation() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // Never fails.
	return hex.EncodeToString(raw)
}
