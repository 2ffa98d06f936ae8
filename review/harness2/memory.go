package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	longTurnBytes  = 900 << 10 // Below max_body_bytes, and with its events below value_bytes.
	usualLong      = 10        // Requesters with long turns.
	burstFactor    = 2.1       // x of 'burst' in the site file,
	burstTime      = 4 * time.Second
	restartDelay   = 500 * time.Millisecond
	filingChannels = 30
)

// playMemory sends long turns, more of them during a burst, beside requests that may run only once. The platform ends a process that
// uses more memory than it may.
func playMemory(b *bench) error {
	if err := b.startDeployment(2); err != nil {
		return err
	}
	for _, w := range b.workers {
		if !w.engine {
			w.pause = 250 * time.Millisecond
		}
	}
	var kills atomic.Int64
	stop := time.Now().Add(22 * time.Second)
	var group sync.WaitGroup
	for _, g := range b.gateways {
		group.Go(func() {
			top := 0.0
			for time.Now().Before(stop) {
				used := g.anonymousMB()
				top = max(top, used)
				if used > memoryMB {
					g.kill()
					kills.Add(1)
					b.record("PLATFORM %s used %.1f MB of %d and is killed", g.id, used, memoryMB)
					time.Sleep(restartDelay)
					if err := g.start(); err != nil {
						b.record("PLATFORM %s not restarted: %v", g.id, err)
						return
					}
				}
				time.Sleep(5 * time.Millisecond)
			}
			b.record("PLATFORM %s used %.1f MB at most", g.id, top)
		})
	}
	long := func(i int, until time.Time) {
		text := strings.Repeat("a long input ", longTurnBytes/13)
		for n := 0; time.Now().Before(until); n++ {
			q := turn(pathDraft, fmt.Sprintf("long%d-%d", i, n), "", text, 5*time.Second)
			a := ask(b.gateways[(i+n)%2].callers, q)
			b.record("TURN %s %v", q.id, a)
			if a.status != http.StatusOK {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	for i := range usualLong {
		group.Go(func() { long(i, stop) })
	}
	if b.trouble {
		for i := range int(usualLong*burstFactor) - usualLong {
			group.Go(func() {
				time.Sleep(6 * time.Second)
				long(usualLong+i, time.Now().Add(burstTime))
			})
		}
	}
	var mu sync.Mutex
	var lost []string // Requests on kept channels that ended without any answer.
	asked, answered := 0, 0
	for i := range filingChannels {
		group.Go(func() {
			var c *channel
			kept := false
			for n := i; time.Now().Before(stop); n++ {
				if c == nil {
					var err error
					if c, err = dial(b.gateways[n%2].callers); err != nil {
						c = nil
						time.Sleep(100 * time.Millisecond)
						continue
					}
					kept = false
				}
				q := request{method: http.MethodPost, path: pathFile, id: newID(), body: strings.Repeat("b", 600), wait: 6 * time.Second}
				a, reusable := c.do(q)
				mu.Lock()
				asked++
				if a.complete {
					answered++
				} else if kept && a.status == 0 {
					lost = append(lost, q.id)
				}
				mu.Unlock()
				if !a.complete || a.status != http.StatusOK {
					b.record("FILE %s kept=%v %v", q.id, kept, a)
				}
				if kept = reusable; !reusable {
					c.close()
					c = nil
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	runs, lostRuns := b.runs(), 0
	for _, id := range lost {
		b.record("LOST %s was run %d times and has no answer", id, runs[id])
		lostRuns += min(runs[id], 1)
	}
	return b.judge(lostRuns > 3, "killed by the platform: %d; filings sent: %d, answered: %d, passed on to a worker from a kept channel and closed without an answer: %d",
		kills.Load(), asked, answered, lostRuns)
}
