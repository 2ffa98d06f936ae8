package schedule

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

var testNow = time.Unix(1_800_000_000, 0)

func testServer(id string, change func(*BackendServer)) BackendServer {
	b := BackendServer{
		ID: id, FailureDomain: "a", Service: "m", ReportedAt: testNow,
		Load: api.Load{Healthy: true, Slots: 8, PrefillRate: 1000, DecodeRate: 50},
	}
	if change != nil {
		change(&b)
	}
	return b
}

func TestRouteCacheAware(t *testing.T) {
	busy := func(b *BackendServer) { b.Load.Running, b.Load.Queued = 8, 8 }
	leaving := func(b *BackendServer) { b.Leaving = true }
	cases := []struct {
		name    string
		servers []BackendServer
		change  func(*Request)
		want    string
		reason  Reason
	}{
		{name: "cached prefix wins", servers: []BackendServer{testServer("x", nil), testServer("y", nil)}, want: "y"},
		{name: "prefill saved outweighs a short wait", servers: []BackendServer{testServer("x", nil), testServer("y", func(b *BackendServer) { b.Load.QueuedTokens = 2000 })}, want: "y"},
		{name: "wait outweighs the prefill saved", servers: []BackendServer{testServer("x", nil), testServer("y", func(b *BackendServer) { b.Load.QueuedTokens = 9000 })}, want: "x"},
		{name: "calls sent by this entry count", servers: []BackendServer{testServer("x", nil), testServer("y", func(b *BackendServer) { b.SentTokens = 9000 })}, want: "x"},
		{name: "cached server is leaving", servers: []BackendServer{testServer("x", busy), testServer("y", leaving)}, want: "x"},
		{name: "sidecar reports draining", servers: []BackendServer{testServer("x", busy), testServer("y", func(b *BackendServer) { b.Load.Draining = true })}, want: "x"},
		{name: "sidecar is unreachable", servers: []BackendServer{testServer("x", busy), testServer("y", func(b *BackendServer) { b.Unreachable = true })}, want: "x"},
		{name: "already tried", servers: []BackendServer{testServer("x", busy), testServer("y", nil)}, change: func(r *Request) { r.Tried = []string{"y"} }, want: "x"},
		{name: "all tried", servers: []BackendServer{testServer("y", nil)}, change: func(r *Request) { r.Tried = []string{"y"} }, reason: ReasonTried},
		{name: "all leaving", servers: []BackendServer{testServer("x", leaving), testServer("y", leaving)}, reason: ReasonLeaving},
		{name: "unhealthy", servers: []BackendServer{testServer("x", func(b *BackendServer) { b.Load.Healthy = false })}, reason: ReasonUnhealthy},
		{name: "another model", servers: []BackendServer{testServer("y", func(b *BackendServer) { b.Service = "n" })}, reason: ReasonUnknownService},
		{name: "wait above the limit", servers: []BackendServer{testServer("x", busy)}, change: func(r *Request) { r.MaxWait = time.Millisecond }, reason: ReasonOverloaded},
		{name: "own failure domain breaks a tie", servers: []BackendServer{testServer("x", func(b *BackendServer) { b.FailureDomain = "b" }), testServer("z", nil)}, want: "z"},
		{name: "fresh report beats a missing one", servers: []BackendServer{testServer("x", func(b *BackendServer) { b.ReportedAt = time.Time{} }), testServer("z", nil)}, want: "z"},
		{name: "stale report of a busy server loses weight", servers: []BackendServer{testServer("x", func(b *BackendServer) { b.Load.QueuedTokens, b.ReportedAt = 20_000, testNow.Add(-time.Minute) }), testServer("z", func(b *BackendServer) { b.Load.QueuedTokens = 5000 })}, want: "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			settings := DefaultRouteSettings()
			settings.Choices = 20
			settings.PrefillWeight = 1
			router, err := NewRouter(RouteCacheAware, settings)
			is.NoErr(err)
			req := &Request{Service: "m", PromptTokens: 5000, ExpectedOutput: 100, FailureDomain: "a", Cached: []CachedPrefix{{"y", 4000}}, Now: testNow}
			if c.change != nil {
				c.change(req)
			}
			choice, err := router.Route(NewSnapshot(c.servers), req, rand.New(rand.NewPCG(1, 2)))
			if c.reason != ReasonNone {
				var none *NoServerError
				is.True(errors.As(err, &none))
				is.Equal(none.Reason, c.reason)
				is.True(none.Code().SafeToResend())
				return
			}
			is.NoErr(err)
			is.Equal(choice.Server.ID, c.want)
		})
	}
}

func TestRouteBaselines(t *testing.T) {
	is := is.New(t)
	servers := []BackendServer{testServer("x", nil), testServer("y", func(b *BackendServer) { b.Leaving = true }), testServer("z", func(b *BackendServer) { b.Load.Running = 4 })}
	snapshot := NewSnapshot(servers)
	random := rand.New(rand.NewPCG(1, 2))
	roundRobin, err := NewRouter(RouteRoundRobin, RouteSettings{})
	is.NoErr(err)
	var got []string
	for n := range uint64(4) {
		choice, err := roundRobin.Route(snapshot, &Request{Service: "m", Sequence: n, Now: testNow}, random)
		is.NoErr(err)
		got = append(got, choice.Server.ID)
	}
	is.Equal(got, []string{"x", "z", "z", "x"})
	leastLoad, err := NewRouter(RouteLeastLoad, RouteSettings{})
	is.NoErr(err)
	snapshot.Server("x").RecordSent(1_000_000) // Not reported yet: least-load ignores it.
	choice, err := leastLoad.Route(snapshot, &Request{Service: "m", Now: testNow}, random)
	is.NoErr(err)
	is.Equal(choice.Server.ID, "x")
	_, err = NewRouter("fastest", RouteSettings{})
	is.True(err != nil)
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range []int{40, 550, 3300} {
		servers := make([]BackendServer, size)
		for i := range servers {
			servers[i] = testServer(fmt.Sprintf("server-%d", i), func(s *BackendServer) { s.Load.Running = i % 8 })
		}
		snapshot := NewSnapshot(servers)
		for _, policy := range []string{RouteCacheAware, RouteRoundRobin, RouteLeastLoad} {
			b.Run(fmt.Sprintf("%s/%d", policy, size), func(b *testing.B) {
				router, err := NewRouter(policy, DefaultRouteSettings())
				if err != nil {
					b.Fatal(err)
				}
				random := rand.New(rand.NewPCG(1, 2))
				req := &Request{Service: "m", PromptTokens: 8000, ExpectedOutput: 200, FailureDomain: "a", Cached: []CachedPrefix{{"server-7", 7000}, {"server-20", 2000}}, Now: testNow}
				b.ReportAllocs()
				for b.Loop() {
					req.Sequence++
					if _, err := router.Route(snapshot, req, random); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// TestRouteChoosesAdmissibleServer checks that every policy chooses an admissible server whenever there is one.
func TestRouteChoosesAdmissibleServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]BackendServer, rapid.IntRange(1, 12).Draw(t, "servers"))
		req := &Request{Service: "m", PromptTokens: 5000, ExpectedOutput: 100, FailureDomain: "a", Now: testNow, Sequence: rapid.Uint64().Draw(t, "sequence")}
		admissible := map[string]bool{}
		for i := range servers {
			id := fmt.Sprint(i)
			servers[i] = testServer(id, func(b *BackendServer) {
				b.Service = rapid.SampledFrom([]string{"m", "m", "n"}).Draw(t, "service")
				b.Leaving = rapid.Bool().Draw(t, "leaving")
				b.Unreachable = rapid.Bool().Draw(t, "unreachable")
				b.Load.Queued = rapid.IntRange(0, 50).Draw(t, "queued")
			})
			tried := rapid.Bool().Draw(t, "tried")
			if tried {
				req.Tried = append(req.Tried, id)
			}
			if rapid.Bool().Draw(t, "cached") {
				req.Cached = append(req.Cached, CachedPrefix{id, 1000})
			}
			admissible[id] = servers[i].Service == "m" && !servers[i].Leaving && !servers[i].Unreachable && !tried
		}
		router, err := NewRouter(rapid.SampledFrom([]string{RouteCacheAware, RouteRoundRobin, RouteLeastLoad}).Draw(t, "policy"), DefaultRouteSettings())
		if err != nil {
			t.Fatal(err)
		}
		choice, err := router.Route(NewSnapshot(servers), req, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		if err == nil && !admissible[choice.Server.ID] {
			t.Fatalf("an inadmissible server was chosen: %+v", *choice.Server)
		}
		if err != nil && slices.Contains(slices.Collect(maps.Values(admissible)), true) {
			t.Fatalf("no server was chosen although one is admissible: %v: %v", admissible, err)
		}
	})
}
