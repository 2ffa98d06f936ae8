package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

const (
	tokensPerEvent = 5   // Tokens in one event of an answer.
	maxOutput      = 15  // Tokens in an answer, which has three events.
	programBudget  = 120 // Token budget of each program.
)

// attempt is one request of a caller and its outcome as seen by the caller.
type attempt struct {
	id            string
	program       string
	route         string
	body          string // Request body.
	expectedInput string // Input that the backend server must receive: the earlier turns and this one.
	status        int
	complete      bool // The response was read to its end without an error.
	sealed        bool // A server vouches for the response.
	answer        string
}

// attemptLog collects the attempts of all callers. It is safe for concurrent use.
type attemptLog struct {
	mu       sync.Mutex
	attempts []attempt
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// caller runs one program after another. It sends each request to a random gateway, over persistent connections.
type caller struct {
	number   int
	random   *rand.Rand
	gateways []*gateway
	clients  []*http.Client // One for each gateway, so that connections stay open until the gateway's process ends.
	log      *attemptLog
	calls    int

	organisation string  // Empty if the deployment has none.
	ledger       *ledger // Nil if the deployment has no organisations.
}

func (c *caller) run(ctx context.Context) {
	for program := 0; ctx.Err() == nil; program++ {
		c.runProgram(ctx, fmt.Sprintf("p%d-%d", c.number, program))
	}
}

// runProgram runs a program: turns that continue each other, with service calls between them. It stops at the first turn
// that fails.
func (c *caller) runProgram(ctx context.Context, name string) {
	previous, chain := "", ""
	for turn := range 2 + c.random.IntN(4) {
		input := fmt.Sprintf("%s/%d;", name, turn)
		a, ok := c.runTurn(ctx, name, previous, chain, input)
		if !ok {
			return
		}
		if c.random.IntN(3) == 0 { // Another turn, which is taken up, goes on from it.
			previous, chain = a.id, chain+input+"e1\ne2\ne3\n"
			input = fmt.Sprintf("%s/%d/taken up;", name, turn)
			taken, whole := c.takeUp(ctx, attempt{program: name, route: "sessions", body: input, expectedInput: chain + input}, previous)
			if !whole {
				continue
			}
			a = taken
		}
		previous, chain = a.id, chain+input+"e1\ne2\ne3\n"
		if c.random.IntN(3) == 0 {
			c.runStream(ctx)
		}
		for range c.random.IntN(3) {
			if c.random.IntN(2) == 0 {
				c.send(ctx, attempt{program: name, route: "order", body: "x"}, "")
			} else {
				c.send(ctx, attempt{program: name, route: "lookup"}, "")
			}
		}
	}
}

// runTurn sends a turn until it gets a complete response, at most four times. It stops early if the token budget is
// spent or ctx is done.
func (c *caller) runTurn(ctx context.Context, program, previous, chain, input string) (attempt, bool) {
	for range 4 {
		a := c.send(ctx, attempt{program: program, route: "turns", body: input, expectedInput: chain + input}, previous)
		if a.status == http.StatusOK && a.complete {
			return a, true
		}
		if a.status == http.StatusPaymentRequired || ctx.Err() != nil {
			return a, false
		}
		time.Sleep(time.Duration(50+c.random.IntN(300)) * time.Millisecond)
	}
	return attempt{}, false
}

// nextID returns the id of the caller's next request.
func (c *caller) nextID() string {
	c.calls++
	return fmt.Sprintf("r%d-%d", c.number, c.calls)
}

// send sends a request with a new ID and logs the attempt.
func (c *caller) send(ctx context.Context, a attempt, previous string) attempt {
	a.id = c.nextID()
	i := c.random.IntN(len(c.gateways))
	call := standin.Call{
		ID: a.id, Address: c.gateways[i].callerAddress, Route: a.route, Body: a.body, Program: a.program, Previous: previous,
	}
	if a.route == "turns" {
		call.Budget, call.MaxOutput = programBudget, maxOutput
	}
	call.Key = c.ledger.begin(c, a.id, c.gateways[i])
	req, err := call.Request(ctx)
	if err != nil {
		return a
	}
	// With GetBody set, http.Transport retries a request with a body by itself if a persistent connection was closed. The
	// caller would not know of that second attempt, so retries are disabled.
	req.GetBody = nil
	resp, err := c.clients[i].Do(req)
	if err == nil {
		c.ledger.answered(a.id, resp)
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.answer, a.complete, a.sealed = resp.StatusCode, string(data), err == nil, standin.IsSealed(resp.Header)
	}
	c.log.add(a)
	return a
}

// completeStream is the response to a turn.
const completeStream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

// checkAttempts checks the attempts of all callers against the requests that the backend servers ran.
func checkAttempts(t *testing.T, attempts []attempt, servers []*standin.Server) {
	t.Helper()
	runs := make(map[string][]standin.Run)
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	known := make(map[string]bool)
	acknowledged := make(map[string]bool)
	delivered := make(map[string]int)
	for _, a := range attempts {
		known[a.id] = true
		checkAttempt(t, a, runs[a.id])
		if a.program != "" && (a.route == "turns" || a.route == "sessions") && a.status == http.StatusOK {
			delivered[a.program] += strings.Count(a.answer, "data:") * tokensPerEvent
			acknowledged[a.id] = a.complete
		}
	}
	for id := range runs {
		if !known[id] && id != "ready" {
			t.Errorf("UNASKED: request %s ran, but no caller sent it", id)
		}
	}
	checkStreams(t, attempts, servers)
	for program, tokens := range delivered {
		if tokens > programBudget+maxOutput {
			t.Errorf("BUDGET: program %s received %d tokens, budget %d", program, tokens, programBudget)
		}
	}
}

// checkAttempt checks one attempt against the runs of its request at the backend servers.
func checkAttempt(t *testing.T, a attempt, runs []standin.Run) {
	t.Helper()
	repeatable := a.route == "lookup" || a.route == "resume" || a.route == "sessions"
	if !repeatable && len(runs) > 1 {
		t.Errorf("TWICE: request %s to route %s ran %d times", a.id, a.route, len(runs))
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound,
		http.StatusUnauthorized:
		if len(runs) > 0 && !repeatable {
			t.Errorf("REFUSED: request %s ran, but its response has status %d", a.id, a.status)
		}
	}
	if a.sealed != (a.status == http.StatusOK) { // The servers seal no failures but broken ones.
		t.Errorf("MIXED: request %s got status %d, with a seal: %v", a.id, a.status, a.sealed)
	}
	if a.status == http.StatusNotFound {
		t.Errorf("LOST: response to request %s of program %s has status 404: %s", a.id, a.program, a.answer)
	}
	if a.status == http.StatusOK && a.complete {
		if len(runs) == 0 {
			t.Errorf("MIXED: request %s has a complete response, but never ran", a.id)
		}
		if a.route == "turns" && a.answer != completeStream {
			t.Errorf("ORDER: request %s got response %q", a.id, a.answer)
		}
		if a.route != "turns" && a.route != "resume" && a.route != "sessions" && !strings.HasPrefix(a.answer, "done "+a.id+" ") {
			t.Errorf("MIXED: request %s got response %q", a.id, a.answer)
		}
	}
	for _, r := range runs {
		if (a.route == "turns" || a.route == "sessions") && r.Body != a.expectedInput {
			t.Errorf("UNASKED: request %s ran with input %q instead of %q", a.id, r.Body, a.expectedInput)
		}
	}
}
