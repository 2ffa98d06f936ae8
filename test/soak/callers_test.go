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
	tokensOfEvent = 5
	maxOutput     = 15
	programBudget = 120
)

// observed is what one attempt of a caller saw.
type observed struct {
	id      string
	program string
	route   string
	body    string // Input.
	chain   string // What a worker must get.
	status  int
	whole   bool // The answer ended as complete.
	answer  string
}

// record collects what all callers saw.
type record struct {
	mu   sync.Mutex
	seen []observed
}

func (r *record) add(o observed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, o)
}

// caller issues programs on kept connections to gateways drawn by lot until ctx ends.
type caller struct {
	number   int
	random   *rand.Rand
	gateways []*gateway
	clients  []*http.Client // One for each gateway: connections stay open until the process is gone.
	record   *record
	calls    int
}

func (c *caller) run(ctx context.Context) {
	for program := 0; ctx.Err() == nil; program++ {
		c.program(ctx, fmt.Sprintf("p%d-%d", c.number, program))
	}
}

// program issues turns that continue each other, with calls of services between them.
func (c *caller) program(ctx context.Context, name string) {
	previous, chain := "", ""
	for turn := range 2 + c.random.IntN(4) {
		input := fmt.Sprintf("%s/%d;", name, turn)
		o, ok := c.turn(ctx, name, previous, chain, input)
		if !ok {
			return
		}
		previous, chain = o.id, chain+input+"e1\ne2\ne3\n"
		for range c.random.IntN(3) {
			if c.random.IntN(2) == 0 {
				c.try(ctx, observed{program: name, route: "order", body: "x"}, "")
			} else {
				c.try(ctx, observed{program: name, route: "lookup"}, "")
			}
		}
	}
}

// turn sends a turn until it is answered whole, at most four times.
func (c *caller) turn(ctx context.Context, program, previous, chain, input string) (observed, bool) {
	for range 4 {
		o := c.try(ctx, observed{program: program, route: "turns", body: input, chain: chain + input}, previous)
		if o.status == http.StatusOK && o.whole {
			return o, true
		}
		if o.status == http.StatusPaymentRequired || ctx.Err() != nil {
			return o, false
		}
		time.Sleep(time.Duration(50+c.random.IntN(300)) * time.Millisecond)
	}
	return observed{}, false
}

// try sends one attempt with an id of its own.
func (c *caller) try(ctx context.Context, o observed, previous string) observed {
	c.calls++
	o.id = fmt.Sprintf("r%d-%d", c.number, c.calls)
	i := c.random.IntN(len(c.gateways))
	call := standin.Call{
		ID: o.id, Address: c.gateways[i].callers, Route: o.route, Body: o.body, Program: o.program, Previous: previous,
	}
	if o.route == "turns" {
		call.Budget, call.MaxOutput = programBudget, maxOutput
	}
	req, err := call.Request(ctx)
	if err != nil {
		return o
	}
	// A Transport sends a request again by itself if a kept connection had ended; GetBody makes that possible for bodies.
	req.GetBody = nil
	resp, err := c.clients[i].Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.answer, o.whole = resp.StatusCode, string(data), err == nil
	}
	c.record.add(o)
	return o
}

const wholeStream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

// check compares what callers saw with what backend servers ran.
func check(t *testing.T, seen []observed, servers []*standin.Server) {
	t.Helper()
	runs := make(map[string][]standin.Run)
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	known := make(map[string]bool)
	acknowledged := make(map[string]bool)
	handed := make(map[string]int)
	for _, o := range seen {
		known[o.id] = true
		checkOne(t, o, runs[o.id])
		if o.route == "turns" && o.status == http.StatusOK {
			handed[o.program] += strings.Count(o.answer, "data:") * tokensOfEvent
			acknowledged[o.id] = o.whole
		}
	}
	for id := range runs {
		if !known[id] && id != "ready" {
			t.Errorf("UNASKED: %s ran and nobody has sent it", id)
		}
	}
	for program, tokens := range handed {
		if tokens > programBudget+maxOutput {
			t.Errorf("BUDGET: program %s was handed %d tokens of %d", program, tokens, programBudget)
		}
	}
}

func checkOne(t *testing.T, o observed, runs []standin.Run) {
	t.Helper()
	if o.route != "lookup" && len(runs) > 1 {
		t.Errorf("TWICE: %s of %s ran %d times", o.id, o.route, len(runs))
	}
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
		if len(runs) > 0 && o.route != "lookup" {
			t.Errorf("REFUSED: %s was answered %d and has run", o.id, o.status)
		}
	}
	if o.status == http.StatusNotFound {
		t.Errorf("LOST: %s of %s was answered 404: %s", o.id, o.program, o.answer)
	}
	if o.status == http.StatusOK && o.whole {
		if len(runs) == 0 {
			t.Errorf("MIXED: %s was answered and never ran", o.id)
		}
		if o.route == "turns" && o.answer != wholeStream {
			t.Errorf("ORDER: %s got %q", o.id, o.answer)
		}
		if o.route != "turns" && !strings.HasPrefix(o.answer, "done "+o.id+" ") {
			t.Errorf("MIXED: %s got %q", o.id, o.answer)
		}
	}
	for _, r := range runs {
		if o.route == "turns" && r.Body != o.chain {
			t.Errorf("UNASKED: %s ran with %q in place of %q", o.id, r.Body, o.chain)
		}
	}
}
