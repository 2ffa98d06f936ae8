package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// stubHub is a hub that places every turn at the same engine.
type stubHub struct {
	peers.Service
	onPlace func() // Called before each answer.
	member  peers.Member

	mu       sync.Mutex
	requests []peers.PlaceRequest // Guarded by mu.
	progress []peers.CallProgress // Guarded by mu. Progress that was not part of a PlaceRequest.
	values   [][]byte             // Guarded by mu. What Read finds, one after the other; nil stands for nothing.
}

// Read implements peers.Service.
func (h *stubHub) Read(context.Context, string, ports.Freshness) (ports.KeyValue, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.values) == 0 {
		return ports.KeyValue{}, nil
	}
	value := h.values[0]
	h.values = h.values[1:]
	if value == nil {
		return ports.KeyValue{}, nil
	}
	return ports.KeyValue{Value: value, Revision: 1}, nil
}

// Progress implements peers.Service.
func (h *stubHub) Progress(_ string, list []peers.CallProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.progress = append(h.progress, list...)
}

// Place implements peers.Service.
func (h *stubHub) Place(_ context.Context, r peers.PlaceRequest) (peers.PlaceResult, error) {
	h.mu.Lock()
	h.requests = append(h.requests, r)
	h.mu.Unlock()
	h.onPlace()
	return peers.PlaceResult{Service: "llm", Server: "engine-1"}, nil
}

// Write implements peers.Service.
func (h *stubHub) Write(context.Context, peers.Operation) (int64, *ports.KeyValue, error) {
	return 0, nil, ports.ErrUnavailable
}

// ended returns the calls whose end g has reported to the hub or has queued for it.
func (h *stubHub) ended(g *Gateway) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	reports := g.progressQueue.take("hub")
	for _, r := range h.requests {
		reports = append(reports, r.Progress...)
	}
	for _, p := range reports {
		if p.Ended {
			ids = append(ids, p.Call)
		}
	}
	return ids
}

// noStore is a placeholder for a store that is not called.
type noStore struct{ ports.Store }

// newFollower returns a gateway whose hub is the given one and which knows one engine.
func newFollower(t testing.TB, hub *stubHub) *Gateway {
	t.Helper()
	listener, err := peers.Listen("127.0.0.1:0", hub, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Abort() })
	g := &Gateway{
		settings: Settings{ID: "self"}, log: slog.New(slog.DiscardHandler), directory: fleet.NewDirectory(),
		limits: ratelimit.NewTable(), permits: newPermits(DefaultSettings()),
		loads: newLoads(), suspects: newSuspects(slog.New(slog.DiscardHandler), &vm.Counter{}), metrics: newMetrics(), client: peers.NewClient(nil), group: peers.NewGroup(peers.Member{ID: "self"}),
	}
	g.limiter = ratelimit.NewLimiter(g.limits)
	g.keys = g.newKeyChecks(t.Context())
	g.store = newMonitoredStore(noStore{}, "", g.log, g.metrics)
	g.storeAccess = &storeAccess{store: g.store, group: g.group, client: g.client}
	g.accounts = budget.NewAccounts(g.storeAccess, g.storeAccess, budget.Options{})
	hub.member = peers.Member{ID: "hub", Address: listener.Address(), Capacity: 1, StoreFresh: true, Incarnation: "hub-1"}
	g.group.Merge(time.Now(), peers.SourceMember, hub.member)
	route := fleet.Route{Name: "turns", Host: "h", Prefix: "/", Kind: fleet.Stream, Targets: []fleet.Target{{Service: "llm", Weight: 1}}}
	services := map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{}}}
	g.directory.Configure(fleet.NewConfig(1, []fleet.Route{route}, services, fleet.Limits{}))
	g.directory.Replace([]*fleet.BackendServer{{ID: "engine-1", Service: "llm", Slots: 2, Revision: 1}}, 1, time.Time{})
	return g
}

// newTurn returns a turn of a program with a budget, as it is when the gateway has received it.
func newTurn(g *Gateway, id string) *stream {
	view := g.directory.View()
	call := &calls.Call{ID: id, Program: "p", TokenBudget: 100, MaxOutput: 10, Arrived: time.Now()}
	return &stream{exchange: &exchange{
		g: g, w: httptest.NewRecorder(), call: call, config: view.Config, route: view.Config.Match("h", "/"),
		deadline: time.Now().Add(time.Second), tried: make(map[string]bool),
	}}
}

// A stream that broke off waits for capacity until the call's deadline, because half an answer is of no use to the caller.
func TestResumedStreamWaitsUntilDeadline(t *testing.T) {
	is := is.New(t)
	turn := newTurn(newFollower(t, &stubHub{}), "turn-1")
	is.True(turn.admissionDeadline().Before(turn.deadline)) // a new turn leaves the caller time to retry
	turn.runs = 1
	is.Equal(turn.admissionDeadline(), turn.deadline)
}

// The hub counts a turn at its engine from the moment it places the turn. A gateway that does not use the placement must
// report that. Otherwise the engine appears busier than it is until the hub drops the turn.
func TestUnusedPlacementIsReportedToHub(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{onPlace: func() {}}
	g := newFollower(t, hub)

	// While the hub is asked, another turn takes the tokens that this one relied on.
	g.accounts.DepositAndReserve("p", 5, 0)
	var once sync.Once
	hub.onPlace = func() { once.Do(func() { is.True(g.accounts.TryReserve("p", 5) != nil) }) }
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	turn := newTurn(g, "turn-1")
	_, _ = turn.placeTurn(ctx)
	is.Equal(hub.ended(g), []string{"turn-1"})

	// The caller disconnects while the hub is asked.
	callerCtx, cancelCall := context.WithCancel(context.Background())
	hub.onPlace = cancelCall
	hub.requests = nil
	_, err := newTurn(g, "turn-2").placeTurn(callerCtx)
	is.True(err != nil)
	is.Equal(hub.ended(g), []string{"turn-2"})
}

// A former hub counts a call until its end is reported. If it becomes the hub again soon, as after an outage that affected
// only it, it must not count calls that have ended as load on the engines.
func TestFormerHubGetsReportsOfCallsItPlaced(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{onPlace: func() {}}
	g := newFollower(t, hub)
	turn := newTurn(g, "turn-1")
	g.accounts.DepositAndReserve("p", 10, 0)
	p, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	g.group.Merge(time.Now(), peers.SourceMember, peers.Member{ID: "next", Address: "127.0.0.1:1", Capacity: 2, StoreFresh: true, Incarnation: "next-1"})
	is.Equal(g.group.Hub().ID, "next")
	turn.recordEnd(p, outcomeServed, nil)
	go g.progressLoop(t.Context())
	for range 200 {
		time.Sleep(10 * time.Millisecond)
		hub.mu.Lock()
		reports := len(hub.progress)
		hub.mu.Unlock()
		if reports > 0 {
			return
		}
	}
	t.Fatal("no progress was reported to the former hub")
}

// A hub whose connections are reset does not answer for a moment. The ends of calls in that time must reach it, and so must those
// of calls that it has placed without its answer arriving: it would take an engine with a few such calls for full.
func TestHubThatDidNotAnswerForAMomentLearnsOfEndedCalls(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{onPlace: func() {}}
	g := newFollower(t, hub)
	go g.progressLoop(t.Context())
	g.accounts.DepositAndReserve("p", 10, 0)
	turn := newTurn(g, "turn-1")
	p, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	g.group.MarkFailed("hub")
	turn.recordEnd(p, outcomeServed, nil)
	time.Sleep(10 * progressInterval)
	hub.onPlace = func() { panic("the connection is reset") }
	_, err = newTurn(g, "turn-2").placeByHub(t.Context(), hub.member, nil, placeRequest{}, schedule.Precedence{}, noTokens{})
	is.True(errors.Is(err, errHubUnusable))
	g.group.Merge(time.Now(), peers.SourceHub, hub.member)
	for range 200 {
		hub.mu.Lock()
		var ended []string
		for _, progress := range hub.progress {
			if progress.Ended {
				ended = append(ended, progress.Call)
			}
		}
		hub.mu.Unlock()
		if slices.Contains(ended, "turn-1") && slices.Contains(ended, "turn-2") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the hub was not told of the ended calls")
}

// Turns of sub-agents run in parallel: each time the hub is asked, another turn may take the tokens that this one relies on.
// The second request must therefore ask for all tokens of the turn.
func TestSecondPlacementRequestsAllTokens(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{}
	g := newFollower(t, hub)
	hub.onPlace = func() { g.accounts.TryReserve("p", 5) }
	g.accounts.DepositAndReserve("p", 5, 0)
	turn := newTurn(g, "turn-1")
	_, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	is.True(turn.reservation != nil)
	is.Equal(len(hub.requests), 2)
	is.Equal(hub.requests[0].Need, 5)
	is.Equal(hub.requests[1].Need, 10)
}

// A turn that was not sent to any server has certainly not run, whatever the error.
func TestUnsentTurnIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	turn := newTurn(newFollower(t, &stubHub{}), "turn-1")
	is.Equal(api.AsError(turn.finalError(t.Context(), errTokensTaken), api.CodeOutcomeUnknown).Code, api.CodeUnavailable)
	turn.runs = 1
	is.Equal(api.AsError(turn.finalError(t.Context(), errTokensTaken), api.CodeUnavailable).Code, api.CodeOutcomeUnknown)
}
