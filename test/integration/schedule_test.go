package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// faultSeed returns the seed of the random fault schedule: REDWINGGAUGE_SEED, or a fixed one.
func faultSeed(t *testing.T) uint64 {
	t.Helper()
	const fixed = 20261204
	text := os.Getenv("REDWINGGAUGE_SEED")
	if text == "" {
		return fixed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// Guards against result codes that contradict what happened. Under a random schedule of faults, a call with a code that
// says that it did not run has no effect, a successful call has one, and a call of unknown outcome has at most one.
func TestResultCodesAgreeWithEffects(t *testing.T) {
	t.Parallel()
	seed := faultSeed(t)
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterOptions{entries: 3, engines: 1, services: 3, serviceArgs: []string{"-service-delay", "60ms"}, entryYAML: "order_wait_ms: 5000\ncommit_wait_ms: 2000\n"})
	c.submitAndWait(raiseLimits)
	const programs, faults = 16, 24
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.injectRandomFaults(rand.New(rand.NewPCG(seed, 0)), faults)
	}()
	var group sync.WaitGroup
	var mu sync.Mutex
	var unknown, all int
	for p := range programs {
		group.Go(func() {
			k := c.newProgram("")
			for seq := 1; !isClosed(done); seq++ {
				code := k.checkCall(p, seq)
				mu.Lock()
				all++
				if code == api.CodeOutcomeUnknown {
					unknown++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d calls have an unknown outcome", unknown, all)
}

// checkCall sends a non-idempotent call until its outcome is known and compares the result codes with the effects.
func (k *caller) checkCall(entry, seq int) api.Code {
	k.t.Helper()
	key := fmt.Sprintf("%s/%d/", k.program, seq)
	mayHaveRun := false // An earlier request may have run or may still run.
	var last answer
	for try := range 400 {
		a := k.service(entry+try, seq, nonIdempotentPath, "{}")
		last = a
		switch {
		case a.err != nil || a.code.Family() == api.FamilyUnknown && a.code != api.CodeOutcomeUnknown:
			mayHaveRun = true
		case a.code == api.CodeOK:
			k.checkEffects(key, 1, 1)
			return a.code
		case a.code == api.CodeOutcomeUnknown:
			k.checkEffects(key, 0, 1)
			return a.code
		case a.code.SafeToResend() && !mayHaveRun:
			k.checkEffects(key, 0, 0)
		}
		time.Sleep(30 * time.Millisecond)
	}
	k.t.Errorf("call %d of program %s has no known outcome: code %d, body %s, error %v", seq, k.program, last.code, last.body, last.err)
	return 0
}

// checkEffects checks that the number of effects of the calls whose ID begins with key is between least and most.
func (k *caller) checkEffects(key string, least, most int) {
	k.t.Helper()
	if n := total(k.c.effects(key)); n < least || n > most {
		k.t.Errorf("call %s took effect %d times, expected %d to %d", key, n, least, most)
	}
}

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// injectRandomFaults injects random faults one after another.
func (c *cluster) injectRandomFaults(random *rand.Rand, count int) {
	for range count {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		c.injectRandomFault(random)
	}
}

// injectRandomFault injects a random fault for a short time and then removes it.
func (c *cluster) injectRandomFault(random *rand.Rand) {
	entry := c.entries[random.IntN(len(c.entries))]
	service := c.services[random.IntN(len(c.services))]
	duration := time.Duration(200+random.IntN(1500)) * time.Millisecond
	switch random.IntN(10) {
	case 0:
		entry.kill()
		time.Sleep(duration)
		entry.launch()
	case 1:
		entry.freeze()
		time.Sleep(duration)
		entry.unfreeze()
	case 2:
		service.sidecar.kill()
		time.Sleep(duration / 4)
		service.sidecar.launch()
	case 3:
		service.sidecar.freeze()
		time.Sleep(duration)
		service.sidecar.unfreeze()
	case 4:
		service.sidecarLink.dropResponses()
		time.Sleep(duration)
		service.sidecarLink.removeFaults()
	case 5:
		service.sidecarLink.disconnect()
		time.Sleep(duration)
		service.sidecarLink.reconnect()
	case 6:
		service.backendLink.disconnect()
		time.Sleep(duration)
		service.backendLink.reconnect()
	case 7:
		entry.kvLink.disconnect()
		time.Sleep(duration)
		entry.kvLink.reconnect()
	case 8:
		entry.internalLink.disconnect()
		time.Sleep(duration)
		entry.internalLink.reconnect()
	case 9:
		service.sidecarLink.dropRequests()
		time.Sleep(duration)
		service.sidecarLink.removeFaults()
	}
}

// Guards against duplicate calls under simultaneous faults: the owner of the journal is frozen, a sidecar restarts, and the
// key-value service loses responses.
func TestSimultaneousFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, serviceArgs: []string{"-service-delay", "100ms"}})
	k := c.newProgram("")
	c.setFaults(c.kvAddress, map[string]any{"lose_answer_share": 0.2})
	for seq := 1; seq <= 5; seq++ {
		owner := c.journalOwner(k)
		first := make(chan answer, 1)
		go func() { first <- k.service(c.otherEntry(owner), seq, nonIdempotentPath, "{}") }()
		time.Sleep(time.Duration(seq*25) * time.Millisecond)
		owner.freeze()
		c.services[seq%2].sidecar.kill()
		c.services[seq%2].sidecar.launch()
		k.serviceUntilKnown(c.otherEntry(owner), seq, nonIdempotentPath, "{}")
		owner.unfreeze()
		<-first
		is.True(total(c.effects(fmt.Sprintf("%s/%d/", k.program, seq))) <= 1)
	}
}
