package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against lost or changed history across takeovers: entries are killed one after another, between and during calls,
// while 50 programs run. Each history must be identical to the answers that the caller received.
func TestHistorySurvivesOwnerKills(t *testing.T) {
	t.Parallel()
	const programs, turns = 50, 8
	// With a short ring and little memory, snapshots are written and histories are read back all the time.
	c := startCluster(t, clusterOptions{entries: 3, engines: 3, entryYAML: "ring_slots: 16\nhistory_bytes: 4000\n"})
	stop := make(chan struct{})
	var killer sync.WaitGroup
	killer.Go(func() { c.killEntriesInTurn(stop) })
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

// killEntriesInTurn kills and restarts one entry after another until stop is closed.
func (c *cluster) killEntriesInTurn(stop <-chan struct{}) {
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
