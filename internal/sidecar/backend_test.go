package sidecar_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// exchange sends a heartbeat and returns the answer.
func exchange(t *testing.T, s *sidecar.Sidecar, req api.ExchangeRequest) api.ExchangeResponse {
	t.Helper()
	var answer api.ExchangeResponse
	if code := post(t, s, api.PathExchange, req, &answer); code != api.CodeOK {
		t.Fatalf("exchange: code %d", code)
	}
	return answer
}

func TestCrashReportsNameRunningBody(t *testing.T) {
	t.Run("probe shows the crash first", func(t *testing.T) { crashTwice(t, 5*time.Millisecond) })
	t.Run("broken connection shows the crash first", func(t *testing.T) { crashTwice(t, time.Hour) })
}

// crashTwice runs a call twice that crashes the engine, and checks that each crash is counted and that the third attempt
// is refused. The probe interval determines whether a probe or the broken connection shows the crash first.
func crashTwice(t *testing.T, probeInterval time.Duration) {
	is := is.New(t)
	var boot atomic.Value
	boot.Store("b1")
	f := newFakeServer(t)
	f.setHandler("/v1/load", func(ctx *requestCtx) { ctx.SetBodyString(`{"boot_id":"` + boot.Load().(string) + `"}`) })
	f.setHandler(pathChat, func(ctx *requestCtx) {
		boot.Store(boot.Load().(string) + "'") // the request crashes the engine, which restarts immediately
		cutMidAnswer(ctx)
	})
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.ProbeInterval = probeInterval })
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeInterrupted)
	var suspects []api.Suspect
	eventually(t, "a suspect is reported", func() bool {
		suspects = exchange(t, s, api.ExchangeRequest{}).Suspects
		return len(suspects) == 1
	})
	is.Equal(suspects[0].Fingerprint, "f-p1/1")
	is.Equal(suspects[0].Crashes, 1)
	is.True(strings.HasPrefix(suspects[0].IDs[0], "s1/"+s.Incarnation()))

	// The next attempt starts immediately and crashes the engine again, which counts as a second crash.
	next := modelCall("p1/1")
	next.Attempt = 2
	is.Equal(runCall(t, s, next).code, api.CodeInterrupted)
	eventually(t, "the second crash is counted", func() bool {
		return exchange(t, s, api.ExchangeRequest{}).Suspects[0].Crashes == 2
	})
	next.Attempt = 3
	is.Equal(runCall(t, s, next).code, api.CodeCrashSuspect)
	is.Equal(f.count(pathChat), 2)
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	suspects := []api.Suspect{{Fingerprint: "f-p1/1", Crashes: 1, IDs: []string{"s1/x/1"}}}
	// A report that comes back from entries does not count again; a crash of another server does.
	for range 3 {
		is.Equal(exchange(t, s, api.ExchangeRequest{Suspects: suspects}).Suspects[0].Crashes, 1)
	}
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeOK)
	otherServer := api.Suspect{Fingerprint: "f-p1/1", Crashes: 1, IDs: []string{"s2/x/1"}}
	is.Equal(exchange(t, s, api.ExchangeRequest{Suspects: []api.Suspect{otherServer}}).Suspects[0].Crashes, 2)
	again := modelCall("p9/1")
	again.Fingerprint = "f-p1/1"
	is.Equal(runCall(t, s, again).code, api.CodeCrashSuspect)
	is.Equal(f.count(pathChat), 1)
}

func TestBrokenConnectionToRunningServerIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, cutMidAnswer)
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeInterrupted)
	probes := f.count("/v1/load")
	eventually(t, "further probes", func() bool { return f.count("/v1/load") > probes+5 })
	answer := exchange(t, s, api.ExchangeRequest{})
	is.Equal(len(answer.Suspects), 0)
	is.True(answer.Load.Healthy)
}

func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	var streams []*transport.Stream
	add := func(id string, alone bool) {
		req := modelCall(id)
		req.Alone = alone
		stream, _ := openCall(t, s, req)
		t.Cleanup(stream.Close)
		streams = append(streams, stream)
		waitForCalls(t, s, len(streams))
	}
	add("p1/1", false)
	eventually(t, "the first call runs", func() bool { return f.count(pathChat) == 1 })
	add("p2/1", true)
	add("p3/1", false)
	is.Equal(exchange(t, s, api.ExchangeRequest{}).Load.Running, 1) // neither the suspect nor the call queued after it
	gate <- struct{}{}
	is.Equal(readToEnd(t, streams[0]).text, "a")
	eventually(t, "the suspect runs", func() bool { return f.count(pathChat) == 2 })
	is.True(strings.Contains(f.body(pathChat), `"p2/1#1"`))
	is.Equal(exchange(t, s, api.ExchangeRequest{}).Load.Running, 1)
	close(gate)
	is.Equal(readToEnd(t, streams[1]).text, "a")
	is.Equal(readToEnd(t, streams[2]).text, "a")
}

func TestHealthFollowsTheServer(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	is.True(exchange(t, s, api.ExchangeRequest{}).Load.Healthy)
	f.stop()
	eventually(t, "unhealthy", func() bool { return !exchange(t, s, api.ExchangeRequest{}).Load.Healthy })
	answer, err := client.Raw(t.Context(), nil, "GET", s.Address(), "/readyz", nil, false)
	is.NoErr(err)
	is.Equal(answer.Status, 503)
}

func TestCallsQueuedForSilentServerAreRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	var frozen atomic.Bool
	gate, thaw := make(chan struct{}), make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	f.setHandler("/v1/load", func(ctx *requestCtx) {
		if frozen.Load() {
			<-thaw
		}
		ctx.SetBodyString(`{"boot_id":"b1"}`)
	})
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.Slots = 1 })
	running, _ := openCall(t, s, modelCall("p1/1"))
	defer running.Close()
	waitForCalls(t, s, 1)
	queued, _ := openCall(t, s, modelCall("p2/1"))
	defer queued.Close()
	frozen.Store(true)
	is.Equal(readToEnd(t, queued).code, api.CodeUnavailable)
	is.Equal(runCall(t, s, modelCall("p3/1")).code, api.CodeUnavailable)
	is.Equal(f.count(pathChat), 1)
	frozen.Store(false)
	close(thaw)
	close(gate)
	is.Equal(readToEnd(t, running).text, "a") // the running call continues
	eventually(t, "calls are accepted again", func() bool { return runCall(t, s, modelCall("p4/1")).code == api.CodeOK })
}

func TestDrainingServerGetsNoNewCalls(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler("/v1/load", respond(200, `{"boot_id":"b1","draining":true}`))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.True(exchange(t, s, api.ExchangeRequest{}).Load.Draining)
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeDraining)
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler("/v1/orders", func(*requestCtx) { <-gate })
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	order := func(id string, fence uint64) api.OrderRequest {
		return api.OrderRequest{ID: id, Kind: api.OrderLoadModel, Argument: "m", Fence: api.Fence{Journal: 0, Number: fence}}
	}
	first := make(chan api.Code)
	go func() { first <- post(t, s, api.PathOrders, order("o1", 7), nil) }()
	eventually(t, "the engine receives the order", func() bool { return f.count("/v1/orders") == 1 })
	is.Equal(post(t, s, api.PathOrders, order("o2", 7), nil), api.CodeOrderBusy)
	is.Equal(post(t, s, api.PathOrders, order("o3", 6), nil), api.CodeOrderStale) // from a deposed sender
	close(gate)
	is.Equal(<-first, api.CodeOK)
	is.Equal(post(t, s, api.PathOrders, order("o1", 7), nil), api.CodeOK)
	is.Equal(f.count("/v1/orders"), 1) // the repeated order was answered with the stored outcome
	is.True(strings.Contains(f.body("/v1/orders"), `"fence":{"journal":0,"number":7}`))
	wrong := order("o4", 7)
	wrong.Fence.Journal = 3
	is.Equal(post(t, s, api.PathOrders, wrong, nil), api.CodeBadRequest)
	is.Equal(post(t, s, api.PathOrders, order("o2", 8), nil), api.CodeOK)
}

func TestBadInputGetsACode(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.Token = "secret" })
	authorized := transport.NewClient(transport.ClientOptions{Token: "secret"})
	status := func(c *transport.Client, method, path, body string) int {
		answer, err := c.Raw(t.Context(), nil, method, s.Address(), path, []byte(body), false)
		is.NoErr(err)
		return answer.Status
	}
	for _, path := range []string{api.PathCalls, api.PathSettle, api.PathCancel, api.PathExchange, api.PathOrders, api.PathDrain} {
		is.Equal(status(client, "POST", path, "{}"), 401)
		is.Equal(status(authorized, "GET", path, ""), 405)
		if path != api.PathDrain {
			is.Equal(status(authorized, "POST", path, "{"), 400)
		}
	}
	is.Equal(status(authorized, "POST", "/internal/v1/other", "{}"), 404)
	is.Equal(status(authorized, "POST", api.PathCalls, `{"call_id":"c","program":"p","kind":"service","http":{}}`), 400)
	is.Equal(status(client, "GET", "/healthz", ""), 200)
	is.Equal(status(client, "GET", "/metrics", ""), 200)
}

func TestRestartedSidecarHasAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	first := startSidecar(t, sidecar.KindService, f.Address(), nil)
	second := startSidecar(t, sidecar.KindService, f.Address(), func(c *sidecar.Settings) { c.ProbeInterval = time.Hour })
	is.True(first.Incarnation() != second.Incarnation())
}
