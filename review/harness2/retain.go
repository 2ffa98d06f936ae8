package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["retain"] = playRetain }

// conversationTime is longer than the gateways wait before they remove old records for the first time.
const conversationTime = 340 * time.Second

// playRetain keeps a conversation going, with a turn every 20 s, until after the first removal of old records. Then all gateways are
// killed and start again, and the next turn follows. It takes six minutes, so that it is no case by the limits of the review.
func playRetain(b *bench) error {
	if err := b.startDeployment(2); err != nil {
		return err
	}
	previous := ""
	ask := func(i int) answer {
		q := turn(pathDraft, "conversation", previous, fmt.Sprintf("input %d;", i), 5*time.Second)
		a := ask(b.gateways[i%2].callers, q)
		b.record("TURN %d %s after %q: %v, stored turns: %d", i, q.id, previous, a, len(b.store.keys("redwinggauge/turns/")))
		if a.status == http.StatusOK && a.complete {
			previous = q.id
		}
		return a
	}
	turns := 0
	for ; time.Since(b.start) < conversationTime; turns++ {
		if a := ask(turns); !a.complete {
			return fmt.Errorf("turn %d failed: %v", turns, a)
		}
		time.Sleep(20 * time.Second)
	}
	if b.trouble {
		for _, g := range b.gateways {
			g.kill()
		}
		for _, g := range b.gateways {
			if err := g.start(); err != nil {
				return err
			}
		}
		if err := b.awaitReady(); err != nil {
			return err
		}
	}
	a := ask(turns)
	return b.judge(a.status == http.StatusNotFound, "turns of the conversation: %d, one every 20 s; stored at the end: %d; the next one is answered %d",
		turns, len(b.store.keys("redwinggauge/turns/")), a.status)
}
