package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// The case of servers that start again under their ids with another software version, one after the other, while streams run that their
// callers may take up: settings of duillin-serve, with its time budget of 5 s for a stream.
const (
	upgradeGateways = 3
	upgradeEngines  = 12
	upgraded        = 6   // Engines that start again, half of them.
	upgradeCallers  = 360 // 30 for each engine, which has 64 slots.
	streamPieces    = 20
	streamPause     = 180 * time.Millisecond // The route allows 250 ms.
	streamBudget    = 5 * time.Second
	drainTime       = 2 * time.Second         // drain_ms.
	littleLonger    = 300 * time.Millisecond  // For which a server goes on serving after it.
	restartTime     = 150 * time.Millisecond  // Until it is back.
	maxThinkTime    = 1500 * time.Millisecond // Of a caller before its next stream.
	takeUpDelay     = 300 * time.Millisecond  // Until the caller of a broken stream is back.
	betweenUpgrades = 3500 * time.Millisecond
	fewestTakeUps   = 12
)

// upgradeTally counts streams.
type upgradeTally struct {
	mu                      sync.Mutex
	begun, notBegun         int // New streams.
	broken, takenUp, goesOn int
	ofTwoVersions, whole    int
	refusals                map[int]int // Statuses of take-ups that do not go on.
}

// upgradeConfiguration has one route of streams that may be taken up.
func upgradeConfiguration() map[string]any {
	config := standin.Configuration(1)
	for _, r := range config["routes"].([]any) {
		route := r.(map[string]any)
		if route["kind"] == "stream" {
			route["timeout_ms"], route["gap_target_ms"] = streamBudget.Milliseconds(), 250
		}
	}
	for _, s := range config["services"].([]any) {
		service := s.(map[string]any)
		if service["name"] == "llm" {
			service["max_conns"] = 370
			service["engine"] = map[string]any{"slots": 64, "kv_capacity": 203661, "stride": 3}
		}
	}
	return config
}

func playUpgradeInPlace(p *play) (bool, string) {
	engines := p.startEngines()
	defer endAll(engines)
	tally, stop := p.startCallers(upgradeCallers)
	time.Sleep(streamBudget)
	next := "v1"
	if p.trouble {
		next = "v2"
	}
	for _, e := range engines[:upgraded] {
		p.record.add("%s drains", e.id)
		e.drain()
		time.Sleep(drainTime + littleLonger)
		p.record.add("%s ends", e.id)
		e.exit()
		time.Sleep(restartTime / 3)
		p.store.Remove("servers/" + e.id)
		time.Sleep(restartTime - restartTime/3)
		e.start(next)
		p.record.add("%s has started again as %s", e.id, next)
		time.Sleep(betweenUpgrades - drainTime - littleLonger - restartTime)
	}
	time.Sleep(streamBudget)
	stop()
	return tally.judgeTakeUps(p.record)
}

// startEngines starts a deployment with engines of the version v1.
func (p *play) startEngines() []*engine {
	p.start(upgradeConfiguration(), upgradeGateways, bounds{memoryMB: 134, drainMS: int(drainTime.Milliseconds()), capacity: 0.304})
	var engines []*engine
	for i := range upgradeEngines {
		e := &engine{
			id: fmt.Sprintf("engine-%d", i), service: "llm", zone: fmt.Sprintf("z%d", i%3+1), slots: 64, pieces: streamPieces, pause: streamPause,
			put: p.store.Put,
		}
		e.onRun = func(id string) func() {
			p.record.add("%s: runs at %s", id, e.id)
			return func() {}
		}
		e.start("v1")
		engines = append(engines, e)
	}
	p.awaitReady()
	time.Sleep(time.Second)
	return engines
}

func endAll(engines []*engine) {
	for _, e := range engines {
		e.exit()
	}
}

// startCallers starts the callers of streams. stop ends them and waits for their last streams.
func (p *play) startCallers(number int) (tally *upgradeTally, stop func()) {
	tally = &upgradeTally{refusals: make(map[int]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range number {
		group.Go(func() { p.callStreams(ctx, i, tally) })
	}
	return tally, func() {
		cancel()
		group.Wait()
	}
}

// judgeTakeUps applies the rule on streams that are taken up.
func (t *upgradeTally) judgeTakeUps(r *record) (bool, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.add("answers to take-ups that do not go on: %v", t.refusals)
	begin := float64(t.begun) / float64(max(t.begun+t.notBegun, 1))
	goOn := float64(t.goesOn) / float64(max(t.takenUp, 1))
	broken := t.takenUp >= fewestTakeUps && goOn < begin/2
	return broken, t.summary()
}

// summary returns the counts as a sentence. The caller holds mu.
func (t *upgradeTally) summary() string {
	return fmt.Sprintf(
		"%d of %d new streams began; %d broke off; of %d that their callers took up %d went on; %d streams hold events of two versions, %d were whole",
		t.begun, t.begun+t.notBegun, t.broken, t.takenUp, t.goesOn, t.ofTwoVersions, t.whole)
}

// heldStream is what the caller of a stream has of it.
type heldStream struct {
	first    string // Id of the attempt that brought the first event.
	events   int
	versions map[string]bool
	order    []string // Versions and servers that sent the events.
}

// callStreams asks for one stream after the other. A stream that breaks off is taken up once, at another machine.
func (p *play) callStreams(ctx context.Context, caller int, tally *upgradeTally) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(rand.Float64()*float64(maxThinkTime)))
		program := fmt.Sprintf("program-%d", caller)
		gateway, id, began := rand.IntN(upgradeGateways), fmt.Sprintf("c%d-%d", caller, n), time.Now()
		held := &heldStream{first: id, versions: make(map[string]bool)}
		status, whole := p.readStream(gateway, id, program, streamBudget, held)
		p.record.add("%s: sent to front-%d; answered %d, has %d events, whole %v", id, gateway+1, status, held.events, whole)
		tally.mu.Lock()
		if held.events > 0 {
			tally.begun++
		} else {
			tally.notBegun++
		}
		brokeOff := held.events > 0 && !whole
		if brokeOff {
			tally.broken++
		}
		tally.mu.Unlock()
		if status != http.StatusOK {
			sleep(ctx, takeUpDelay)
			continue
		}
		left := streamBudget - time.Since(began) - takeUpDelay
		if brokeOff && left > 0 {
			p.record.add("%s: broke off after event %d", id, held.events)
			time.Sleep(takeUpDelay)
			had := held.events
			again := id + "-again"
			status, whole = p.readStream((gateway+1)%upgradeGateways, again, program, left, held)
			p.record.add("%s: takes up %s after event %d; answered %d, has %d events, whole %v", again, id, had, status, held.events, whole)
			tally.mu.Lock()
			tally.takenUp++
			if held.events > had || whole {
				tally.goesOn++
			} else {
				tally.refusals[status]++
			}
			tally.mu.Unlock()
		}
		tally.mu.Lock()
		if len(held.versions) > 1 {
			tally.ofTwoVersions++
			p.record.add("%s: holds events of %v", id, held.order)
		}
		if whole {
			tally.whole++
		}
		tally.mu.Unlock()
	}
}

// readStream asks a gateway for a stream, or for the rest of one, and reads it. It returns the status, 0 without an answer, and whether
// the answer was whole.
func (p *play) readStream(gateway int, id, program string, budget time.Duration, held *heldStream) (status int, whole bool) {
	call := standin.Call{
		ID: id, Address: p.gateways[gateway].callers, Route: "resume", Body: "prompt", MaxOutput: 3 * streamPieces, Budget: 1_000_000, Program: program,
		WaitMS: int(budget.Milliseconds()),
	}
	if held.events > 0 {
		call.Resumes, call.LastEvent = held.first, fmt.Sprint(held.events)
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := call.Request(ctx)
	must(err)
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			held.versions[version] = true
			if n := len(held.order); n == 0 || held.order[n-1] != data {
				held.order = append(held.order, data)
			}
		}
		if scanner.Text() == "" && resp.StatusCode == http.StatusOK {
			held.events++
		}
	}
	return resp.StatusCode, resp.StatusCode == http.StatusOK && scanner.Err() == nil && held.events == streamPieces
}
