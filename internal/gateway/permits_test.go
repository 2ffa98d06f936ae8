package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// quotaHub counts the messages about permits that a hub gets, and the permits that they return. It loses its answers while lost is
// set.
type quotaHub struct {
	peerService
	messages, returned atomic.Int32
	lost               atomic.Bool
	onPermits          func() // Called before an answer; nil for nothing.
}

// Permits implements peers.Service.
func (h *quotaHub) Permits(r peers.PermitRequest) peers.PermitResult {
	h.messages.Add(1)
	result := h.peerService.Permits(r)
	h.returned.Add(int32(len(r.Returns)))
	if h.onPermits != nil {
		h.onPermits()
	}
	if h.lost.Load() {
		panic("the answer is lost")
	}
	return result
}

// newQuotaPair returns a gateway that follows a hub, in a deployment with one organisation. stop ends the hub.
func newQuotaPair(t testing.TB, o fleet.Organisation) (g *Gateway, hub *quotaHub, stop func()) {
	t.Helper()
	var both [2]*Gateway
	for i := range both {
		both[i] = newFollower(t, &stubHub{onPlace: func() {}})
		both[i].admission = newAdmission(both[i].loads, both[i].directory, both[i].limiter)
		both[i].permits.membersRead.Store(true)
		config := *both[i].directory.View().Config
		config.Version++
		config.AddOrganisations([]fleet.Organisation{o}, [][]string{{"key"}})
		both[i].directory.Configure(&config)
	}
	g, hub = both[0], &quotaHub{peerService: peerService{both[1]}}
	listener, err := peers.Listen("127.0.0.1:0", hub, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Abort() })
	member := peers.Member{ID: "hub", Address: listener.Address(), Capacity: 1, StoreFresh: true, Incarnation: "hub-1"}
	g.group.Merge(time.Now(), peers.SourceMember, member)
	hub.g.settings.ID, hub.g.group = "hub", peers.NewGroup(member)
	hub.g.group.Merge(time.Now(), peers.SourceMember, g.group.Self())
	return g, hub, func() { _ = listener.Abort() }
}

// newQuotaCall returns a call of the only organisation.
func newQuotaCall(g *Gateway, id string) *stream {
	turn := newTurn(g, id)
	turn.call.Program = id
	turn.organisation = &turn.config.Organisations[0]
	turn.permit.needed = turn.organisation.HasQuota()
	g.accounts.DepositAndReserve(turn.account(), 100, 0)
	return turn
}

// Guards against a second message to the hub for each turn.
func TestTurnTakesItsPermitWithItsPlace(t *testing.T) {
	is := is.New(t)
	g, hub, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 1000, Burst: 100})
	turn := newQuotaCall(g, "turn")
	p, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	is.Equal(p.by, "hub")
	is.True(turn.permit.held)
	is.Equal(hub.messages.Load(), int32(0))
}

// Guards against messages, or refusals, for organisations without a quota.
func TestOrganisationWithoutQuotaNeedsNoPermit(t *testing.T) {
	is := is.New(t)
	g, hub, _ := newQuotaPair(t, fleet.Organisation{Name: "a"})
	turn := newQuotaCall(g, "turn")
	is.NoErr(turn.acquirePermit(t.Context()))
	is.True(turn.newPlaceRequest("hub", nil, placeRequest{}, turn.precedence()).Permit == nil)
	turn.returnPermit()
	g.flushReturns()
	is.Equal(hub.messages.Load(), int32(0))
}

// Guards against a panic while permits or events are read that ends the process, or leaves calls waiting.
func TestPanicOutsideACallEndsThatCallOnly(t *testing.T) {
	is := is.New(t)
	g, _, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 1000, Burst: 100})
	g.client = nil
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		is.Equal(g.askPermit(ctx, newQuotaCall(g, "turn").permitCall()).issuer.ID, "")
		is.NoErr(ctx.Err())
		cancel()
	}
	_, err := guardedSource(g.log, func() ([]byte, error) { panic("malformed") })()
	is.True(err != nil)
}

// Guards against calls beyond the quota that are sent, that wait in vain, or that are told no time to return.
func TestCallBeyondTheQuotaIsRefusedWithATimeToReturn(t *testing.T) {
	is := is.New(t)
	g, _, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 0.01, Burst: 4})
	for n := range 60 {
		call := newQuotaCall(g, string(rune('A'+n)))
		start := time.Now()
		if _, err := call.placeTurn(t.Context()); err != nil {
			is.Equal(api.AsError(err, api.CodeOutcomeUnknown).Code, api.CodeQuota)
			is.True(time.Since(start) < 300*time.Millisecond) // it does not wait a third of its time
			retry := call.retryAfter(api.CodeQuota)
			is.True(retry > 0 && retry <= time.Until(call.deadline)/2)
			plain := newQuotaCall(g, "plain")
			is.Equal(api.AsError(plain.obtainPermit(t.Context()), api.CodeOutcomeUnknown).Code, api.CodeQuota)
			return
		}
	}
	t.Fatal("no call was refused")
}

// Guards against calls that ran at no server using up the quota.
func TestPermitOfCallThatDidNotRunIsReturned(t *testing.T) {
	is := is.New(t)
	g, hub, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 0.01, Burst: 4})
	var held []*stream
	for n := range 60 {
		call := newQuotaCall(g, string(rune('A'+n)))
		if call.obtainPermit(t.Context()) != nil {
			break
		}
		held = append(held, call)
	}
	held[0].runs = 1
	held[0].returnPermit()
	is.True(newQuotaCall(g, "next").obtainPermit(t.Context()) != nil) // it ran
	messages := hub.messages.Load()
	held[1].returnPermit()
	g.flushReturns()
	for start := time.Now(); hub.messages.Load() == messages && time.Since(start) < time.Second; {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(newQuotaCall(g, "next").obtainPermit(t.Context()))
}

// Guards against callers that use up the quota by disconnecting while they wait for a permit.
func TestPermitOfCallerThatIsGoneIsReturned(t *testing.T) {
	is := is.New(t)
	g, hub, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 1000, Burst: 100})
	ctx, disconnect := context.WithCancel(t.Context())
	gone := make(chan struct{})
	hub.onPermits = func() {
		disconnect()
		<-gone
	}
	call := newQuotaCall(g, "call")
	var failure *callerGoneError
	is.True(errors.As(call.obtainPermit(ctx), &failure))
	is.True(!call.permit.held)
	close(gone)
	for deadline := time.Now().Add(time.Second); hub.returned.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(hub.returned.Load(), int32(1))
}

// Guards against a gateway without the hub that sends calls beyond its share, or that answers 429 although it does not know whether
// the quota is used up.
func TestGatewayWithoutTheHubUsesItsShareOnly(t *testing.T) {
	for _, test := range []struct {
		name    string
		rate    float64
		granted bool
	}{{"share left", 1000, true}, {"no share left", 0.1, false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g, _, stop := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: test.rate, Burst: 4})
			stop()
			start := time.Now()
			err := newQuotaCall(g, "call").obtainPermit(t.Context())
			is.Equal(err == nil, test.granted)
			if err != nil {
				is.Equal(api.AsError(err, api.CodeOutcomeUnknown).Code, api.CodeUnavailable)
				is.True(time.Since(start) >= hubWait && time.Since(start) < time.Second)
			}
			g.permits.membersRead.Store(false) // it has just started
			is.True(newQuotaCall(g, "next").obtainPermit(t.Context()) != nil)
		})
	}
}

// Guards against a call that is lost with the hub's answer, and against a permit that counts less often than it was granted.
func TestCallAsksAgainWhenTheAnswerWithItsPermitIsLost(t *testing.T) {
	is := is.New(t)
	g, hub, _ := newQuotaPair(t, fleet.Organisation{Name: "a", RatePerSecond: 0.01, Burst: 100})
	hub.lost.Store(true)
	time.AfterFunc(60*time.Millisecond, func() { hub.lost.Store(false) })
	is.NoErr(newQuotaCall(g, "call").obtainPermit(t.Context()))
	is.True(hub.messages.Load() >= 2)
}

// BenchmarkPermits measures what the hub spends on a message that asks for one permit, without decoding it, among 23 gateways.
func BenchmarkPermits(b *testing.B) {
	_, hub, _ := newQuotaPair(b, fleet.Organisation{Name: "a", RatePerSecond: 1e6, Burst: 100})
	for n := range 22 {
		hub.g.group.Merge(time.Now(), peers.SourceMember, peers.Member{ID: string(rune('A' + n)), StoreFresh: true})
	}
	b.ReportAllocs()
	for b.Loop() {
		hub.peerService.Permits(peers.PermitRequest{Calls: []peers.PermitCall{{Organisation: "a", Program: "p", Route: "turns", PatienceMS: 1000}}})
	}
}

// Guards against budgets that lose the tokens which a hub of an earlier build, that knows no permits, lends with a place.
func TestTokensLentByHubWithoutPermitsAreKept(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{onPlace: func() {}}
	g := newFollower(t, hub)
	turn := newTurn(g, "turn")
	turn.organisation = &fleet.Organisation{Name: "a", RatePerSecond: 1, Burst: 1}
	turn.permit.needed = true
	_, err := turn.placeTurn(t.Context())
	is.Equal(api.AsError(err, api.CodeOutcomeUnknown).Code, api.CodeUnavailable) // it knows no quota without the hub
	is.Equal(hub.requests[0].Need, 10)
	is.True(turn.reservation != nil)
	is.Equal(hub.ended(g), []string{"turn"})
}
