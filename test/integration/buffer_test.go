package integration

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const bufferYAML = "write_behind: true\ncommit_wait_ms: 5000\norder_wait_ms: 5000\n"

// startBuffered starts a cluster whose sidecars are in three failure domains and waits until every journal has named
// its holders.
func startBuffered(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, shape{entries: 3, engines: 2, services: 2, entryYAML: bufferYAML})
	for i, b := range c.backends() {
		kind, serves := "engine", testModel
		if i >= len(c.engines) {
			kind, serves = "service", testService
		}
		c.list(ports.Member{
			ID: b.id, Role: ports.RoleBackend, Address: b.inbound.address(), Region: "r1",
			FailureDomain: fmt.Sprint("r1-", i%3), Kind: kind, Service: serves,
		})
	}
	time.Sleep(8 * time.Second) // The list is read each second and an idle journal's group is looked at every five.
	return c
}

func (c *cluster) backends() []*backendNode {
	return append(c.engines[:len(c.engines):len(c.engines)], c.services...)
}

// metric returns the sum of a metric over the entries that answer.
func (c *cluster) metric(name string) float64 {
	c.t.Helper()
	pattern := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`)
	sum := 0.0
	for _, e := range c.entries {
		response, err := http.Get("http://" + e.operator + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, m := range pattern.FindAllSubmatch(body, -1) {
			n, _ := strconv.ParseFloat(string(m[1]), 64)
			sum += n
		}
	}
	return sum
}

// outage is one run of programs through an outage of the key-value service.
type outage struct {
	c       *cluster
	callers []*caller
	told    [][]string
	seq     int
}

const (
	outageTime     = 20 * time.Second
	outagePrograms = 8
	roundPause     = 400 * time.Millisecond // Keeps programs within their budgets.
)

func startOutage(t *testing.T) *outage {
	t.Helper()
	o := &outage{c: startBuffered(t), told: make([][]string, outagePrograms)}
	for range outagePrograms {
		o.callers = append(o.callers, o.c.newProgram(""))
	}
	o.round(t)
	o.c.fault(o.c.kvAddress, map[string]any{"outage_ms": outageTime.Milliseconds()})
	return o
}

// round makes each program do one model call and one non-idempotent call.
func (o *outage) round(t *testing.T) {
	t.Helper()
	var group sync.WaitGroup
	for p, k := range o.callers {
		group.Go(func() {
			question := fmt.Sprintf("program %d question %d", p, o.seq+1)
			o.told[p] = append(o.told[p], question, k.chatUntilDone(p, o.seq+1, question, 10))
			if a := k.serviceUntilKnown(p, o.seq+2, filing, "{}"); a.code != api.CodeOK {
				t.Errorf("seq %d of program %d: %d %s", o.seq+2, p, a.code, a.body)
			}
		})
	}
	group.Wait()
	o.seq += 2
}

// check compares every history with what its caller was told and counts the effects.
func (o *outage) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for p, k := range o.callers {
		is.Equal(k.history(), o.told[p])
		is.Equal(total(o.c.effects(k.program+"/")), o.seq/2)
	}
	is.Equal(o.c.metric("redwinggauge_journal_gaps_found_total"), 0.0)
}

// Programs go on while the key-value service is away, and an owner that is killed before it has flushed loses nothing.
func TestProgramsGoOnInAnOutage(t *testing.T) {
	t.Parallel()
	o := startOutage(t)
	began := time.Now()
	for time.Since(began) < outageTime-4*time.Second {
		o.round(t)
		time.Sleep(roundPause)
	}
	rounds := o.seq/2 - 1
	seconds := time.Since(began).Seconds()
	t.Logf("%d rounds of %d programs in %.1f s of outage; %.0f entries, %.0f bytes held at each holder, mean %.1f ms to hold",
		rounds, outagePrograms, seconds, o.c.metric("redwinggauge_journal_entries_held_total"),
		o.c.metric("redwinggauge_journal_bytes_held_total"),
		1000*o.c.metric("redwinggauge_journal_hold_seconds_sum")/o.c.metric("redwinggauge_journal_hold_seconds_count"))
	is.New(t).True(o.c.metric("redwinggauge_journal_entries_held_total") > 0)
	owner := o.c.ownerOf(o.callers[0])
	time.Sleep(time.Until(began.Add(outageTime)))
	owner.kill()
	o.round(t)
	owner.launch()
	o.round(t)
	t.Logf("%.0f entries collected by successors", o.c.metric("redwinggauge_journal_entries_collected_total"))
	o.check(t)
	eventually(t, 30*time.Second, "the holders are empty", func() bool { return o.c.bytesHeld() == 0 })
}

// bytesHeld returns the size of the entries that sidecars hold.
func (c *cluster) bytesHeld() int {
	n := 0
	for _, b := range c.backends() {
		response, err := http.Get("http://" + b.inbound.address() + "/metrics")
		if err != nil {
			return -1
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		m := regexp.MustCompile(`(?m)^redwinggauge_sidecar_buffer_bytes\S* (\S+)$`).FindSubmatch(body)
		if m == nil {
			return -1
		}
		held, _ := strconv.Atoi(string(m[1]))
		n += held
	}
	return n
}

// A sidecar is killed and started again in the outage, and an owner is killed in it: the other two holders suffice.
func TestOneHolderIsLostInAnOutage(t *testing.T) {
	t.Parallel()
	o := startOutage(t)
	began := time.Now()
	o.round(t)
	for _, victim := range []*backendNode{o.c.engines[0], o.c.services[1]} { // All of one failure domain.
		victim.sidecar.kill()
		victim.sidecar.launch()
	}
	time.Sleep(time.Second) // A call sent to a sidecar that is just starting may have an unknown outcome.
	o.round(t)
	owner := o.c.ownerOf(o.callers[0])
	owner.kill()
	time.Sleep(time.Until(began.Add(outageTime)))
	owner.launch()
	o.round(t)
	o.check(t)
}

// The owner is frozen in the outage and woken after its successor has served: it acknowledges nothing more.
func TestOwnerFrozenInAnOutageWakesAfterTakeover(t *testing.T) {
	t.Parallel()
	o := startOutage(t)
	began := time.Now()
	o.round(t)
	owner := o.c.ownerOf(o.callers[0])
	owner.freeze()
	time.Sleep(time.Until(began.Add(outageTime)))
	frozen := o.c.entries
	o.c.entries = without(frozen, owner)
	o.round(t)
	owner.wake()
	o.c.entries = frozen
	o.round(t)
	o.check(t)
}

func without(entries []*entryNode, e *entryNode) []*entryNode {
	var rest []*entryNode
	for _, other := range entries {
		if other != e {
			rest = append(rest, other)
		}
	}
	return rest
}

// Two of the three holders and the owner are lost together: the gap is reported, and nothing runs twice.
func TestTwoLostHoldersAreReportedAsAGap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := startOutage(t)
	began := time.Now()
	o.round(t)
	for _, e := range o.c.entries {
		e.kill()
	}
	for _, b := range o.c.backends() {
		b.sidecar.kill()
		b.sidecar.launch()
	}
	time.Sleep(time.Until(began.Add(outageTime)))
	for _, e := range o.c.entries {
		e.launch()
	}
	o.c.waitReady()
	codes := make([]api.Code, len(o.callers))
	var group sync.WaitGroup
	for p, k := range o.callers {
		group.Go(func() { codes[p] = k.chat(p, o.seq+1, "next", 10).code })
	}
	group.Wait()
	for p, k := range o.callers {
		is.Equal(codes[p], api.CodeHistoryGap)
		// A call whose intent may be lost is not run: the first seq that the history lacks.
		is.Equal(k.service(p, o.seq-1, filing, "{}").code, api.CodeOutcomeUnknown)
		is.Equal(total(o.c.effects(k.program+"/")), o.seq/2)
	}
}
