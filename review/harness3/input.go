package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// The case of conversations that continue with the same words while the engines of one zone crash: settings of duillin-serve, three zones
// with one front machine and four engines each, on the route that keeps what was said.
const (
	inputGateways   = 3
	inputEngines    = 12
	enginesOfZone   = inputEngines / inputGateways
	turnPieces      = 20
	turnPause       = 100 * time.Millisecond
	turnBudget      = 5 * time.Second
	commonInput     = "yes, go on"
	crashLength     = 5 * time.Second // Until the engines of the zone are back.
	calmTime        = 4 * time.Second // After that; contact_ms is 3 s.
	laterPrograms   = 24
	fewestTries     = 5
	retryPause      = 200 * time.Millisecond // Before the retry of an attempt.
	sendsOfATurn    = 3                      // A turn that fails is sent again twice.
	firstTurnsReach = 0.9
)

// turnTally records which turns reached an engine.
type turnTally struct {
	mu      sync.Mutex
	reached map[string]string // Engine by id of the request.
	running map[string]string // Of those that run now.
}

func (t *turnTally) begin(engine, id string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached[id], t.running[id] = engine, engine
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.running, id)
	}
}

// conversation is one program.
type conversation struct {
	p        *play
	tally    *turnTally
	name     string
	home     int // Machine of its zone. Retries go to others.
	previous string
	sent     int
	status   int // Of the latest attempt.
	plan     turnPlan
}

// turnPlan says what the turns of a program are like.
type turnPlan struct {
	pieces, maxOutput, budget int // Events of a whole answer; the most tokens of a turn, and of the program.
}

// usualTurns are the turns of the case of the common input.
var usualTurns = turnPlan{pieces: turnPieces, maxOutput: 3 * turnPieces, budget: 100_000}

// send makes one attempt of a turn, and a second one at another machine if it is refused. It returns the ids of the attempts and whether
// the turn was answered whole.
func (c *conversation) send(input string) (ids []string, whole bool) {
	until := time.Now().Add(turnBudget)
	for try := range 2 {
		c.sent++
		id := fmt.Sprintf("%s-%d", c.name, c.sent)
		ids = append(ids, id)
		gateway := (c.home + try) % inputGateways
		status, retryAfter, complete := c.attempt(gateway, id, input, time.Until(until))
		c.status = status
		c.p.record.add("%s: turn %q after %q at front-%d: %d, whole %v", id, input, c.previous, gateway+1, status, complete)
		if complete {
			c.previous = id
			return ids, true
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || retryAfter > time.Until(until)/3 {
			return ids, false
		}
		time.Sleep(max(retryAfter, retryPause))
	}
	return ids, false
}

// turn sends a turn, and again after 0.1 to 0.4 s if it fails. It returns the ids of all attempts.
func (c *conversation) turn(input string) (ids []string, whole bool) {
	for n := range sendsOfATurn {
		if n > 0 {
			time.Sleep(100*time.Millisecond + time.Duration(rand.Float64()*float64(300*time.Millisecond)))
		}
		sent, done := c.send(input)
		ids = append(ids, sent...)
		if done {
			return ids, true
		}
	}
	return ids, false
}

func (c *conversation) attempt(gateway int, id, input string, budget time.Duration) (status int, retryAfter time.Duration, whole bool) {
	call := standin.Call{
		ID: id, Address: c.p.gateways[gateway].callers, Route: "turns", Body: input, MaxOutput: c.plan.maxOutput, Budget: c.plan.budget, Program: c.name,
		Previous: c.previous, WaitMS: int(budget.Milliseconds()),
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := call.Request(ctx)
	must(err)
	req.Header.Set("Finish-Ms", "60000")
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:60,%x:40", "shared by "+c.name, c.name))
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	events, scanner := 0, bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			events++
		}
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), resp.StatusCode == http.StatusOK && scanner.Err() == nil && events == c.plan.pieces
}

func playCommonInput(p *play) (bool, string) {
	p.start(upgradeConfiguration(), inputGateways, bounds{memoryMB: 134, drainMS: 2000, capacity: 0.304})
	tally := &turnTally{reached: make(map[string]string), running: make(map[string]string)}
	var engines []*engine
	for i := range inputEngines {
		e := &engine{
			id: fmt.Sprintf("engine-%d", i), service: "llm", zone: fmt.Sprintf("z%d", i/enginesOfZone+1), slots: 64, pieces: turnPieces, pause: turnPause,
			put: p.store.Put,
		}
		e.onRun = func(id string) func() {
			p.record.add("%s: runs at %s", id, e.id)
			return tally.begin(e.id, id)
		}
		e.start("v1")
		engines = append(engines, e)
	}
	defer endAll(engines)
	p.awaitReady()
	time.Sleep(time.Second)

	// Four programs of the first zone, whose second turns run at the same time.
	var group sync.WaitGroup
	for i := range enginesOfZone {
		c := &conversation{p: p, tally: tally, name: fmt.Sprintf("early-%d", i), home: 0, plan: usualTurns}
		group.Go(func() {
			if _, whole := c.turn(fmt.Sprintf("question %d", i)); whole {
				c.turn(commonInput)
			}
		})
	}
	time.Sleep(turnPieces*turnPause + turnPieces*turnPause/2)
	tally.mu.Lock()
	p.record.add("running: %v", tally.running)
	tally.mu.Unlock()
	if p.trouble {
		for _, e := range engines[:enginesOfZone] {
			p.record.add("%s crashes", e.id)
			e.exit()
		}
	}
	time.Sleep(crashLength)
	if p.trouble {
		for _, e := range engines[:enginesOfZone] {
			e.start("v1")
			p.record.add("%s is back", e.id)
		}
	}
	group.Wait()
	time.Sleep(calmTime)

	// Programs of all zones, which had no part in that. Every other one continues with words of its own.
	p.record.add("other programs begin")
	later := &laterTally{}
	for i := range laterPrograms {
		c := &conversation{p: p, tally: tally, name: fmt.Sprintf("later-%d", i), home: i % inputGateways, plan: usualTurns}
		input := commonInput
		if i%2 == 1 {
			input = fmt.Sprintf("and what about %d", i)
		}
		group.Go(func() { c.play(fmt.Sprintf("another question %d", i), input, later) })
	}
	group.Wait()
	return later.judge()
}

// laterTally counts turns of the programs that begin later.
type laterTally struct {
	mu                       sync.Mutex
	first, firstReached      int
	common, commonLost       int // Next turns with the common input, and those of them that reached no engine.
	ownWords, ownWordsServed int
}

// play sends the two turns of a program.
func (c *conversation) play(first, next string, later *laterTally) {
	ids, whole := c.turn(first)
	reached := c.tally.anyReached(ids)
	later.mu.Lock()
	later.first++
	if reached {
		later.firstReached++
	}
	later.mu.Unlock()
	if !whole {
		return
	}
	ids, whole = c.turn(next)
	reached = c.tally.anyReached(ids)
	later.mu.Lock()
	defer later.mu.Unlock()
	if next != commonInput {
		later.ownWords++
		if whole {
			later.ownWordsServed++
		}
		return
	}
	later.common++
	if !reached && len(ids) >= fewestTries {
		later.commonLost++
	}
}

// judge applies the rule on turns that reach no engine.
func (t *laterTally) judge() (bool, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commonLost > 0 && float64(t.firstReached) >= firstTurnsReach*float64(t.first), fmt.Sprintf(
		"%d of %d first turns of other programs reached an engine; of %d next turns that say %q, %d reached none in %d tries or more; of %d with other words, %d were served",
		t.firstReached, t.first, t.common, commonInput, t.commonLost, fewestTries, t.ownWords, t.ownWordsServed)
}

// anyReached reports whether one of the attempts reached an engine.
func (t *turnTally) anyReached(ids []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if t.reached[id] != "" {
			return true
		}
	}
	return false
}
