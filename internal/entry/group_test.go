package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// testPeer is the part of an entry that exchanges heartbeats with other entries and with sidecars.
type testPeer struct {
	*peers
	fleet  *fleet
	server *transport.Server
	cancel context.CancelFunc
	state  api.PeerExchange
}

const (
	testPeers     = 13 // More than exchange directly, so that the membership protocol is active.
	testSidecars  = 20
	testHeartbeat = 100 * time.Millisecond
)

func startTestPeers(t *testing.T) []*testPeer {
	var out []*testPeer
	var members []ports.Member
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	sidecars := startTestSidecar(t)
	for i := range testSidecars {
		members = append(members, ports.Member{ID: fmt.Sprintf("worker-%d", i), Role: ports.RoleBackend, Region: "eire-east", Address: sidecars})
	}
	for i := range testPeers {
		listener, err := transport.Bind("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &testPeer{peers: newPeers(transport.NewClient(transport.ClientOptions{}), log, time.Second)}
		p.state = api.PeerExchange{
			Entry: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("run-%d", i), Address: listener.Addr().String(),
			Fences: []api.Fence{{Journal: i, Number: uint64(100 + i)}},
		}
		p.localState = func() api.PeerExchange { return p.state }
		p.onState = func(*api.PeerExchange, time.Time) {}
		p.fleet = newFleet(p.client, log, testHeartbeat)
		p.fleet.protocol = p.protocol
		p.fleet.baseRequest = func() api.ExchangeRequest { return api.ExchangeRequest{Entry: p.state.Entry} }
		p.fleet.onResponse = func(string, *api.ExchangeRequest, *api.ExchangeResponse) {}
		p.server = transport.Serve(listener, p.serve, transport.ServerOptions{MaxConns: 256, MaxBodyBytes: 1 << 20})
		members = append(members, ports.Member{ID: p.state.Entry, Role: ports.RoleEntry, Region: "eire-east", Address: p.state.Address})
		out = append(out, p)
	}
	for _, p := range out {
		p.start(members)
		t.Cleanup(p.stop)
	}
	return out
}

func startTestSidecar(t *testing.T) string {
	listener, err := transport.Bind("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.Serve(listener, func(ctx *fasthttp.RequestCtx) {
		transport.WriteJSON(ctx, 200, &api.ExchangeResponse{Incarnation: "run", Load: api.Load{Healthy: true, Slots: 8, Running: 3}})
	}, transport.ServerOptions{MaxConns: 256, MaxBodyBytes: 1 << 20})
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return listener.Addr().String()
}

func (p *testPeer) serve(ctx *fasthttp.RequestCtx) {
	var request api.PeerExchange
	if err := transport.DecodeJSON(ctx, &request); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	p.recordState(&request, time.Time{})
	transport.WriteJSON(ctx, 200, p.localState())
}

func (p *testPeer) start(members []ports.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.update(members, p.state.Entry)
	p.fleet.update(ctx, members)
	go func() {
		for ctx.Err() == nil {
			p.sendHeartbeats(ctx, testHeartbeat)
			time.Sleep(testHeartbeat)
		}
	}()
}

func (p *testPeer) stop() {
	p.cancel()
	_ = p.server.Shutdown(context.Background())
}

// eventually waits up to a minute for the condition and fails the test if it does not become true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met after a minute: %s", what)
		}
	}
}

// With more entries than exchange directly, every entry must still learn the owners of journals, the state of all sidecars,
// and the death of an entry, through the membership protocol.
func TestManyEntriesKnowOwnersDeathsAndSidecars(t *testing.T) {
	is := is.New(t)
	all := startTestPeers(t)
	for _, p := range all {
		is.True(p.protocol.active())
		for i, other := range all {
			if other != p {
				eventually(t, "the owner of every journal is known", func() bool { address, _ := p.owner(i); return address == other.state.Address })
				is.True(p.alive(other.state.Entry, other.state.Incarnation))
			}
		}
		eventually(t, "the state of every sidecar is known", func() bool { return p.sidecarsSeen() == testSidecars })
	}
	all[0].stop()
	for _, p := range all[1:] {
		eventually(t, "the stopped entry is seen as dead", func() bool { return !p.alive("entry-0", "run-0") })
		eventually(t, "the stopped entry is no longer seen as an owner", func() bool { address, _ := p.owner(0); return address == "" })
		for _, other := range all[1:] {
			is.True(other == p || p.alive(other.state.Entry, other.state.Incarnation))
		}
		is.Equal(len(p.candidates()), testPeers-2)
	}
}

// sidecarsSeen returns the number of sidecars whose load this entry knows, from the sidecar itself or from its watchers.
func (p *testPeer) sidecarsSeen() int {
	count := 0
	for _, s := range p.fleet.list() {
		s.mu.Lock()
		if s.load.Running == 3 && s.incarnation == "run" {
			count++
		}
		s.mu.Unlock()
	}
	return count
}
