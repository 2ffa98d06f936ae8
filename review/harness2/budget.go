package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget"] = playBudget }

const (
	budgetTokens = 300
	turnTokens   = 60
	stride       = 3
)

// playBudget sends the turns of programs that loop through all gateways at the same time, while gateways are killed and frozen and
// answers of the store are lost, and counts the tokens that each program gets.
func playBudget(b *bench) error {
	if err := b.addWorkers(serviceModel, true, 4); err != nil {
		return err
	}
	for _, w := range b.workers {
		w.events, w.pause = turnTokens/stride, 8*time.Millisecond
	}
	b.putConfig(1, nil)
	for range 3 {
		if _, err := b.addGateway(); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	stop := time.Now().Add(90 * time.Second)
	var mu sync.Mutex
	tokens, spent := make(map[string]int), make(map[string]int)
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				program := fmt.Sprintf("p%d-%d", i, n)
				var lines sync.WaitGroup
				for range 3 {
					lines.Go(func() {
						for range 6 {
							q := turn(pathPlain, program, "", "input", 5*time.Second)
							for k, line := range q.header {
								if strings.HasPrefix(line, "Token-Budget") {
									q.header[k] = fmt.Sprintf("Token-Budget: %d", budgetTokens)
								}
							}
							cut := 0
							if rand.IntN(5) == 0 {
								cut = 1 + rand.IntN(12)
							}
							events, a := readStream(b.gateways[rand.IntN(3)].callers, q, cut)
							mu.Lock()
							tokens[program] += stride * len(events)
							if a.status == http.StatusPaymentRequired {
								spent[program]++
							}
							mu.Unlock()
						}
					})
				}
				lines.Wait()
			}
		})
	}
	for n := 0; b.trouble && time.Now().Before(stop.Add(-5*time.Second)); n++ {
		g := b.gateways[n%3]
		switch rand.IntN(3) {
		case 0:
			g.kill()
			time.Sleep(200 * time.Millisecond)
			if err := g.start(); err != nil {
				return err
			}
		case 1:
			g.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			g.signal(syscall.SIGCONT)
		case 2:
			b.store.setLoss(func(txn) loss { return loss(rand.IntN(6) / 4) })
			time.Sleep(1500 * time.Millisecond)
			b.store.setLoss(nil)
		}
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
	}
	group.Wait()
	over, most := 0, 0
	for program, n := range tokens {
		most = max(most, n)
		if n > budgetTokens+turnTokens {
			over++
			b.record("OVER %s got %d tokens", program, n)
		}
	}
	return b.judge(over > 0, "programs: %d, told that their budget is spent: %d, most tokens of one: %d of %d + %d, over that: %d",
		len(tokens), len(spent), most, budgetTokens, turnTokens, over)
}
