package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// The case of programs whose budget is lost with a gateway: settings of duillin-serve, programs of 22 turns one after the other, which is the
// most on the sheet.
const (
	budgetPrograms = 45
	budgetTurns    = 22
	budgetTokens   = 2400
	mostOfATurn    = 135
	budgetPieces   = 33 // Events of a turn, of three tokens each.
	budgetPause    = 20 * time.Millisecond
	budgetThink    = 400 * time.Millisecond // At most, between two turns.
	hubKilledAfter = 6 * time.Second
	deniedAllowed  = 5
	deniedShare    = 1.0 / 500
)

// budgetTally counts the answers to turns.
type budgetTally struct {
	mu                        sync.Mutex
	requests, whole, programs int
	spent, denied             int // Answers 402 where the budget does not hold one more turn, and others.
}

func playLostBudgets(p *play) (bool, string) {
	p.start(upgradeConfiguration(), inputGateways, bounds{memoryMB: 134, drainMS: 2000, capacity: 0.304})
	var engines []*engine
	for i := range inputEngines {
		e := &engine{
			id: fmt.Sprintf("engine-%d", i), service: "llm", zone: fmt.Sprintf("z%d", i/enginesOfZone+1), slots: 64, pieces: budgetPieces, pause: budgetPause,
			put: p.store.Put,
		}
		e.onRun = func(id string) func() {
			p.record.add("%s: runs at %s", id, e.id)
			return func() {}
		}
		e.start("v1")
		engines = append(engines, e)
	}
	defer endAll(engines)
	p.awaitReady()
	time.Sleep(2 * time.Second)

	tally := &budgetTally{}
	var group sync.WaitGroup
	for i := range budgetPrograms {
		group.Go(func() { p.playProgram(i, tally) })
	}
	time.Sleep(hubKilledAfter)
	if p.trouble {
		p.hub().kill()
	}
	group.Wait()
	tally.mu.Lock()
	defer tally.mu.Unlock()
	allowed := deniedAllowed + int(deniedShare*float64(tally.requests))
	return tally.denied > allowed, fmt.Sprintf(
		"%d turns of %d programs sent, %d whole; %d answers 402 although the budget of %d tokens held one more turn, %d allowed; %d others; %d programs ended with their last turn",
		tally.requests, budgetPrograms, tally.whole, tally.denied, budgetTokens, allowed, tally.spent, tally.programs)
}

// playProgram sends the turns of a program. A turn that is broken off counts at its most.
func (p *play) playProgram(i int, tally *budgetTally) {
	c := &conversation{
		p: p, name: fmt.Sprintf("program-%d", i), home: i % inputGateways,
		plan: turnPlan{pieces: budgetPieces, maxOutput: mostOfATurn, budget: budgetTokens},
	}
	used := 0
	for n := range budgetTurns {
		time.Sleep(time.Duration(rand.Float64() * float64(budgetThink)))
		for range sendsOfATurn {
			ids, whole := c.send(fmt.Sprintf("input %d of %s", n, c.name))
			tally.mu.Lock()
			tally.requests += len(ids)
			if whole {
				tally.whole++
			}
			held := used+mostOfATurn <= budgetTokens
			if c.status == http.StatusPaymentRequired && held {
				tally.denied++
				p.record.add("%s: answered 402 after %d tokens at most of %d", ids[len(ids)-1], used, budgetTokens)
			} else if c.status == http.StatusPaymentRequired {
				tally.spent++
			}
			tally.mu.Unlock()
			switch {
			case c.status == http.StatusPaymentRequired:
				return // It ends the program.
			case whole:
				used += 3 * budgetPieces
			case c.status == http.StatusOK || c.status == 0:
				used += mostOfATurn
			}
			if whole {
				break
			}
			time.Sleep(retryPause)
		}
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.programs++
}

// hub returns the gateway that was last chosen as the hub, which writes to the store under conditions, by the logs.
func (p *play) hub() *gatewayProcess {
	hub, latest := p.gateways[0], ""
	for _, g := range p.gateways {
		data, err := os.ReadFile(g.log)
		must(err)
		for line := range bytes.SplitSeq(data, []byte("\n")) {
			var chosen struct{ Time, Msg, Hub string }
			if json.Unmarshal(line, &chosen) != nil || chosen.Msg != "hub chosen" || chosen.Time < latest {
				continue
			}
			for _, candidate := range p.gateways {
				if candidate.name == chosen.Hub {
					hub, latest = candidate, chosen.Time
				}
			}
		}
	}
	return hub
}
