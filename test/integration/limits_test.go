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

// Parallel sub-agents resend their calls while the owner of their journal is killed. The tokens of all answers together
// stay within the root's budget, and the budget is used.
func TestBudgetHoldsUnderSubAgentsAndTakeover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const budget = 2000
	c := startCluster(t, shape{entries: 3})
	c.submit(func(config *policy.Config) {
		class(config, "interactive", func(cl *policy.Class) { cl.Budget.Tokens = budget })
	})
	root := c.newProgram("")
	owner := c.ownerOf(root)
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

func sum(numbers []int) int {
	n := 0
	for _, v := range numbers {
		n += v
	}
	return n
}

// chatWithinBudget makes a model call, resending it until it ran or its budget refused it.
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
	k.t.Errorf("seq %d of program %s neither ran nor was refused", seq, k.program)
	return false
}

// generatedTokens returns how many tokens the engines have generated.
func (c *cluster) generatedTokens() int {
	n := 0
	for _, e := range c.engines {
		var stats struct {
			Generated int `json:"decoded_tokens"`
		}
		c.post("GET", e.address, "/stats", nil, &stats)
		n += stats.Generated
	}
	return n
}

// A program that loops is stopped by its budget of calls, and one that is forgotten by its idle timeout. Neither leaves
// memory behind.
func TestLoopingAndForgottenProgramsAreEnded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{})
	c.submit(func(config *policy.Config) {
		class(config, "interactive", func(cl *policy.Class) {
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
	c.eventuallyNoMemory(k.program)
}

// heldPrograms returns the programs whose prefixes the engines hold.
func (c *cluster) heldPrograms() map[string]bool {
	out := make(map[string]bool)
	for _, e := range c.engines {
		var stats struct {
			Programs []string `json:"programs"`
		}
		c.post("GET", e.address, "/v1/cache_stats", nil, &stats)
		for _, id := range stats.Programs {
			out[id] = true
		}
	}
	return out
}

func (c *cluster) eventuallyNoMemory(program string) {
	c.t.Helper()
	eventually(c.t, 30*time.Second, "no engine holds memory of program "+program, func() bool {
		return !c.heldPrograms()[program]
	})
}

// Memory of ended programs is released although holds last long and the connection to the sidecar is down when they end.
func TestMemoryOfEndedProgramsIsReleased(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{entries: 2, engines: 1, entryYAML: "hold_ms: 600000\n"})
	programs := c.heldByEngine(2)
	programs[0].end()
	c.eventuallyNoMemory(programs[0].program)
	c.engines[0].inbound.cut()
	programs[1].end()
	c.engines[0].inbound.mend()
	c.eventuallyNoMemory(programs[1].program)
}

// Memory is released by the sidecar itself when it was restarted after a program's end, and when every entry is dead.
func TestMemoryIsReleasedWithoutAnOwner(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{entries: 2, engines: 1, entryYAML: "hold_ms: 3000\n"})
	programs := c.heldByEngine(2)
	programs[0].end()
	c.engines[0].sidecar.kill()
	c.engines[0].sidecar.launch()
	c.eventuallyNoMemory(programs[0].program)
	for _, e := range c.entries {
		e.kill()
	}
	c.eventuallyNoMemory(programs[1].program)
}

// heldByEngine returns programs whose prefix an engine holds.
func (c *cluster) heldByEngine(n int) []*caller {
	c.t.Helper()
	programs := make([]*caller, n)
	for i := range programs {
		programs[i] = c.newProgram("")
		programs[i].chatUntilDone(0, 1, "hello", 8)
		if !c.heldPrograms()[programs[i].program] {
			c.t.Fatalf("no engine holds memory of program %s", programs[i].program)
		}
	}
	return programs
}

// end ends the program.
func (k *caller) end() {
	k.t.Helper()
	if a := k.send(0, "DELETE", "/v1/programs/"+k.program, nil); a.code != api.CodeOK {
		k.t.Fatalf("program %s not ended: %d %s %v", k.program, a.code, a.body, a.err)
	}
}

// A backend server that the membership list or its sidecar says is leaving gets no new call after five seconds, and the
// call that it has finishes.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, byList := range []bool{true, false} {
		is := is.New(t)
		c := startCluster(t, shape{engines: 2, engineArgs: []string{"-decode-rate", "30"}})
		k := c.newProgram("")
		var leaving *backendNode
		long := make(chan string, 1)
		go func() { long <- k.streamUntilWhole(0, 1, longAnswer, 150) }()
		leaving = c.busyEngine()
		if byList {
			c.post("POST", c.membership, "/v1/members/"+leaving.id+"/leaving", ports.Member{}, nil)
		} else {
			is.NoErr(c.operator(c.entries...).Drain(context.Background(), leaving.id, "test"))
		}
		time.Sleep(5 * time.Second)
		before := c.engineRequests(leaving)
		for i := range 6 {
			c.newProgram("").chatUntilDone(i, 1, "hello", 8)
		}
		is.Equal(c.engineRequests(leaving), before)
		is.Equal(k.history(), []string{longAnswer, <-long})
	}
}

// engineRequests returns how many chat completions the engine has had.
func (c *cluster) engineRequests(b *backendNode) int {
	var stats struct {
		Requests int `json:"requests"`
	}
	c.post("GET", b.address, "/stats", nil, &stats)
	return stats.Requests
}

// A body that crashes the engines that run it crashes two, whatever program and entry send it, and the calls running
// beside it finish.
func TestCrashSuspectStopsAfterTwoEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 3, engines: 5, engineArgs: []string{"-decode-rate", "60"}})
	var innocents sync.WaitGroup
	for p := range 8 {
		k := c.newProgram("")
		innocents.Go(func() {
			answer := k.streamUntilWhole(p, 1, longAnswer, 150)
			is.Equal(k.history(), []string{longAnswer, answer})
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
		case <-e.backend.ended:
			dead++
		default:
		}
	}
	is.Equal(dead, 2)
	innocents.Wait()
}

// A tool that hangs is cut off by the timeout of its action; the program goes on.
func TestHungToolEndsByItsTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{services: 1})
	c.submit(func(config *policy.Config) {
		for i := range config.Services[0].Actions {
			config.Services[0].Actions[i].TimeoutMS = 500
		}
	})
	k := c.newProgram("")
	c.fault(c.services[0].address, map[string]any{"hang_ms": 60_000, "hang_paths": []string{"/search", "/" + filing}})
	is.Equal(k.service(0, 1, "search", "{}").code, api.CodeTimeout)
	is.Equal(k.service(0, 1, filing, "{}").code, api.CodeOutcomeUnknown)
	c.fault(c.services[0].address, map[string]any{"hang_ms": 0})
	is.Equal(k.serviceUntilKnown(0, 2, filing, "{}").code, api.CodeOK)
}

// A failure domain is lost at once: its entries, sidecars and backend servers. Work goes on in the others.
func TestLostFailureDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 3, engines: 3, services: 2})
	var group sync.WaitGroup
	begun := make(chan struct{}, 12)
	for p := range 12 {
		k := c.newProgram("")
		group.Go(func() {
			want := []string{"q1", k.chatUntilDone(p, 1, "q1", 8)}
			begun <- struct{}{}
			for seq := 2; seq <= 4; seq++ {
				want = append(want, longAnswer, k.chatUntilDone(p, seq, longAnswer, 150))
			}
			is.Equal(k.history(), want)
		})
	}
	for range 12 {
		<-begun
	}
	c.entries[0].kill()
	c.engines[0].sidecar.kill()
	c.engines[0].backend.kill()
	c.services[0].sidecar.kill()
	c.services[0].backend.kill()
	group.Wait()
}

// An organisation's limit on programs under way holds over all journals and entries.
func TestOrganisationsLimitOnPrograms(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 2, engines: 1, services: 1})
	const limit = 6
	c.submit(func(config *policy.Config) { config.Organisations[0].MaxPrograms = limit })
	var programs []*caller
	for range limit {
		programs = append(programs, c.newProgram(""))
		time.Sleep(500 * time.Millisecond) // Counts of other entries are as old as a heartbeat.
	}
	k := newCaller(t, c)
	body := mustJSON(t, api.CreateRequest{Organisation: "demo", Class: "interactive"})
	for try := range 8 {
		is.Equal(k.send(try, "POST", "/v1/programs", body).code, api.CodeBudgetOrg)
	}
	programs[0].end()
	eventually(t, 10*time.Second, "a program may start again", func() bool {
		return k.send(0, "POST", "/v1/programs", body).status == 201
	})
}
