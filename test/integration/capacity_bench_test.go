package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// raiseLimits sets budgets, idle timeout and program limit of the configuration so high that a benchmark does not reach
// them.
func raiseLimits(config *policy.Config) {
	changeClass(config, "interactive", func(cl *policy.Class) {
		cl.Budget = policy.Budget{Calls: 1_000_000, Tokens: 1_000_000_000}
		cl.IdleTimeoutMS = 3_600_000
	})
	config.Organisations[0].MaxPrograms = 1_000_000
}

// BenchmarkProgramMemory measures the memory of an entry for several numbers of open programs, each with 4 kB of history.
func BenchmarkProgramMemory(b *testing.B) {
	for _, programs := range []int{1000, 4000, 8000} {
		b.Run(fmt.Sprintf("%d-programs", programs), func(b *testing.B) {
			c := startCluster(b, clusterOptions{entries: 1, engines: 2, services: 1, engineArgs: fastEngineArgs})
			c.submitAndWait(raiseLimits)
			empty := resourceUsageOf(c.entries[0].process)
			for b.Loop() {
				c.startPrograms(programs)
			}
			full := resourceUsageOf(c.entries[0].process)
			heap := sumMetric(b, c.entries[0].operatorAddress, "go_memstats_heap_alloc_bytes")
			b.ReportMetric(float64(full.rss-empty.rss)/float64(programs), "rss-bytes/program")
			b.ReportMetric(heap/float64(programs), "heap-bytes/program")
			b.ReportMetric(float64(full.rss)/(1<<20), "entry-MB")
			b.ReportMetric((full.cpu-empty.cpu).Seconds()/float64(programs)*1000, "entry-cpu-ms/program")
		})
	}
}

// startPrograms creates programs and makes one call for each.
func (c *cluster) startPrograms(programs int) {
	const workers = 64
	text := strings.Repeat("attestation ", 4096/len("attestation "))
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for range programs / workers {
				k := c.newProgram("")
				k.chatUntilDone(w, 1, text+"[[tokens=4]]", 4)
			}
		})
	}
	group.Wait()
}

// BenchmarkStreamedTokens measures the CPU time of entry and sidecar per streamed token for several numbers of concurrent
// streams.
func BenchmarkStreamedTokens(b *testing.B) {
	for _, streams := range []int{10, 40, 120} {
		b.Run(fmt.Sprintf("%d-streams", streams), func(b *testing.B) {
			const rate, tokens = 50, 250
			c := startCluster(b, clusterOptions{entries: 1, engines: 1, services: 1, sidecarYAML: "", slots: 256, engineArgs: []string{
				"-slots", "256", "-decode-rate", fmt.Sprint(rate * 4), "-prefill-rate", "1000000", "-cache-tokens", "10000000",
			}})
			c.submitAndWait(raiseLimits)
			entry, sidecar := resourceUsageOf(c.entries[0].process), resourceUsageOf(c.engines[0].sidecar)
			began := time.Now()
			done := 0
			for b.Loop() {
				var group sync.WaitGroup
				for range streams {
					k := c.newProgram("")
					group.Go(func() { k.streamChat(0, 1, fmt.Sprintf("[[tokens=%d]]", tokens), tokens, nil) })
				}
				group.Wait()
				done += streams * tokens
			}
			took := time.Since(began)
			entryUsed := resourceUsageOf(c.entries[0].process).cpu - entry.cpu
			sidecarUsed := resourceUsageOf(c.engines[0].sidecar).cpu - sidecar.cpu
			b.ReportMetric(float64(done)/took.Seconds(), "tokens/s")
			b.ReportMetric(float64(entryUsed.Microseconds())/float64(done), "entry-cpu-us/token")
			b.ReportMetric(float64(sidecarUsed.Microseconds())/float64(done), "sidecar-cpu-us/token")
		})
	}
}
