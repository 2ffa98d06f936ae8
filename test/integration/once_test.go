package integration

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// nonIdempotentPath is a path of the service whose calls are not idempotent and must never run twice.
const nonIdempotentPath = "slips/42/verify"

// serviceUntilKnown makes a service call and resends it, at one entry after another, until its outcome is known. seq is the
// number of the call in its program.
func (k *caller) serviceUntilKnown(entry, seq int, path, body string) answer {
	k.t.Helper()
	var last answer
	for try := range 1000 {
		last = k.service(entry+try, seq, path, body)
		if last.err == nil && (last.code == api.CodeOK || last.code == api.CodeOutcomeUnknown) {
			return last
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.t.Fatalf("call %d of program %s has no known outcome: code %d, body %s, error %v", seq, k.program, last.code, last.body, last.err)
	return last
}

// total returns the sum of the counts.
func total(effects map[string]int) int {
	n := 0
	for _, e := range effects {
		n += e
	}
	return n
}

// journalOwner returns the entry that owns the journal of the program.
func (c *cluster) journalOwner(k *caller) *entryNode {
	c.t.Helper()
	var info api.ProgramInfo
	c.requestJSON("GET", c.entries[0].callerLink.address(), "/v1/programs/"+k.program, nil, &info)
	for _, e := range c.entries {
		if e.id == info.Owner {
			return e
		}
	}
	c.t.Fatalf("owner %q of program %s is not an entry of the cluster", info.Owner, k.program)
	return nil
}

// otherEntry returns the index of an entry other than e.
func (c *cluster) otherEntry(e *entryNode) int {
	for i := range c.entries {
		if c.entries[i] != e {
			return i
		}
	}
	c.t.Fatal("there is only one entry")
	return 0
}

// Guards against a second run of a call after a takeover. Before the owner of a journal sends a call, it commits an intent
// to the journal. The owner is frozen before or after the intent or during the call, another entry takes over, and the
// first owner continues.
func TestNonIdempotentCallRunsOnceWhenOwnerIsFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, serviceArgs: []string{"-service-delay", "300ms"}})
	k := c.newProgram("")
	for seq := 1; seq <= 4; seq++ {
		owner := c.journalOwner(k)
		first := make(chan answer, 1)
		go func() { first <- k.service(c.otherEntry(owner), seq, nonIdempotentPath, "{}") }()
		time.Sleep(time.Duration(seq) * 60 * time.Millisecond) // Freezes at different points, from before the intent is committed to the middle of the call.
		owner.freeze()
		a := k.serviceUntilKnown(c.otherEntry(owner), seq, nonIdempotentPath, "{}")
		is.Equal(a.code, api.CodeOK)
		owner.unfreeze()
		<-first
		time.Sleep(time.Second) // Lets the first owner do whatever it had pending.
		is.Equal(total(c.effects(k.program+"/")), seq)
	}
}

// Guards against a second run of a call whose response is lost after it took effect: its outcome is unknown, and it is not
// sent again.
func TestNonIdempotentCallRunsOnceWhenAnswerIsLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{services: 2})
	k := c.newProgram("")
	for _, s := range c.services {
		c.setFaults(s.address, map[string]any{"lose_answers": 1})
	}
	is.Equal(k.service(0, 1, nonIdempotentPath, "{}").code, api.CodeOutcomeUnknown)
	is.Equal(k.service(1, 1, nonIdempotentPath, "{}").code, api.CodeOutcomeUnknown) // a resent call gets the stored outcome
	is.Equal(total(c.effects(k.program+"/1/")), 1)
	for seq := 2; seq <= 3; seq++ { // one of them gets the fault of the other service
		k.serviceUntilKnown(0, seq, nonIdempotentPath, "{}")
	}
	is.Equal(total(c.effects(k.program+"/")), 3)
}

// Guards against a second run of a call when the sidecar restarts while the service runs the call, with and without a
// freeze of the journal's owner.
func TestNonIdempotentCallRunsOnceWhenSidecarRestarts(t *testing.T) {
	t.Parallel()
	for _, freeze := range []bool{false, true} {
		is := is.New(t)
		c := startCluster(t, clusterOptions{entries: 3, services: 1, serviceArgs: []string{"-service-delay", "500ms"}})
		k := c.newProgram("")
		owner := c.journalOwner(k)
		first := make(chan answer, 1)
		go func() { first <- k.service(c.otherEntry(owner), 1, nonIdempotentPath, "{}") }()
		eventually(t, 10*time.Second, "the service receives the call", func() bool { return c.serviceRequests() > 0 })
		if freeze {
			owner.freeze()
		}
		c.services[0].sidecar.kill()
		c.services[0].sidecar.launch()
		a := k.serviceUntilKnown(c.otherEntry(owner), 1, nonIdempotentPath, "{}")
		owner.unfreeze()
		<-first
		is.Equal(a.code, api.CodeOutcomeUnknown) // the call ran, but the only process that knew its outcome was killed
		eventually(t, 10*time.Second, "the call takes effect", func() bool { return total(c.effects(k.program+"/1/")) > 0 })
		is.Equal(total(c.effects(k.program+"/1/")), 1)
		is.Equal(k.serviceUntilKnown(0, 2, nonIdempotentPath, "{}").code, api.CodeOK) // the program can continue
	}
}

// serviceRequests returns how many requests the services have received.
func (c *cluster) serviceRequests() int {
	n := 0
	for _, s := range c.services {
		var stats struct {
			Requests int `json:"requests"`
		}
		c.requestJSON("GET", s.address, "/stats", nil, &stats)
		n += stats.Requests
	}
	return n
}

// Guards against an unknown outcome when the owner of the journal is killed after it sent the call: its successor gets the
// outcome from the sidecar.
func TestNonIdempotentOutcomeSurvivesOwnerKill(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, serviceArgs: []string{"-service-delay", "500ms"}})
	k := c.newProgram("")
	owner := c.journalOwner(k)
	first := make(chan answer, 1)
	go func() { first <- k.service(c.otherEntry(owner), 1, nonIdempotentPath, "{}") }()
	eventually(t, 10*time.Second, "the service receives the call", func() bool { return c.serviceRequests() > 0 })
	owner.kill()
	a := <-first // the entry that received the request forwards it to the new owner
	is.NoErr(a.err)
	is.Equal(a.code, api.CodeOK)
	is.Equal(total(c.effects(k.program+"/1/")), 1)
}

// Guards against a late send by a former owner: the owner of the journal is frozen after its intent is committed and
// before it sends the call. Its successor resolves the intent and runs the call. When the first owner continues and sends
// the call, the sidecar rejects it.
func TestLateSendByFrozenOwnerIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, services: 1})
	k := c.newProgram("")
	for seq := 1; seq <= 3; seq++ {
		owner := c.journalOwner(k)
		owner.kvLink.dropResponses() // the intent is written, but its owner does not get the response
		first := make(chan answer, 1)
		go func() { first <- k.service(c.otherEntry(owner), seq, nonIdempotentPath, "{}") }()
		time.Sleep(300 * time.Millisecond)
		owner.freeze()
		owner.kvLink.removeFaults()
		is.Equal(k.serviceUntilKnown(c.otherEntry(owner), seq, nonIdempotentPath, "{}").code, api.CodeOK)
		owner.unfreeze()
		<-first
		time.Sleep(1500 * time.Millisecond) // the first owner learns that its intent was committed
		is.Equal(total(c.effects(k.program+"/")), seq)
	}
}
