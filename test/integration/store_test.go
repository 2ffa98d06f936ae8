package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Guards against lost and duplicate calls when writes to the key-value service get no response, whether or not they took
// effect.
func TestAmbiguousStoreWrites(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	c.setFaults(c.kvAddress, map[string]any{"lose_answer_share": 0.2, "lose_before_effect_share": 0.1})
	var group sync.WaitGroup
	for p := range 10 {
		group.Go(func() {
			is := is.New(t)
			k := c.newProgram("")
			var want []string
			for seq := 1; seq <= 6; seq += 2 {
				want = append(want, "q", k.chatUntilDone(p, seq, "q", 10))
				is.Equal(k.serviceUntilKnown(p, seq+1, nonIdempotentPath, "{}").code, api.CodeOK)
			}
			is.Equal(k.history(), want)
			is.Equal(total(c.effects(k.program+"/")), 3)
		})
	}
	group.Wait()
}

// Guards against lost and duplicate calls when the key-value service is unavailable for a minute and an entry is killed
// meanwhile. Calls fail during the outage, some with a code that says that they did not run, and succeed when resent after
// it.
func TestStoreOutageWithAnEntryKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, entryYAML: "commit_wait_ms: 1000\norder_wait_ms: 3000\n"})
	const programs = 12
	callers := make([]*caller, programs)
	histories := make([][]string, programs)
	for p := range callers {
		callers[p] = c.newProgram("")
		histories[p] = []string{"q1", callers[p].chatUntilDone(p, 1, "q1", 10)}
	}
	const outage = time.Minute
	c.setFaults(c.kvAddress, map[string]any{"outage_ms": outage.Milliseconds()})
	began := time.Now()
	killedEntry := c.journalOwner(callers[0])
	killedEntry.kill()
	refused := 0
	for p, k := range callers {
		a := k.service(c.otherEntry(killedEntry), 2, nonIdempotentPath, "{}")
		is.NoErr(a.err)
		is.True(a.code != api.CodeOK) // the intent to call cannot be committed
		if a.code.SafeToResend() {
			refused++
			is.Equal(total(c.effects(k.program+"/")), 0)
		}
		_ = p
	}
	is.True(refused > 0)
	time.Sleep(time.Until(began.Add(outage)))
	killedEntry.launch()
	for p, k := range callers {
		is.Equal(k.serviceUntilKnown(p, 2, nonIdempotentPath, "{}").code, api.CodeOK)
		histories[p] = append(histories[p], "q3", k.chatUntilDone(p, 3, "q3", 10))
		is.Equal(k.history(), histories[p])
		is.Equal(total(c.effects(k.program+"/")), 1)
	}
}

// Guards against history written by a former owner: the owner of the journal is frozen until another entry takes over, and
// continues while the key-value service is slow.
func TestFrozenOwnerResumesWithSlowStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3})
	k := c.newProgram("")
	want := []string{"q1", k.chatUntilDone(0, 1, "q1", 10)}
	for seq := 2; seq <= 4; seq++ {
		owner := c.journalOwner(k)
		owner.freeze()
		want = append(want, "q", k.chatUntilDone(c.otherEntry(owner), seq, "q", 10))
		c.setFaults(c.kvAddress, map[string]any{"delay_ms": 200})
		owner.unfreeze()
		time.Sleep(1500 * time.Millisecond)
		c.setFaults(c.kvAddress, map[string]any{"delay_ms": 0})
	}
	is.Equal(k.history(), want)
}
