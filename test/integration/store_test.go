package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Answers of the key-value service are lost after their writes took effect, and writes are applied late.
func TestAmbiguousStoreWrites(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{entries: 2})
	c.fault(c.kvAddress, map[string]any{"lose_answer_share": 0.2, "lose_before_effect_share": 0.1})
	var group sync.WaitGroup
	for p := range 10 {
		group.Go(func() {
			is := is.New(t)
			k := c.newProgram("")
			var want []string
			for seq := 1; seq <= 6; seq += 2 {
				want = append(want, "q", k.chatUntilDone(p, seq, "q", 10))
				is.Equal(k.serviceUntilKnown(p, seq+1, filing, "{}").code, api.CodeOK)
			}
			is.Equal(k.history(), want)
			is.Equal(total(c.effects(k.program+"/")), 3)
		})
	}
	group.Wait()
}

// The key-value service is away for a minute and an entry is killed meanwhile. Calls are refused as not run, running
// answers wait, and nothing is lost or doubled.
func TestStoreOutageWithAnEntryKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 3, entryYAML: "commit_wait_ms: 1000\norder_wait_ms: 3000\n"})
	const programs = 12
	callers := make([]*caller, programs)
	told := make([][]string, programs)
	for p := range callers {
		callers[p] = c.newProgram("")
		told[p] = []string{"q1", callers[p].chatUntilDone(p, 1, "q1", 10)}
	}
	const outage = time.Minute
	c.fault(c.kvAddress, map[string]any{"outage_ms": outage.Milliseconds()})
	began := time.Now()
	victim := c.ownerOf(callers[0])
	victim.kill()
	refused := 0
	for p, k := range callers {
		a := k.service(c.other(victim), 2, filing, "{}")
		is.NoErr(a.err)
		is.True(a.code != api.CodeOK) // an intent cannot be committed
		if a.code.SafeToResend() {
			refused++
			is.Equal(total(c.effects(k.program+"/")), 0)
		}
		_ = p
	}
	is.True(refused > 0)
	time.Sleep(time.Until(began.Add(outage)))
	victim.launch()
	for p, k := range callers {
		is.Equal(k.serviceUntilKnown(p, 2, filing, "{}").code, api.CodeOK)
		told[p] = append(told[p], "q3", k.chatUntilDone(p, 3, "q3", 10))
		is.Equal(k.history(), told[p])
		is.Equal(total(c.effects(k.program+"/")), 1)
	}
}

// The owner is frozen for longer than others wait, and wakes while the key-value service is slow.
func TestFrozenOwnerWakesUnderASlowStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 3})
	k := c.newProgram("")
	want := []string{"q1", k.chatUntilDone(0, 1, "q1", 10)}
	for seq := 2; seq <= 4; seq++ {
		owner := c.ownerOf(k)
		owner.freeze()
		want = append(want, "q", k.chatUntilDone(c.other(owner), seq, "q", 10))
		c.fault(c.kvAddress, map[string]any{"delay_ms": 200})
		owner.wake()
		time.Sleep(1500 * time.Millisecond)
		c.fault(c.kvAddress, map[string]any{"delay_ms": 0})
	}
	is.Equal(k.history(), want)
}
