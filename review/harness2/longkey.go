package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["longkey"] = playLongKey }

// longIDBytes makes the key under which the gateways store something of the request longer than a key of the store may be. It is far below
// max_header_bytes.
const longIDBytes = 208

// playLongKey sends streams whose ids are long from six requesters, beside the turns of other programs.
func playLongKey(b *bench) error {
	if err := b.startDeployment(2); err != nil {
		return err
	}
	stop := time.Now().Add(40 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	long := &outcomes{}
	small := &outcomes{}
	count := func(o *outcomes, a answer) {
		mu.Lock()
		defer mu.Unlock()
		o.sent++
		if a.complete && a.status == http.StatusOK {
			o.whole++
		}
		if a.took >= draftTimeout {
			o.unanswered++
			if !a.complete {
				o.without++
			}
		}
	}
	for i := range 6 {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				q := turn(pathPlain, fmt.Sprintf("other%d-%d", i, n), "", "input", patience)
				if b.trouble {
					q.id = strings.Repeat("a1b2c3d4", (longIDBytes-len(q.id))/8) + q.id
				}
				a := ask(b.gateways[(i+n)%2].callers, q)
				count(long, a)
				b.record("OTHER %s %v", q.id, a)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := range 40 {
		group.Go(func() {
			previous := ""
			for n := 0; time.Now().Before(stop); n++ {
				q := turn(pathDraft, fmt.Sprintf("p%d", i), previous, fmt.Sprintf("input %d;", n), patience)
				a := ask(b.gateways[(i+n)%2].callers, q)
				count(small, a)
				b.record("TURN %s %v", q.id, a)
				if a.complete && a.status == http.StatusOK {
					previous = q.id
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return b.judge(small.without >= 8 && 4*small.without > small.unanswered,
		"streams of the six requesters: %d, whole: %d; turns of the others: %d, whole: %d; turns not answered at timeout_ms: %d, of these without a final answer 0.5 s later: %d; "+
			"writes refused by the store: %d", long.sent, long.whole, small.sent, small.whole, small.unanswered, small.without, b.store.refusals())
}
