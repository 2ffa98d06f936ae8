package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Guards against calls that run out of order: the calls of a program arrive shuffled, each twice, through different entries
// and must run in the order of their sequence numbers.
func TestOrderOfCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seed, calls = 11, 16
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterOptions{entries: 3})
	k := c.newProgram("")
	order := append(rand.New(rand.NewPCG(seed, seed)).Perm(calls), rand.New(rand.NewPCG(seed, seed+1)).Perm(calls)...)
	answers := make([]string, len(order))
	var group sync.WaitGroup
	for i, n := range order {
		group.Go(func() {
			answers[i] = k.chatUntilDone(i, n+1, fmt.Sprintf("question %d", n+1), 8)
		})
	}
	group.Wait()
	firstAnswers := make([]string, calls+1)
	for i, n := range order {
		if firstAnswers[n+1] != "" {
			is.Equal(answers[i], firstAnswers[n+1]) // a resent call gets the answer of the first one
		}
		firstAnswers[n+1] = answers[i]
	}
	var want []string
	for seq := 1; seq <= calls; seq++ {
		want = append(want, fmt.Sprintf("question %d", seq), firstAnswers[seq])
	}
	is.Equal(k.history(), want)
}

// A sequence number that is reused with another body is rejected.
func TestSeqWithAnotherBodyIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{engines: 1, services: 1})
	k := c.newProgram("")
	first := k.chatUntilDone(0, 1, "one", 8)
	is.Equal(k.chat(1, 1, "two", 8).code, api.CodeBodyMismatch)
	is.Equal(k.history(), []string{"one", first})
}
