package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The owners of journals are killed one after another, between turns and in the middle of answers, while 50 programs
// run. Each history is, byte for byte, what its caller was told.
func TestHistorySurvivesOwnerKills(t *testing.T) {
	t.Parallel()
	const programs, turns = 50, 8
	// A short ring and little memory, so that snapshots are written and histories read back all the time.
	c := startCluster(t, shape{entries: 3, engines: 3, entryYAML: "ring_slots: 16\nhistory_bytes: 4000\n"})
	stop := make(chan struct{})
	var killer sync.WaitGroup
	killer.Go(func() { c.killInTurn(stop) })
	var group sync.WaitGroup
	for p := range programs {
		group.Go(func() {
			k := c.newProgram("")
			var want []string
			for seq := 1; seq <= turns; seq++ {
				question := fmt.Sprintf("program %d question %d [[tokens=40]]", p, seq)
				answer := k.chatUntilDone(p, seq, question, 40)
				is.New(t).Equal(answer, expectedAnswer(t, want, question, 40))
				want = append(want, question, answer)
			}
			is.New(t).Equal(k.history(), want)
		})
	}
	group.Wait()
	close(stop)
	killer.Wait()
}

// killInTurn kills one entry after another and starts it again, until stop is closed.
func (c *cluster) killInTurn(stop <-chan struct{}) {
	const pause = 1500 * time.Millisecond
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		e := c.entries[i%len(c.entries)]
		e.kill()
		select {
		case <-stop:
		case <-time.After(pause):
		}
		e.launch()
	}
}
