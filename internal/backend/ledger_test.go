package backend_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
)

func newLedger() *backend.Ledger {
	return backend.NewLedger(backend.Limits{Calls: 1000, Bytes: 1 << 20, Idempotent: time.Minute, NonIdempotent: time.Hour})
}

// request returns an attempt of call p/1, under fencing number 1 of journal 1.
func request(attempt int, idempotent bool) *api.CallRequest {
	return &api.CallRequest{CallID: "p/1", Attempt: attempt, Idempotent: idempotent, Fence: api.Fence{Journal: 1, Number: 1}}
}

// sampledFences holds the fencing numbers that a run samples from. The lowest is the most frequent, so that the owner
// rarely changes.
var sampledFences = []uint64{1, 1, 1, 1, 1, 2, 3}

// ledgerModel calls a ledger as a sidecar does, for one non-idempotent call, and counts the executions. Its methods are
// the actions of TestNonIdempotentCallBeginsAtMostOnce.
type ledgerModel struct {
	ledger       *backend.Ledger
	fences       *backend.Fences
	queued       []*backend.Call
	running      []*backend.Call
	effects      int          // Executions begun, except those that ended as not run.
	neverStarted int          // Highest attempt settled as never started.
	notRun       map[int]bool // Attempts that ended as not run.
}

func (m *ledgerModel) start(t *rapid.T) {
	req := request(rapid.IntRange(1, 3).Draw(t, "attempt"), false)
	req.Fence.Number = rapid.SampledFrom(sampledFences).Draw(t, "fence")
	if m.fences.Admit(req.Fence) != nil {
		return
	}
	started, err := m.ledger.Start(req, nil)
	if err != nil {
		if !err.Code.SafeToResend() {
			t.Fatalf("the code of refusal %v does not prove that the request did not run", err)
		}
		return
	}
	if started.New {
		m.queued = append(m.queued, started.Call)
	}
}

func (m *ledgerModel) begin(t *rapid.T) {
	if len(m.queued) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.queued)-1).Draw(t, "queued")
	call := m.queued[i]
	m.queued = append(m.queued[:i], m.queued[i+1:]...)
	if !call.Begin(m.fences, nil) {
		m.ledger.AddEnded(call)
		return
	}
	if call.Request.Attempt <= m.neverStarted {
		t.Fatalf("attempt %d began after attempt %d was settled as never started", call.Request.Attempt, m.neverStarted)
	}
	if m.notRun[call.Request.Attempt] {
		t.Fatalf("attempt %d began after it had ended as not run", call.Request.Attempt)
	}
	m.effects++
	m.running = append(m.running, call)
	if m.effects > 1 {
		t.Fatalf("a non-idempotent call ran %d times", m.effects)
	}
}

func (m *ledgerModel) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	call := m.running[0]
	m.running = m.running[1:]
	switch rapid.SampledFrom([]string{"ok", "unknown", "not run"}).Draw(t, "outcome") {
	case "ok":
		call.Complete(&api.Result{Status: 200, Body: make([]byte, 4096)}, api.CodeOK)
	case "unknown":
		call.Fail(api.Errorf(api.CodeOutcomeUnknown, "no answer"))
	default:
		call.Fail(api.Errorf(api.CodeBackendLost, "not sent"))
		m.effects--
		m.notRun[call.Request.Attempt] = true
	}
	m.ledger.AddEnded(call)
}

func (m *ledgerModel) settle(t *rapid.T) {
	attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
	fence := api.Fence{Journal: 1, Number: rapid.SampledFrom(sampledFences).Draw(t, "fence")}
	if m.fences.Admit(fence) != nil {
		return
	}
	state := m.ledger.Settle("p/1", attempt, fence.Number)
	if state != api.SettleNever {
		return
	}
	if m.effects > 0 {
		t.Fatalf("the attempt was settled as never started although an execution has begun")
	}
	m.neverStarted = max(m.neverStarted, attempt)
}

func (m *ledgerModel) cancel(*rapid.T) {
	if call := m.ledger.Find("p/1"); call != nil {
		call.Cancel()
	}
}

// sweep runs Sweep at a time when no record of a non-idempotent call may be removed yet.
func (m *ledgerModel) sweep(*rapid.T) { m.ledger.Sweep(time.Now().Add(30 * time.Minute)) }

func TestNonIdempotentCallBeginsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{fences: backend.NewFences(), notRun: make(map[int]bool)}
		m.ledger = backend.NewLedger(backend.Limits{Calls: 1000, Bytes: 1024, Idempotent: time.Minute, NonIdempotent: time.Hour})
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "begin": m.begin, "end": m.end, "settle": m.settle, "cancel": m.cancel, "sweep": m.sweep,
		})
	})
}

func TestConcurrentRepeatsBeginOneExecution(t *testing.T) {
	is := is.New(t)
	ledger, fences := newLedger(), backend.NewFences()
	for round := range 50 {
		var begun atomic.Int32
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				req := request(1+i%3, false)
				req.CallID = fmt.Sprint(round)
				if started, err := ledger.Start(req, nil); err == nil && started.Call.Begin(fences, nil) {
					begun.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(begun.Load(), int32(1))
	}
}

func TestLateRequestIsRefusedAfterSettleNever(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	is.Equal(ledger.Settle("p/1", 2, 1), api.SettleNever)
	for attempt := 1; attempt <= 2; attempt++ {
		_, err := ledger.Start(request(attempt, false), nil)
		is.True(err != nil)
		is.Equal(err.Code, api.CodeCancelled)
	}
	started, err := ledger.Start(request(3, false), nil)
	is.True(err == nil)
	is.True(started.New)
	is.Equal(ledger.Settle("p/1", 2, 1), api.SettleRunning)
}

func TestAttemptsOfAnIdempotentCall(t *testing.T) {
	end := map[string]func(*backend.Call){
		"running":     func(*backend.Call) {},
		"answered":    func(c *backend.Call) { c.Complete(&api.Result{}, api.CodeOK) },
		"interrupted": func(c *backend.Call) { c.Fail(api.Errorf(api.CodeInterrupted, "x")) },
		"not run":     func(c *backend.Call) { c.Fail(api.Errorf(api.CodeBackendLost, "x")) },
	}
	cases := []struct {
		ended   string
		attempt int
		joins   bool
	}{
		{"running", 1, true},
		{"running", 2, true},
		{"running", 3, false},
		{"answered", 1, true},
		{"answered", 2, true},
		{"answered", 3, false},
		{"interrupted", 1, false},
		{"interrupted", 2, true},
		{"interrupted", 3, false},
		{"not run", 1, false},
		{"not run", 2, false},
		{"not run", 3, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, attempt %d after 2", c.ended, c.attempt), func(t *testing.T) {
			is := is.New(t)
			ledger := newLedger()
			existing, _ := ledger.Start(request(2, true), nil)
			is.True(existing.Call.Begin(backend.NewFences(), nil))
			end[c.ended](existing.Call)
			got, err := ledger.Start(request(c.attempt, true), nil)
			is.True(err == nil)
			is.Equal(got.New, !c.joins)
			is.Equal(got.Superseded != nil, got.New && c.ended == "running")
		})
	}
}

func TestLowerAttemptOfANonIdempotentCallIsRefused(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	existing, _ := ledger.Start(request(2, false), nil)
	existing.Call.Fail(api.Errorf(api.CodeBackendLost, "not sent"))
	_, err := ledger.Start(request(1, false), nil)
	is.True(err != nil)
	is.Equal(err.Code, api.CodeCancelled)
}

func TestRejectionOutlivesIdempotentCall(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	started, _ := ledger.Start(request(1, true), nil)
	ledger.RejectUpTo("p/1", 3)
	started.Call.Fail(api.Errorf(api.CodeInterrupted, "x"))
	ledger.AddEnded(started.Call)
	ledger.Sweep(time.Now().Add(2 * time.Minute))
	is.True(ledger.Find("p/1") == nil) // the call was removed; only the rejection is left
	_, err := ledger.Start(request(3, true), nil)
	is.Equal(err.Code, api.CodeCancelled)
	ledger.Sweep(time.Now().Add(2 * time.Hour))
	records, _ := ledger.Size()
	is.Equal(records, 0)
}

func TestQueuedCallOfADeposedOwnerDoesNotBegin(t *testing.T) {
	is := is.New(t)
	ledger, fences := newLedger(), backend.NewFences()
	is.True(fences.Admit(api.Fence{Journal: 1, Number: 1}) == nil)
	started, _ := ledger.Start(request(1, false), nil)
	is.True(fences.Admit(api.Fence{Journal: 1, Number: 2}) == nil)
	is.True(!started.Call.Begin(fences, nil))
	_, code := started.Call.State()
	is.Equal(code, api.CodeStaleFence)

	again, _ := ledger.Start(request(2, false), nil)
	is.Equal(ledger.Settle("p/1", 2, 2), api.SettleRunning) // raises the call's fencing number to that of the new owner
	is.True(again.Call.Begin(fences, nil))
	is.True(fences.Admit(api.Fence{Journal: 1, Number: 1}) != nil)
}

func TestReadersGetEveryEventFromTheirOffset(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	started, _ := ledger.Start(request(1, true), nil)
	call := started.Call
	early := call.Attach(0, "")
	is.True(call.Begin(backend.NewFences(), nil))
	call.AppendStarted()
	call.AppendText("a")
	first, last := early.Read()
	is.True(!last)
	call.AppendText("b")
	call.Fail(api.Errorf(api.CodeInterrupted, "x"))
	call.AppendText("late")
	rest, last := early.Read()
	is.True(last)
	whole, _ := call.Attach(0, "").Read()
	is.Equal(string(first)+string(rest), string(whole))
	tail, _ := call.Attach(2, "").Read()
	is.Equal(string(whole[len(whole)-len(tail):]), string(tail))
	pastEnd, last := call.Attach(99, "").Read()
	is.True(last)
	is.Equal(string(pastEnd), `{"kind":"error","error":{"code":301,"message":"x"}}`+"\n")

	prefixed := call.Attach(0, "head")
	head, last := prefixed.Read()
	is.True(!last)
	is.Equal(string(head), `{"kind":"delta","text":"head"}`+"\n")
	after, _ := prefixed.Read()
	is.Equal(string(after), string(whole))
	skipped, _ := call.Attach(1, "head").Read()
	is.Equal(string(skipped), string(whole))
}

func TestSweepKeepsOutcomesOfNonIdempotentCalls(t *testing.T) {
	is := is.New(t)
	ledger := backend.NewLedger(backend.Limits{Calls: 10, Bytes: 8192, Idempotent: time.Minute, NonIdempotent: time.Hour})
	for i := range 10 {
		req := request(1, i%2 == 0)
		req.CallID = fmt.Sprint(i)
		started, err := ledger.Start(req, nil)
		is.True(err == nil)
		is.True(started.Call.Begin(backend.NewFences(), nil))
		started.Call.Complete(&api.Result{Body: make([]byte, 4000)}, api.CodeOK)
		ledger.AddEnded(started.Call)
	}
	full := request(1, false)
	full.CallID = "full"
	_, err := ledger.Start(full, nil)
	is.Equal(err.Code, api.CodeOverloaded)
	ledger.Sweep(time.Now())
	records, bytes := ledger.Size()
	is.Equal(records, 5) // the idempotent calls were removed
	is.True(bytes <= 8192)
	for i := 1; i < 10; i += 2 {
		is.Equal(ledger.Settle(fmt.Sprint(i), 1, 1), api.SettleFinished)
	}
	ledger.Sweep(time.Now().Add(2 * time.Hour))
	records, bytes = ledger.Size()
	is.Equal(records, 0)
	is.Equal(bytes, int64(0))
}

func TestOlderCallsListsCallsNoLaterOwnerRequested(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	for _, id := range []string{"a", "b"} {
		req := request(1, true)
		req.CallID = id
		_, err := ledger.Start(req, nil)
		is.True(err == nil)
	}
	is.Equal(len(ledger.OlderCalls([]api.Fence{{Journal: 1, Number: 1}})), 0)
	is.Equal(len(ledger.OlderCalls([]api.Fence{{Journal: 2, Number: 9}})), 0)
	is.Equal(len(ledger.OlderCalls([]api.Fence{{Journal: 1, Number: 2}})), 2)
	ledger.Find("a").RaiseFence(2)
	is.Equal(ledger.OlderCalls([]api.Fence{{Journal: 1, Number: 2}}), []api.CallSummary{{CallID: "b", Attempt: 1, State: api.SettleRunning}})
}
