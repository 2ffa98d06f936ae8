package sidecar_test

import (
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

const (
	pathHold    = "/v1/cache/hold"
	pathRelease = "/v1/cache/release"
)

func held(t *testing.T, s *sidecar.Sidecar, req api.ExchangeRequest) []string {
	t.Helper()
	var answer api.ExchangeResponse
	req.Fences = append(req.Fences, api.Fence{Journal: 1, Number: 5})
	if code := post(t, s, api.PathExchange, req, &answer); code != api.CodeOK {
		t.Fatalf("exchange: code %d", code)
	}
	return answer.Held
}

func TestLapsedHoldIsReleasedUntilTheEngineConfirms(t *testing.T) {
	is := is.New(t)
	var failures atomic.Int32
	f := newFake(t)
	f.on(pathChat, answerWith(nil, "a"))
	f.on(pathRelease, func(ctx *requestCtx) {
		if failures.Add(1) <= 2 {
			dropAnswer(ctx)
		}
	})
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	req := modelCall("p1/1")
	req.Model.HoldMS = 100
	is.Equal(call(t, s, req).code, api.CodeOK)
	eventually(t, "three releases", func() bool { return f.count(pathRelease) == 3 })
	is.Equal(f.body(pathRelease), `{"program":"p1"}`)
	is.Equal(len(held(t, s, api.ExchangeRequest{})), 0)
}

func TestEndedProgramIsReleasedAndARenewedOneIsNot(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	f.on(pathChat, answerWith(nil, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	for _, program := range []string{"p1", "p2"} {
		req := modelCall(program + "/1")
		req.Program = program
		req.Model.HoldMS = 60_000
		is.Equal(call(t, s, req).code, api.CodeOK)
	}
	eventually(t, "both are held", func() bool { return len(held(t, s, api.ExchangeRequest{})) == 2 })
	var other api.ExchangeResponse
	post(t, s, api.PathExchange, api.ExchangeRequest{Fences: []api.Fence{{Journal: 2, Number: 9}}}, &other)
	is.Equal(len(other.Held), 0) // only the owner of the journal is told
	is.Equal(held(t, s, api.ExchangeRequest{Ended: []string{"p1"}, Renew: []string{"p2"}, HoldMS: 60_000}), []string{"p2"})
	eventually(t, "release", func() bool { return f.count(pathRelease) == 1 })
	is.Equal(f.body(pathRelease), `{"program":"p1"}`)
}

func TestMemoryFoundAfterARestartIsReleasedUnlessRenewed(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	f.on("/v1/cache_stats", respond(200, `{"programs":["orphan","kept"]}`))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.OrphanGrace = 1500 * time.Millisecond })
	eventually(t, "both are found", func() bool { return len(held(t, s, api.ExchangeRequest{})) == 2 })
	held(t, s, api.ExchangeRequest{Renew: []string{"kept"}, HoldMS: 60_000})
	eventually(t, "release", func() bool { return f.count(pathRelease) >= 1 })
	is.Equal(f.body(pathRelease), `{"program":"orphan"}`)
	is.Equal(held(t, s, api.ExchangeRequest{}), []string{"kept"})
}

func TestProgramOfARunningCallIsNotReleased(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFake(t)
	f.on(pathChat, answerWith(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	stream, _ := open(t, s, modelCall("p1/1"))
	defer stream.Close()
	held(t, s, api.ExchangeRequest{Ended: []string{"p1"}})
	time.Sleep(300 * time.Millisecond) // several looks for lapsed leases
	is.Equal(f.count(pathRelease), 0)
	close(gate)
	is.Equal(finish(t, stream).code, api.CodeOK)
	eventually(t, "release after the call", func() bool { return f.count(pathRelease) == 1 }) // well before the hold lapses
}

func TestHistoryIsHeldByHash(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	f.on(pathChat, answerWith(nil, "answer", " text"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	first := modelCall("p1/1")
	is.Equal(call(t, s, first).code, api.CodeOK)
	history := append([]api.Message{}, first.Model.Messages...)
	history = append(history, api.AssistantMessage("answer text", nil))

	next := modelCall("p1/2")
	next.Model.Messages = []api.Message{{Role: "tool", ToolCallID: "t", Content: json.RawMessage(`"<slip>"`)}}
	next.Model.PrefixHash = api.HistoryHashOf(history)
	is.Equal(call(t, s, next).code, api.CodeOK)
	var body struct{ Messages []api.Message }
	is.NoErr(json.Unmarshal([]byte(f.body(pathChat)), &body))
	is.Equal(api.HistoryHashOf(body.Messages), api.HistoryHashOf(append(history, next.Model.Messages...)))

	other := modelCall("p2/1") // another program never gets this history
	other.Program = "p2"
	other.Model.PrefixHash = next.Model.PrefixHash
	is.Equal(call(t, s, other).code, api.CodeHistoryMissing)
	is.Equal(f.count(pathChat), 2)
	other.Model.History = history // the same attempt, sent again with its history
	is.Equal(call(t, s, other).code, api.CodeOK)
	wrong := modelCall("p2/2")
	wrong.Model.History, wrong.Model.PrefixHash = history, strings.Repeat("0", 32)
	is.Equal(call(t, s, wrong).code, api.CodeBadRequest)
}

func TestReleaseNeverOvertakesAHold(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFake(t)
	f.on(pathChat, answerWith(nil, "a"))
	f.on(pathHold, func(*requestCtx) { <-gate })
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.Equal(call(t, s, modelCall("p1/1")).code, api.CodeOK)
	eventually(t, "the hold is under way", func() bool { return f.count(pathHold) == 1 })
	held(t, s, api.ExchangeRequest{Ended: []string{"p1"}})
	is.Equal(len(held(t, s, api.ExchangeRequest{Renew: []string{"p1"}, HoldMS: 60_000})), 0) // too late
	time.Sleep(300 * time.Millisecond)                                                       // several looks for lapsed leases
	is.Equal(f.count(pathRelease), 0)
	close(gate)
	eventually(t, "release", func() bool { return f.count(pathRelease) == 1 })
}

func TestRenewalsReachTheEngineOnlyWhenItsOwnHoldWouldEnd(t *testing.T) {
	is := is.New(t)
	f := newFake(t)
	f.on(pathChat, answerWith(nil, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.Equal(call(t, s, modelCall("p1/1")).code, api.CodeOK)
	eventually(t, "the hold", func() bool { return f.count(pathHold) == 1 })
	renew := func(holdMS int64) {
		is.Equal(held(t, s, api.ExchangeRequest{Renew: []string{"p1"}, HoldMS: holdMS}), []string{"p1"})
	}
	for range 10 {
		renew(60_000)
	}
	is.Equal(f.count(pathHold), 1)
	renew(600_000)
	eventually(t, "a longer hold", func() bool { return f.count(pathHold) == 2 })
	is.Equal(f.body(pathHold), `{"program":"p1","ttl_ms":1200000}`)
}
