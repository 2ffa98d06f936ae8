package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["conversation"] = playConversation }

const (
	conversationTurns = 20
	turnTries         = 6 // An attempt and its retry, for the turn and for each of the two times that it is sent again.
)

// playConversation keeps a conversation with long inputs going, beside programs that begin.
func playConversation(b *bench) error {
	if err := b.startDeployment(2); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // contact_ms
	size := 100 << 10
	if b.trouble {
		size = 900 << 10
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	first, served := 0, 0
	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				q := turn(pathDraft, fmt.Sprintf("first%d-%d", i, n), "", "input", 5*time.Second)
				a := ask(b.gateways[(i+n)%2].callers, q)
				b.record("FIRST %s %v", q.id, a)
				mu.Lock()
				first++
				if a.status == http.StatusOK && a.complete {
					served++
				}
				mu.Unlock()
			}
		})
	}
	text, previous, turns := strings.Repeat("a long input ", size/13), "", 0
	var failed []string
	var statuses []int
	for turns < conversationTurns && len(failed) < turnTries {
		q := turn(pathDraft, "conversation", previous, text, 5*time.Second)
		a := ask(b.gateways[(turns+len(failed))%2].callers, q)
		b.record("TURN %d %s %v, memory %.0f %.0f MB", turns, q.id, a, b.gateways[0].anonymousMB(), b.gateways[1].anonymousMB())
		if a.status == http.StatusOK && a.complete {
			previous, failed, statuses = q.id, nil, nil
			turns++
			continue
		}
		failed, statuses = append(failed, q.id), append(statuses, a.status)
		time.Sleep(400 * time.Millisecond)
	}
	close(done)
	group.Wait()
	runs, reached := b.runs(), 0
	for _, id := range failed {
		reached += runs[id]
	}
	return b.judge(len(failed) >= 5 && reached == 0 && 10*served >= 9*first,
		"turns of the conversation that were served: %d; tries of the next one: %d, answered %v, that reached a worker: %d; first turns of other programs: %d, served: %d",
		turns, len(failed), statuses, reached, first, served)
}
