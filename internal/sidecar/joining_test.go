package sidecar_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

const pathChat = "/v1/chat/completions"

func TestLostConnectionNeverCancelsAndResumesAtItsOffset(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{}, 8)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a", "b", "c"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	req := modelCall("p1/1")
	stream, _ := openCall(t, s, req)
	is.Equal(readEvent(t, stream).Kind, api.EventStarted)
	gate <- struct{}{}
	is.Equal(readEvent(t, stream).Text, "a")
	stream.Close()

	req.Offset = 2
	gate <- struct{}{}
	gate <- struct{}{}
	is.Equal(runCall(t, s, req).text, "bc")
	req.Offset = 0
	whole := runCall(t, s, req)
	is.Equal(whole.text, "abc")
	is.Equal(whole.code, api.CodeOK)
	is.Equal(f.count(pathChat), 1)
}

func TestJoinerWithLessTextGetsMissingText(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, " c"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	req := modelCall("p1/1")
	req.Model.ResumeText = "a b"
	is.Equal(runCall(t, s, req).text, " c")
	req.Model.ResumeText = "a"
	is.Equal(runCall(t, s, req).text, " b c")
	req.Offset = 1
	is.Equal(runCall(t, s, req).text, " c")
	req.Model.ResumeText = "other"
	is.Equal(runCall(t, s, req).code, api.CodeCancelled) // the execution continues another text
}

func TestDeposedOwnerIsRefusedBeforeAnyEffect(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	var answer api.ExchangeResponse
	is.Equal(post(t, s, api.PathExchange, api.ExchangeRequest{Fences: []api.Fence{{Journal: 1, Number: 6}}}, &answer), api.CodeOK)
	is.Equal(len(answer.Fences), 0)
	is.Equal(runCall(t, s, serviceCall("p1/1", false)).code, api.CodeStaleFence)
	stale := api.Fence{Journal: 1, Number: 5}
	is.Equal(post(t, s, api.PathSettle, api.SettleRequest{CallID: "p1/1", Fence: stale}, nil), api.CodeStaleFence)
	is.Equal(post(t, s, api.PathCancel, api.CancelRequest{CallID: "p1/1", Fence: stale}, nil), api.CodeStaleFence)
	is.Equal(post(t, s, api.PathExchange, api.ExchangeRequest{Fences: []api.Fence{stale}}, &answer), api.CodeOK)
	is.Equal(answer.Fences, []api.Fence{{Journal: 1, Number: 6}})
	is.Equal(f.count("/stamp"), 0)
}

func TestSettle(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler("/stamp", func(*requestCtx) { <-release })
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	settle := func(id, incarnation string) api.SettleState {
		var answer api.SettleResponse
		req := api.SettleRequest{CallID: id, Attempt: 1, Incarnation: incarnation, Fence: api.Fence{Journal: 1, Number: 5}}
		is.Equal(post(t, s, api.PathSettle, req, &answer), api.CodeOK)
		is.Equal(answer.Incarnation, s.Incarnation())
		return answer.State
	}
	is.Equal(settle("p1/1", "another"), api.SettleGone)
	is.Equal(settle("p1/1", s.Incarnation()), api.SettleNever)
	is.Equal(runCall(t, s, serviceCall("p1/1", false)).code, api.CodeCancelled) // a delayed request of an owner that was paused
	stream, _ := openCall(t, s, serviceCall("p1/2", false))
	defer stream.Close()
	is.Equal(settle("p1/2", s.Incarnation()), api.SettleRunning)
	close(release)
	is.Equal(readToEnd(t, stream).code, api.CodeOK)
	is.Equal(settle("p1/2", s.Incarnation()), api.SettleFinished)
	is.Equal(f.count("/stamp"), 1)
}

func TestIntentForAnotherIncarnationDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	req := serviceCall("p1/1", false)
	req.Incarnation = "another"
	is.Equal(runCall(t, s, req).code, api.CodeUnavailable)
	is.Equal(f.count("/stamp"), 0)
}

func TestSilentStreamCarriesKeepAlives(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	stream, _ := openCall(t, s, modelCall("p1/1"))
	defer stream.Close()
	for {
		line, err := stream.ReadLine()
		is.NoErr(err)
		var e api.Event
		is.NoErr(json.Unmarshal(line, &e))
		if e.Kind == api.EventKeepAlive {
			break
		}
	}
	close(gate)
	is.Equal(readToEnd(t, stream).text, "a")
}

func TestCancelledCalls(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.Slots = 1 })
	running, _ := openCall(t, s, modelCall("p1/1"))
	defer running.Close()
	eventually(t, "first call runs", func() bool { return f.count(pathChat) == 1 })
	queued, _ := openCall(t, s, modelCall("p1/2"))
	defer queued.Close()
	cancel := func(id string) {
		is.Equal(post(t, s, api.PathCancel, api.CancelRequest{CallID: id, Attempt: 1, Fence: api.Fence{Journal: 1, Number: 5}}, nil), api.CodeOK)
	}
	cancel("p1/2")
	is.Equal(readToEnd(t, queued).code, api.CodeCancelled)
	cancel("p1/1")
	is.Equal(readToEnd(t, running).code, api.CodeInterrupted)
	eventually(t, "the engine receives the cancellation", func() bool { return f.body("/v1/cancel") == `{"request_id":"p1/1#1"}` })
	cancel("p1/3")
	is.Equal(runCall(t, s, modelCall("p1/3")).code, api.CodeCancelled)
	close(gate)
	is.Equal(f.count(pathChat), 1)
}

func TestFullQueueRefusesTheLowestPriority(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.Slots, c.Queue = 1, 1 })
	load := func() api.Load {
		var answer api.ExchangeResponse
		is.Equal(post(t, s, api.PathExchange, api.ExchangeRequest{}, &answer), api.CodeOK)
		return answer.Load
	}
	first, _ := openCall(t, s, modelCall("p1/1"))
	defer first.Close()
	eventually(t, "first call runs", func() bool { return load().Running == 1 })
	low, _ := openCall(t, s, modelCall("p2/1"))
	defer low.Close()
	is.Equal(load().Queued, 1)
	is.True(load().QueuedTokens > 0)
	high := modelCall("p3/1")
	high.Priority = 3
	favoured, _ := openCall(t, s, high)
	defer favoured.Close()
	is.Equal(readToEnd(t, low).code, api.CodeOverloaded)
	is.Equal(runCall(t, s, modelCall("p4/1")).code, api.CodeOverloaded)
	close(gate)
	is.Equal(readToEnd(t, favoured).text, "a")
	is.Equal(f.count(pathChat), 2) // the refused calls did not run
	is.Equal(runCall(t, s, modelCall("p2/1")).code, api.CodeOK)
}
