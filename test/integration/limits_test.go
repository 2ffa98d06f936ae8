package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Guards against spending a token budget twice: parallel sub-agents make calls and resend them while the owner of their
// journal is killed. All answers together must stay within the budget of the root program and use more than a third of it.
func TestBudgetHoldsUnderSubAgentsAndTakeover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const budget = 2000
	c := startCluster(t, clusterOptions{entries: 3})
	c.submitAndWait(func(config *policy.Config) {
		changeClass(config, "interactive", func(cl *policy.Class) { cl.Budget.Tokens = budget })
	})
	root := c.newProgram("")
	owner := c.journalOwner(root)
	var group sync.WaitGroup
	refused := make([]int, 6)
	for a := range refused {
		group.Go(func() {
			k := c.newProgram(root.program)
			for seq := 1; seq <= 20; seq++ {
				if !k.chatWithinBudget(a, seq) {
					refused[a]++
					return
				}
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	owner.kill()
	group.Wait()
	owner.launch()
	generated := c.generatedTokens()
	t.Logf("engines generated %d tokens of a budget of %d", generated, budget)
	is.True(generated <= budget)
	is.True(generated > budget/3)
	is.True(total(map[string]int{"all": sum(refused)}) > 0)
}

// sum returns the sum of the numbers.
func sum(numbers []int) int {
	n := 0
	for _, v := range numbers {
		n += v
	}
	return n
}

// chatWithinBudget makes a model call and resends it until it has run or is rejected because the token budget is spent. It
// reports whether it has run.
func (k *caller) chatWithinBudget(entry, seq int) bool {
	k.t.Helper()
	for try := range 400 {
		a := k.chat(entry+try, seq, fmt.Sprintf("step %d", seq), 40)
		if a.err == nil && a.code == api.CodeOK {
			return true
		}
		if a.code == api.CodeBudgetTokens {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.t.Errorf("call %d of program %s neither ran nor was rejected by the budget", seq, k.program)
	return false
}

// generatedTokens returns the number of tokens that the engines have generated.
func (c *cluster) generatedTokens() int {
	n := 0
	for _, e := range c.engines {
		var stats struct {
			Generated int `json:"decoded_tokens"`
		}
		c.requestJSON("GET", e.address, "/stats", nil, &stats)
		n += stats.Generated
	}
	return n
}

// A program in an endless loop is stopped by its call budget, and an abandoned program is ended by the idle timeout. The
// engines then release its cached prefix.
func TestLoopingAndAbandonedProgramsAreEnded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{})
	c.submitAndWait(func(config *policy.Config) {
		changeClass(config, "interactive", func(cl *policy.Class) {
			cl.Budget.Calls = 5
			cl.IdleTimeoutMS = 2000
		})
	})
	k := c.newProgram("")
	for seq := 1; seq <= 5; seq++ {
		k.chatUntilDone(seq, seq, "again", 8)
	}
	is.Equal(k.chat(0, 6, "again", 8).code, api.CodeBudgetCalls)
	eventually(t, 30*time.Second, "the idle program is ended", func() bool {
		return k.chat(0, 6, "again", 8).code == api.CodeProgramEnded
	})
	c.eventuallyNotHeld(k.program)
}

// heldPrograms returns the programs for which an engine holds a prefix in its cache.
func (c *cluster) heldPrograms() map[string]bool {
	out := make(map[string]bool)
	for _, e := range c.engines {
		var stats struct {
			Programs []string `json:"programs"`
		}
		c.requestJSON("GET", e.address, "/v1/cache_stats", nil, &stats)
		for _, id := range stats.Programs {
			out[id] = true
		}
	}
	return out
}

// eventuallyNotHeld waits until no engine holds a prefix of the program.
func (c *cluster) eventuallyNotHeld(program string) {
	c.t.Helper()
	eventually(c.t, 30*time.Second, "no engine holds a prefix of program "+program, func() bool {
		return !c.heldPrograms()[program]
	})
}

// Guards against prefixes that stay in the cache after the end of their program: they are released long before their holds
// expire, even if the connection to the sidecar is down when the program ends.
func TestMemoryOfEndedProgramsIsReleased(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, entryYAML: "hold_ms: 600000\n"})
	programs := c.startHeldPrograms(2)
	programs[0].endProgram()
	c.eventuallyNotHeld(programs[0].program)
	c.engines[0].sidecarLink.disconnect()
	programs[1].endProgram()
	c.engines[0].sidecarLink.reconnect()
	c.eventuallyNotHeld(programs[1].program)
}

// Guards against prefixes that stay in the cache when no entry releases them: because the sidecar restarted after the end of
// the program, or because every entry is dead.
func TestMemoryIsReleasedWithoutAnOwner(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, entryYAML: "hold_ms: 3000\n"})
	programs := c.startHeldPrograms(2)
	programs[0].endProgram()
	c.engines[0].sidecar.kill()
	c.engines[0].sidecar.launch()
	c.eventuallyNotHeld(programs[0].program)
	for _, e := range c.entries {
		e.kill()
	}
	c.eventuallyNotHeld(programs[1].program)
}

// startHeldPrograms starts n programs and makes a call for each, after which an engine must hold its prefix.
func (c *cluster) startHeldPrograms(n int) []*caller {
	c.t.Helper()
	programs := make([]*caller, n)
	for i := range programs {
		programs[i] = c.newProgram("")
		programs[i].chatUntilDone(0, 1, "hello", 8)
		if !c.heldPrograms()[programs[i].program] {
			c.t.Fatalf("no engine holds a prefix of program %s", programs[i].program)
		}
	}
	return programs
}

// endProgram ends the program.
func (k *caller) endProgram() {
	k.t.Helper()
	if a := k.send(0, "DELETE", "/v1/programs/"+k.program, nil); a.code != api.CodeOK {
		k.t.Fatalf("program %s could not be ended: code %d, body %s, error %v", k.program, a.code, a.body, a.err)
	}
}

// A backend server that is marked as leaving, in the membership list or by its sidecar, gets no new calls after five
// seconds. The call that it is running completes.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, byList := range []bool{true, false} {
		is := is.New(t)
		c := startCluster(t, clusterOptions{engines: 2, engineArgs: []string{"-decode-rate", "30"}})
		k := c.newProgram("")
		var leaving *backendNode
		long := make(chan string, 1)
		go func() { long <- k.streamUntilComplete(0, 1, longAnswerPrompt, 150) }()
		leaving = c.busyEngine()
		if byList {
			c.requestJSON("POST", c.membershipAddress, "/v1/members/"+leaving.id+"/leaving", ports.Member{}, nil)
		} else {
			is.NoErr(c.operator(c.entries...).Drain(context.Background(), leaving.id, "test"))
		}
		time.Sleep(5 * time.Second)
		before := c.engineRequests(leaving)
		for i := range 6 {
			c.newProgram("").chatUntilDone(i, 1, "hello", 8)
		}
		is.Equal(c.engineRequests(leaving), before)
		is.Equal(k.history(), []string{longAnswerPrompt, <-long})
	}
}

// engineRequests returns how many requests for chat completions the engine has received.
func (c *cluster) engineRequests(b *backendNode) int {
	var stats struct {
		Requests int `json:"requests"`
	}
	c.requestJSON("GET", b.address, "/stats", nil, &stats)
	return stats.Requests
}

// Guards against a request body that crashes one engine after another: it crashes two and is then refused, even if several
// programs send it through different entries. Other calls that run on these engines complete.
func TestCrashSuspectIsRefusedAfterTwoEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, engines: 5, engineArgs: []string{"-decode-rate", "60"}})
	var otherCalls sync.WaitGroup
	for p := range 8 {
		k := c.newProgram("")
		otherCalls.Go(func() {
			answer := k.streamUntilComplete(p, 1, longAnswerPrompt, 150)
			is.Equal(k.history(), []string{longAnswerPrompt, answer})
		})
	}
	time.Sleep(300 * time.Millisecond)
	for try := range 6 {
		k := c.newProgram("")
		a := k.chat(try, 1, "[[crash]]", 8)
		is.True(a.code != api.CodeOK)
		if try > 2 {
			is.Equal(a.code, api.CodeCrashSuspect)
		}
	}
	dead := 0
	for _, e := range c.engines {
		select {
		case <-e.backend.exited:
			dead++
		default:
		}
	}
	is.Equal(dead, 2)
	otherCalls.Wait()
}

// A service call that hangs is ended by the timeout of its action, and the program can continue.
func TestHungServiceCallEndsAtTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{services: 1})
	c.submitAndWait(func(config *policy.Config) {
		for i := range config.Services[0].Actions {
			config.Services[0].Actions[i].TimeoutMS = 500
		}
	})
	k := c.newProgram("")
	c.setFaults(c.services[0].address, map[string]any{"hang_ms": 60_000, "hang_paths": []string{"/search", "/" + nonIdempotentPath}})
	is.Equal(k.service(0, 1, "search", "{}").code, api.CodeTimeout)
	is.Equal(k.service(0, 1, nonIdempotentPath, "{}").code, api.CodeOutcomeUnknown)
	c.setFaults(c.services[0].address, map[string]any{"hang_ms": 0})
	is.Equal(k.serviceUntilKnown(0, 2, nonIdempotentPath, "{}").code, api.CodeOK)
}

// An entire failure domain fails simultaneously, with its entry, sidecars and backend servers. The others take over its
// programs.
func TestLostFailureDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, engines: 3, services: 2})
	var group sync.WaitGroup
	started := make(chan struct{}, 12)
	for p := range 12 {
		k := c.newProgram("")
		group.Go(func() {
			want := []string{"q1", k.chatUntilDone(p, 1, "q1", 8)}
			started <- struct{}{}
			for seq := 2; seq <= 4; seq++ {
				want = append(want, longAnswerPrompt, k.chatUntilDone(p, seq, longAnswerPrompt, 150))
			}
			is.Equal(k.history(), want)
		})
	}
	for range 12 {
		<-started
	}
	c.entries[0].kill()
	c.engines[0].sidecar.kill()
	c.engines[0].backend.kill()
	c.services[0].sidecar.kill()
	c.services[0].backend.kill()
	group.Wait()
}

// The limit of open programs of an organisation applies across all journals and entries.
func TestOrganisationProgramLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1})
	const limit = 6
	c.submitAndWait(func(config *policy.Config) { config.Organisations[0].MaxPrograms = limit })
	var programs []*caller
	for range limit {
		programs = append(programs, c.newProgram(""))
		time.Sleep(500 * time.Millisecond) // The counts of other entries may be as old as the heartbeat interval.
	}
	k := newCaller(t, c)
	body := mustJSON(t, api.CreateRequest{Organisation: "demo", Class: "interactive"})
	for try := range 8 {
		is.Equal(k.send(try, "POST", "/v1/programs", body).code, api.CodeBudgetOrg)
	}
	programs[0].endProgram()
	eventually(t, 10*time.Second, "a new program is admitted", func() bool {
		return k.send(0, "POST", "/v1/programs", body).status == 201
	})
}
