package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// percentile returns the value below which the given share of the durations lies, or 0 if there are none.
func percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// timeToFirstToken returns the time from sending a request for a streamed completion to its first token. It reads the
// response to the end.
func timeToFirstToken(b *testing.B, client *http.Client, address, path string, body []byte) time.Duration {
	b.Helper()
	began := time.Now()
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	first := time.Duration(0)
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data: ") && strings.Contains(lines.Text(), `"content":"`) {
			first = time.Since(began)
		}
	}
	if first == 0 {
		b.Fatal("the response contains no token")
	}
	return first
}

// BenchmarkFirstToken compares the time to the first token through entry and sidecar with that of direct calls of the
// engine. The two are measured alternately.
func BenchmarkFirstToken(b *testing.B) {
	c := startCluster(b, clusterOptions{entries: 1, engines: 1, services: 1, engineArgs: []string{"-decode-rate", "2000", "-prefill-rate", "1000000"}})
	c.submitAndWait(func(config *policy.Config) {
		changeClass(config, "interactive", func(cl *policy.Class) { cl.Budget = policy.Budget{Calls: 1_000_000, Tokens: 1_000_000_000} })
	})
	client := &http.Client{}
	var direct, through []time.Duration
	body := chatBody(b, "[[tokens=4]]", 4, true)
	b.ResetTimer()
	for b.Loop() {
		k := c.newProgram("")
		direct = append(direct, timeToFirstToken(b, client, c.engines[0].address, "/v1/chat/completions", body))
		through = append(through, timeToFirstToken(b, client, c.entries[0].directAddress, k.callPath(1, "chat/completions"), body))
	}
	b.ReportMetric(milliseconds(percentile(direct, 0.5)), "direct-p50-ms")
	b.ReportMetric(milliseconds(percentile(through, 0.5)), "through-p50-ms")
	b.ReportMetric(milliseconds(percentile(through, 0.5)-percentile(direct, 0.5)), "added-p50-ms")
	b.ReportMetric(milliseconds(percentile(through, 0.95)-percentile(direct, 0.95)), "added-p95-ms")
}

// BenchmarkTakeover measures the time from the death of a journal's owner to the completion of the next call of its program,
// with default settings.
func BenchmarkTakeover(b *testing.B) {
	c := startCluster(b, clusterOptions{entries: 3, entryYAML: "", defaultTimeouts: true})
	var gaps []time.Duration
	for b.Loop() {
		k := c.newProgram("")
		k.chatUntilDone(0, 1, "before", 4)
		owner := c.journalOwner(k)
		owner.kill()
		began := time.Now()
		k.chatUntilDone(c.otherEntry(owner), 2, "after", 4)
		gaps = append(gaps, time.Since(began))
		owner.launch()
		c.waitReady()
		time.Sleep(time.Second)
	}
	b.ReportMetric(milliseconds(percentile(gaps, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(percentile(gaps, 0.95)), "p95-ms")
}

// BenchmarkStoreUnderLoad measures the calls of the key-value service and the commit delay for several rates of program
// calls.
func BenchmarkStoreUnderLoad(b *testing.B) {
	for _, rate := range []int{5, 20, 80, 200, 400} {
		b.Run(fmt.Sprintf("%d-calls-per-second", rate), func(b *testing.B) {
			c := startCluster(b, clusterOptions{entries: 2, engines: 4, services: 2, entryYAML: os.Getenv("REDWINGGAUGE_ENTRY_YAML"), engineArgs: fastEngineArgs, kvArgs: []string{"-kv-writes", "300", "-kv-reads", "2000"}})
			for b.Loop() {
				c.measureLoad(b, rate, 8*time.Second)
			}
		})
	}
}

// fastEngineArgs are flags for an engine that is not the bottleneck of a benchmark.
var fastEngineArgs = []string{"-slots", "64", "-decode-rate", "4000", "-prefill-rate", "1000000", "-cache-tokens", "10000000"}

// resourceUsage contains the CPU time and the resident memory of a process.
type resourceUsage struct {
	cpu time.Duration
	rss int // In bytes.
}

// resourceUsageOf reads the resource usage of a process from /proc.
func resourceUsageOf(p *process) resourceUsage {
	const clockTicks = 100
	var u resourceUsage
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		u.cpu = time.Duration(user+system) * time.Second / clockTicks
	}
	if statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid)); err == nil {
		pages, _ := strconv.Atoi(strings.Fields(string(statm))[1])
		u.rss = pages * os.Getpagesize()
	}
	return u
}

// measureLoad runs programs of ten calls each at the given total rate of calls for the duration d. It reports throughput,
// latency, calls of the key-value service and resource usage.
func (c *cluster) measureLoad(b *testing.B, rate int, d time.Duration) {
	before := c.storeCalls()
	entryBefore, sidecarBefore := resourceUsageOf(c.entries[0].process), resourceUsageOf(c.engines[0].sidecar)
	var mu sync.Mutex
	var calls []time.Duration
	var failed int
	var group sync.WaitGroup
	const callsOfProgram = 10
	const pause = 500 * time.Millisecond
	workers := max(1, rate*int(pause)/int(time.Second))
	stop := time.Now().Add(d)
	for w := range workers {
		group.Go(func() {
			time.Sleep(time.Duration(w) * pause / time.Duration(workers))
			for time.Now().Before(stop) {
				k := c.newProgram("")
				for seq := 1; seq <= callsOfProgram && time.Now().Before(stop); seq++ {
					began := time.Now()
					a := k.send(w, "POST", k.callPath(seq, "chat/completions"), chatBody(b, "[[tokens=8]] go on", 8, false))
					took := time.Since(began)
					mu.Lock()
					if a.code == api.CodeOK {
						calls = append(calls, took)
					} else {
						failed++
					}
					mu.Unlock()
					time.Sleep(pause - min(pause, took))
				}
			}
		})
	}
	group.Wait()
	after := c.storeCalls()
	entryAfter, sidecarAfter := resourceUsageOf(c.entries[0].process), resourceUsageOf(c.engines[0].sidecar)
	n := float64(len(calls))
	b.ReportMetric(n/d.Seconds(), "calls/s")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(float64(after.writes-before.writes)/n, "kv-writes/call")
	b.ReportMetric(float64(after.writes-before.writes)/d.Seconds(), "kv-writes/s")
	b.ReportMetric(float64(after.reads-before.reads)/d.Seconds(), "kv-reads/s")
	b.ReportMetric(milliseconds(percentile(calls, 0.5)), "call-p50-ms")
	b.ReportMetric(1000*commitQuantile(b, c, "0.5"), "commit-p50-ms")
	b.ReportMetric(1000*commitQuantile(b, c, "0.99"), "commit-p99-ms")
	b.ReportMetric((entryAfter.cpu-entryBefore.cpu).Seconds()/d.Seconds()*100, "entry-cpu-%")
	b.ReportMetric((sidecarAfter.cpu-sidecarBefore.cpu).Seconds()/d.Seconds()*100, "sidecar-cpu-%")
	b.ReportMetric(float64(entryAfter.rss)/(1<<20), "entry-MB")
	b.ReportMetric(float64(sidecarAfter.rss)/(1<<20), "sidecar-MB")
}

// storeCalls contains numbers of calls of the key-value service.
type storeCalls struct{ writes, reads int64 }

// storeCalls returns the numbers of calls since the key-value service started.
func (c *cluster) storeCalls() storeCalls {
	c.t.Helper()
	var stats struct {
		Calls map[string]int64 `json:"calls"`
	}
	c.requestJSON("GET", c.kvAddress, "/stats", nil, &stats)
	calls := stats.Calls
	return storeCalls{
		writes: calls["txn"] + calls["put"] + calls["deleterange"],
		reads:  calls["range"] + calls["watch"] + calls["lease_keepalive"],
	}
}

// commitQuantile returns the highest value among the entries for a quantile of the commit delay, in seconds.
func commitQuantile(b *testing.B, c *cluster, quantile string) float64 {
	worst := 0.0
	for _, e := range c.entries {
		worst = max(worst, sumMetric(b, e.operatorAddress, `redwinggauge_commit_seconds{quantile="`+quantile+`"}`))
	}
	return worst
}
