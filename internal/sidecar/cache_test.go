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

// heldPrograms sends a heartbeat from the owner of journal 1 and returns the programs that the sidecar reports as held.
func heldPrograms(t *testing.T, s *sidecar.Sidecar, req api.ExchangeRequest) []string {
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
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "a"))
	f.setHandler(pathRelease, func(ctx *requestCtx) {
		if failures.Add(1) <= 2 {
			closeWithoutAnswer(ctx)
		}
	})
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	req := modelCall("p1/1")
	req.Model.HoldMS = 100
	is.Equal(runCall(t, s, req).code, api.CodeOK)
	eventually(t, "three releases", func() bool { return f.count(pathRelease) == 3 })
	is.Equal(f.body(pathRelease), `{"program":"p1"}`)
	is.Equal(len(heldPrograms(t, s, api.ExchangeRequest{})), 0)
}

func TestEndedProgramIsReleasedAndARenewedOneIsNot(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	for _, program := range []string{"p1", "p2"} {
		req := modelCall(program + "/1")
		req.Program = program
		req.Model.HoldMS = 60_000
		is.Equal(runCall(t, s, req).code, api.CodeOK)
	}
	eventually(t, "both programs are held", func() bool { return len(heldPrograms(t, s, api.ExchangeRequest{})) == 2 })
	var other api.ExchangeResponse
	post(t, s, api.PathExchange, api.ExchangeRequest{Fences: []api.Fence{{Journal: 2, Number: 9}}}, &other)
	is.Equal(len(other.Held), 0) // held programs are reported only to the owner of their journal
	is.Equal(heldPrograms(t, s, api.ExchangeRequest{Ended: []string{"p1"}, Renew: []string{"p2"}, HoldMS: 60_000}), []string{"p2"})
	eventually(t, "release", func() bool { return f.count(pathRelease) == 1 })
	is.Equal(f.body(pathRelease), `{"program":"p1"}`)
}

func TestMemoryFoundAfterARestartIsReleasedUnlessRenewed(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler("/v1/cache_stats", respond(200, `{"programs":["orphan","kept"]}`))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) { c.OrphanGrace = 1500 * time.Millisecond })
	eventually(t, "both programs are found", func() bool { return len(heldPrograms(t, s, api.ExchangeRequest{})) == 2 })
	heldPrograms(t, s, api.ExchangeRequest{Renew: []string{"kept"}, HoldMS: 60_000})
	eventually(t, "release", func() bool { return f.count(pathRelease) >= 1 })
	is.Equal(f.body(pathRelease), `{"program":"orphan"}`)
	is.Equal(heldPrograms(t, s, api.ExchangeRequest{}), []string{"kept"})
}

func TestProgramOfARunningCallIsNotReleased(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	stream, _ := openCall(t, s, modelCall("p1/1"))
	defer stream.Close()
	heldPrograms(t, s, api.ExchangeRequest{Ended: []string{"p1"}})
	time.Sleep(300 * time.Millisecond) // several searches for expired leases
	is.Equal(f.count(pathRelease), 0)
	close(gate)
	is.Equal(readToEnd(t, stream).code, api.CodeOK)
	eventually(t, "release after the call", func() bool { return f.count(pathRelease) == 1 }) // well before the lease expires
}

func TestHistoryIsHeldByHash(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "answer", " text"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	first := modelCall("p1/1")
	is.Equal(runCall(t, s, first).code, api.CodeOK)
	history := append([]api.Message{}, first.Model.Messages...)
	history = append(history, api.AssistantMessage("answer text", nil))

	next := modelCall("p1/2")
	next.Model.Messages = []api.Message{{Role: "tool", ToolCallID: "t", Content: json.RawMessage(`"<slip>"`)}}
	next.Model.PrefixHash = api.HistoryHashOf(history)
	is.Equal(runCall(t, s, next).code, api.CodeOK)
	var body struct{ Messages []api.Message }
	is.NoErr(json.Unmarshal([]byte(f.body(pathChat)), &body))
	is.Equal(api.HistoryHashOf(body.Messages), api.HistoryHashOf(append(history, next.Model.Messages...)))

	other := modelCall("p2/1") // another program must not get this history
	other.Program = "p2"
	other.Model.PrefixHash = next.Model.PrefixHash
	is.Equal(runCall(t, s, other).code, api.CodeHistoryMissing)
	is.Equal(f.count(pathChat), 2)
	other.Model.History = history // the same attempt, resent with its history
	is.Equal(runCall(t, s, other).code, api.CodeOK)
	wrong := modelCall("p2/2")
	wrong.Model.History, wrong.Model.PrefixHash = history, strings.Repeat("0", 32)
	is.Equal(runCall(t, s, wrong).code, api.CodeBadRequest)
}

func TestReleaseNeverOvertakesAHold(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "a"))
	f.setHandler(pathHold, func(*requestCtx) { <-gate })
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeOK)
	eventually(t, "the engine receives the hold", func() bool { return f.count(pathHold) == 1 })
	heldPrograms(t, s, api.ExchangeRequest{Ended: []string{"p1"}})
	is.Equal(len(heldPrograms(t, s, api.ExchangeRequest{Renew: []string{"p1"}, HoldMS: 60_000})), 0) // an ended program cannot be renewed
	time.Sleep(300 * time.Millisecond)                                                               // several searches for expired leases
	is.Equal(f.count(pathRelease), 0)
	close(gate)
	eventually(t, "release", func() bool { return f.count(pathRelease) == 1 })
}

func TestRenewalsReachTheEngineOnlyWhenItsOwnHoldWouldEnd(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(nil, "a"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	is.Equal(runCall(t, s, modelCall("p1/1")).code, api.CodeOK)
	eventually(t, "the hold", func() bool { return f.count(pathHold) == 1 })
	renew := func(holdMS int64) {
		is.Equal(heldPrograms(t, s, api.ExchangeRequest{Renew: []string{"p1"}, HoldMS: holdMS}), []string{"p1"})
	}
	for range 10 {
		renew(60_000)
	}
	is.Equal(f.count(pathHold), 1)
	renew(600_000)
	eventually(t, "a longer hold", func() bool { return f.count(pathHold) == 2 })
	is.Equal(f.body(pathHold), `{"program":"p1","ttl_ms":1200000}`)
}
