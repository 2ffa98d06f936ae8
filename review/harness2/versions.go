package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

// playVersions cuts one of seven workers off from the store. It crashes behind the cut, starts again under its id as another version, gets
// new streams, and crashes once more.
func playVersions(b *bench) error {
	if err := b.addWorkers(serviceModel, true, 7); err != nil {
		return err
	}
	for _, w := range b.workers {
		w.events, w.pause = 20, 50*time.Millisecond
	}
	b.putConfig(1, nil)
	for range 2 {
		if _, err := b.addGateway(); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	w := b.workers[0]
	if b.trouble {
		w.setCut(true)
		w.crash()
		b.record("WORKER %s is cut off from the store and crashes", w.id)
		time.Sleep(200 * time.Millisecond)
		if err := w.restart("v2"); err != nil {
			return err
		}
		b.record("WORKER %s has started again as version v2", w.id)
	}
	var mu sync.Mutex
	all, whole, mixed := 0, 0, 0
	stop := time.Now().Add(10 * time.Second)
	var group sync.WaitGroup
	for i := range 45 {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				q := turn(pathPlain, fmt.Sprintf("p%d-%d", i, n), "", "input", 5*time.Second)
				a := ask(b.gateways[(i+n)%2].callers, q)
				isMixed := strings.Contains(a.body, " v1 ") && strings.Contains(a.body, " v2 ")
				mu.Lock()
				all++
				if a.complete {
					whole++
				}
				if isMixed {
					mixed++
				}
				mu.Unlock()
				b.record("STREAM %s mixed=%v %v", q.id, isMixed, a)
				if isMixed {
					b.record("EVENTS %s", strings.ReplaceAll(a.body, "\n", "|"))
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	if b.trouble {
		time.Sleep(1500 * time.Millisecond)
		w.crash()
		b.record("WORKER %s crashes", w.id)
		time.Sleep(1300 * time.Millisecond)
		if err := w.restart("v2"); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		w.setCut(false)
		b.record("WORKER %s has started again and reaches the store", w.id)
	}
	group.Wait()
	return b.judge(mixed > 2, "streams sent: %d, whole: %d, with events of two versions: %d", all, whole, mixed)
}
