package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["oversize"] = playOversize }

const (
	draftTimeout = 5 * time.Second // timeout_ms of the route.
	patience     = 6 * time.Second // The requester waits longer, so that the route's limit applies.
)

// outcomes counts what became of the turns of one kind.
type outcomes struct {
	sent, whole int
	unanswered  int // At timeout_ms.
	without     int // Of these, without a final answer.
}

// playOversize sends turns whose input is below max_body_bytes and above value_bytes of the store, beside small ones, on kept channels.
func playOversize(b *bench) error {
	if err := b.startDeployment(2); err != nil {
		return err
	}
	size := 900 << 10
	if b.trouble {
		size = 1200 << 10
	}
	stop := time.Now().Add(30 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]*outcomes{"LONG": {}, "SMALL": {}}
	var cut []string
	requester := func(kind string, number int, pause time.Duration, next func(n int, previous string) request) {
		var c *channel
		defer func() {
			if c != nil {
				c.close()
			}
		}()
		previous := ""
		for n := 0; time.Now().Before(stop); n++ {
			if c == nil {
				var err error
				if c, err = dial(b.gateways[number%2].callers); err != nil {
					b.record("no channel: %v", err)
					return
				}
				c.do(request{method: http.MethodGet, path: pathLookup, id: newID(), wait: 2 * time.Second}) // The channel is kept from here on.
			}
			q := next(n, previous)
			a, reusable := c.do(q)
			b.record("%s %s %v", kind, q.id, a)
			mu.Lock()
			o := counts[kind]
			o.sent++
			if a.complete {
				o.whole++
			} else {
				cut = append(cut, q.id)
			}
			if a.took >= draftTimeout {
				o.unanswered++
				if !a.complete {
					o.without++
				}
			}
			mu.Unlock()
			if a.complete && a.status == http.StatusOK {
				previous = q.id
			}
			if !reusable {
				c.close()
				c = nil
			}
			time.Sleep(pause)
		}
	}
	text := strings.Repeat("a long input ", size/13)
	for i := range 3 {
		group.Go(func() {
			requester("LONG", i, 500*time.Millisecond, func(n int, _ string) request {
				return turn(pathDraft, fmt.Sprintf("long%d-%d", i, n), "", text, patience)
			})
		})
	}
	for i := range 12 {
		group.Go(func() {
			requester("SMALL", i, 100*time.Millisecond, func(n int, previous string) request {
				return turn(pathDraft, fmt.Sprintf("small%d", i), previous, fmt.Sprintf("input %d;", n), patience)
			})
		})
	}
	group.Wait()
	runs, lost := b.runs(), 0
	for _, id := range cut {
		lost += min(runs[id], 1)
	}
	long, small := counts["LONG"], counts["SMALL"]
	unanswered, without := long.unanswered+small.unanswered, long.without+small.without
	return b.judge(without >= 8 && 4*without > unanswered,
		"long turns: %d, whole: %d; small turns: %d, whole: %d; run by a worker and without a whole answer: %d; "+
			"not answered at timeout_ms: %d, of these without a final answer 0.5 s later: %d; writes refused by the store: %d",
		long.sent, long.whole, small.sent, small.whole, lost, unanswered, without, b.store.refusals())
}
