package membership

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// benchmarkSizes are fleets with one region of growing size, then with a growing number of regions of about the largest size.
var benchmarkSizes = []struct{ entries, regions int }{{10, 1}, {40, 1}, {62, 1}, {124, 2}, {370, 6}}

// sidecarsPerEntry corresponds to 3,300 backend servers for 370 entries, rounded up.
const sidecarsPerEntry = 9

func BenchmarkFleet(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("%d-entries-%d-regions", size.entries, size.regions), func(b *testing.B) {
			for range b.N {
				f, sidecars := newSteadyFabric(b, DefaultConfig(), size.entries, size.regions)
				measureCost(b, f)
				measureAges(b, f)
				measureRevision(b, f)
				measureSidecars(b, f, sidecars)
				measureDeaths(b, f)
			}
		})
	}
}

// BenchmarkMesh measures fleets in which every entry probes every other one and watches every backend server.
func BenchmarkMesh(b *testing.B) {
	for _, entries := range []int{10, 40, 62} {
		b.Run(fmt.Sprintf("%d-entries", entries), func(b *testing.B) {
			for range b.N {
				cfg := DefaultConfig()
				cfg.FullMesh = entries
				f, _ := newSteadyFabric(b, cfg, entries, 1)
				measureCost(b, f)
				measureDeaths(b, f)
			}
		})
	}
}

// newSteadyFabric returns a fleet that has run for 30 s after all entries have seen each other alive.
func newSteadyFabric(tb testing.TB, cfg Config, entries, regions int) (*fabric, map[string]*fakeSidecar) {
	f := newFabric(tb, cfg, 11, entries, regions)
	sidecars := f.addSidecars(entries*sidecarsPerEntry, regions)
	tb.Logf("all entries see each other alive after %s", f.runUntil(2*time.Minute, func() bool { return f.countViews(Alive) == f.livePairs() }))
	f.run(30 * time.Second)
	return f, sidecars
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost reports traffic, processor time and memory per node in a steady fleet. The figures for processor time and
// memory include the simulation itself.
func measureCost(b *testing.B, f *fabric) {
	const window = 60 * time.Second
	for _, h := range f.nodes {
		h.sent, h.received, h.packets = 0, 0, 0
	}
	cpu := cpuTime()
	f.run(window)
	cpu = cpuTime() - cpu
	var sent, received, packets, maxTraffic int
	for _, h := range f.nodes {
		sent, received, packets = sent+h.sent, received+h.received, packets+h.packets
		maxTraffic = max(maxTraffic, h.sent+h.received)
	}
	perNode := float64(len(f.nodes)) * window.Seconds()
	b.ReportMetric(float64(sent)/perNode, "sent-B/s")
	b.ReportMetric(float64(received)/perNode, "got-B/s")
	b.ReportMetric(float64(maxTraffic)/window.Seconds(), "most-B/s")
	b.ReportMetric(float64(packets)/perNode, "msgs/s")
	b.ReportMetric(100*cpu.Seconds()/perNode, "core-%")
	b.ReportMetric(float64(f.largestPacket), "largest-B")
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(len(f.nodes))/1024, "heap-KB")
}

// logTimes logs quantiles of the times.
func logTimes(tb testing.TB, what string, times []time.Duration) {
	if len(times) == 0 {
		tb.Logf("%s: none", what)
		return
	}
	slices.Sort(times)
	at := func(q float64) time.Duration {
		return times[min(len(times)-1, int(q*float64(len(times))))].Round(10 * time.Millisecond)
	}
	tb.Logf("%-42s n=%-6d p50 %-6s p95 %-6s p99 %-6s max %s", what, len(times), at(.5), at(.95), at(.99), at(1))
}

// measureAges logs the age of the views that entries have of the backend servers of their region.
func measureAges(tb testing.TB, f *fabric) {
	var confirmed, load []time.Duration
	for range 10 {
		f.run(730 * time.Millisecond)
		for _, h := range f.nodes {
			for _, id := range h.watch.sidecars {
				if v, ok := h.Sidecar(f.now, id); ok {
					confirmed, load = append(confirmed, v.Age), append(load, v.LoadAge)
				}
			}
		}
	}
	logTimes(tb, "age of a sidecar's last answer", confirmed)
	logTimes(tb, "age of its last published load", load)
}

// propagationTimes returns, for each running host for which relevant returns true, the time from now until sees holds for
// it.
func (f *fabric) propagationTimes(limit time.Duration, relevant, sees func(*host) bool) []time.Duration {
	f.tb.Helper()
	begin := f.now
	done := make(map[*host]bool)
	var times []time.Duration
	f.runUntil(limit, func() bool {
		all := true
		for _, h := range f.nodes {
			if done[h] || h.stopped || h.frozen || !relevant(h) {
				continue
			}
			if !sees(h) {
				all = false
				continue
			}
			done[h] = true
			times = append(times, f.now.Sub(begin))
		}
		return all
	})
	return times
}

func anyHost(*host) bool { return true }

// measureRevision logs how long it takes until entries know a new configuration revision.
func measureRevision(tb testing.TB, f *fabric) {
	var times []time.Duration
	for revision := uint64(1); revision <= 10; revision++ {
		f.nodes[f.random.IntN(len(f.nodes))].SetRevision(revision)
		times = append(times, f.propagationTimes(time.Minute, anyHost, func(h *host) bool { return h.Revision() >= revision })...)
		f.run(time.Second)
	}
	logTimes(tb, "configuration revision known to an entry", times)
}

// measureSidecars logs how long it takes until the entries of a region know that a backend server drains or is silent.
func measureSidecars(tb testing.TB, f *fabric, sidecars map[string]*fakeSidecar) {
	var draining, dead []time.Duration
	for trial := range 10 {
		s := sidecars[fmt.Sprintf("worker-%04d", trial*len(sidecars)/10)]
		inRegion := func(h *host) bool { return h.sidecars[s.id] != nil }
		s.status.Draining = true
		draining = append(draining, f.propagationTimes(time.Minute, inRegion, func(h *host) bool {
			v, _ := h.Sidecar(f.now, s.id)
			return v.Status.Draining
		})...)
		s.stopped = true
		dead = append(dead, f.propagationTimes(time.Minute, inRegion, func(h *host) bool {
			v, _ := h.Sidecar(f.now, s.id)
			return v.Status.Silent
		})...)
	}
	logTimes(tb, "draining sidecar known to an entry", draining)
	logTimes(tb, "silent sidecar known to an entry", dead)
}

// measureDeaths logs how long it takes until entries know that another one is leaving or dead. Each stopped entry is
// restarted before the next one stops.
func measureDeaths(tb testing.TB, f *fabric) {
	var sameRegion, otherRegions, leaving []time.Duration
	for range 8 {
		victim := f.nodes[f.random.IntN(len(f.nodes))]
		if victim.stopped {
			continue
		}
		id := victim.identity.ID
		others := func(h *host) bool { return h != victim }
		victim.SetLeaving(f.now, true)
		leaving = append(leaving, f.propagationTimes(time.Minute, others, func(h *host) bool {
			v, _ := h.Entry(f.now, id)
			return v.Leaving
		})...)
		victim.stopped = true
		begin := f.now
		f.propagationTimes(time.Minute, anyHost, func(h *host) bool {
			v, _ := h.Entry(f.now, id)
			if v.State == Dead && h.region == victim.region {
				sameRegion = append(sameRegion, f.now.Sub(begin))
			} else if v.State == Dead {
				otherRegions = append(otherRegions, f.now.Sub(begin))
			}
			return v.State == Dead
		})
		f.start(Member{ID: id, Region: victim.region, Address: victim.identity.Address}, nil).SetMembers(f.now, f.memberList())
		f.run(8 * time.Second)
	}
	logTimes(tb, "leaving entry known to an entry", leaving)
	logTimes(tb, "dead entry known in its region", sameRegion)
	logTimes(tb, "dead entry known in other regions", otherRegions)
}

// memberList returns the membership list of the fleet.
func (f *fabric) memberList() []Member {
	var out []Member
	for id, h := range f.byID {
		out = append(out, Member{ID: id, Region: h.region, Address: h.identity.Address})
	}
	return out
}

// BenchmarkFaults counts the views in which a live entry is dead, summed over all samples, while packets are lost and
// entries are paused. It also cuts a region off from the others for an hour and measures the recovery.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		f, _ := newSteadyFabric(b, DefaultConfig(), 62, 1)
		f.loss = 0.01
		b.Logf("1%% of packets lost for 10 minutes: %d views in which a live entry is dead", f.falseDeaths(10*time.Minute, nil))
		f.loss = 0
		var recoveryTimes []time.Duration
		falseViews := 0
		for i := range 10 {
			victim := f.nodes[i]
			victim.frozen = true
			falseViews += f.falseDeaths(5*time.Second, victim)
			f.unfreeze(victim)
			recoveryTimes = append(recoveryTimes, f.propagationTimes(time.Minute, func(h *host) bool { return h != victim }, func(h *host) bool {
				v, _ := h.Entry(f.now, victim.identity.ID)
				return v.State == Alive
			})...)
			falseViews += f.falseDeaths(10*time.Second, victim)
		}
		b.Logf("10 pauses of 5 s: %d views in which another live entry is dead", falseViews)
		logTimes(b, "paused entry alive again in a view", recoveryTimes)
		measurePartition(b, partitionDuration())
	}
}

// partitionDuration returns how long a region is cut off: one hour, or the duration in the environment variable CUT.
func partitionDuration() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("CUT")); err == nil {
		return d
	}
	return time.Hour
}

// falseDeaths runs for d and counts, twice a second, the views in which a live entry is dead. It ignores the views of and by
// except.
func (f *fabric) falseDeaths(d time.Duration, except *host) int {
	count := 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(500 * time.Millisecond)
		for _, h := range f.nodes {
			for _, v := range h.Entries(f.now) {
				if v.State == Dead && f.byID[v.ID] != except && h != except && !f.byID[v.ID].stopped {
					count++
				}
			}
		}
	}
	return count
}

// measurePartition cuts one region off for d, and logs the views and the memory before and the recovery after it is
// connected again.
func measurePartition(b *testing.B, d time.Duration) {
	f, _ := newSteadyFabric(b, DefaultConfig(), 72, 6)
	f.partitioned["region-0"] = true
	f.run(time.Minute)
	b.Logf("region cut off: %d of %d views unreachable, %d dead", f.countViews(Unreachable), 2*12*60, f.countViews(Dead))
	f.run(d - time.Minute)
	b.Logf("after %s: %d unreachable, %d dead; %d KB of heap per node", d, f.countViews(Unreachable), f.countViews(Dead), heapKB(f))
	f.nodes[1].SetRevision(99)
	f.nodes[1].SetFences(f.now, []Fence{{Journal: 1, Number: 5}})
	f.run(5 * time.Second)
	f.partitioned["region-0"] = false
	logTimes(b, "revision known after reconnection", f.propagationTimes(5*time.Minute, anyHost, func(h *host) bool { return h.Revision() == 99 }))
	logTimes(b, "ownership known after that", f.propagationTimes(5*time.Minute, anyHost, func(h *host) bool {
		_, _, ok := h.Owner(f.now, 1)
		return ok
	}))
	b.Logf("all entries alive in all views after another %s", f.runUntil(5*time.Minute, func() bool { return f.countViews(Alive) == f.livePairs() }))
}

// heapKB returns the heap memory per node in KB, including that of the simulation.
func heapKB(f *fabric) int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc) / len(f.nodes) / 1024
}

// BenchmarkJSONHeartbeat measures size and processor time of one heartbeat by HTTP and JSON: to a sidecar, to an entry, and
// to an entry with a packet of this protocol.
func BenchmarkJSONHeartbeat(b *testing.B) {
	fences := []api.Fence{{Journal: 17, Number: 123456}}
	load := api.Load{Healthy: true, Running: 17, Queued: 2, Slots: 32, QueuedTokens: 5200, PrefillRate: 5123.4, DecodeRate: 31.2, CacheCapacity: 400000, CacheUsed: 200000}
	request := api.ExchangeRequest{Entry: "entry-017", Incarnation: "0123456789abcdef", ConfigRevision: 1701, Fences: fences, HoldMS: 30000}
	response := api.ExchangeResponse{Sidecar: "worker-0017", Incarnation: "0123456789abcdef", ConfigRevision: 1701, Load: load}
	peer := api.PeerExchange{Entry: "entry-017", Incarnation: "0123456789abcdef", Address: "10.0.1.17:7001", ConfigRevision: 1701, ConfigAgeMS: 512, Fences: fences}
	b.Run("sidecar", func(b *testing.B) { benchmarkExchange(b, api.PathExchange, &request, &response) })
	b.Run("entry", func(b *testing.B) { benchmarkExchange(b, api.PathPeers, &peer, &peer) })
	packet := api.PeerExchange{Packet: make([]byte, 419)} // Mean size of a packet with 370 entries.
	b.Run("packet", func(b *testing.B) { benchmarkExchange(b, api.PathPeers, &packet, &peer) })
}

func benchmarkExchange[Req, Resp any](b *testing.B, path string, requestBody *Req, responseBody *Resp) {
	total := 0
	for range b.N {
		requestData, _ := json.Marshal(requestBody)
		responseData, _ := json.Marshal(responseBody)
		var request fasthttp.Request
		request.SetRequestURI("http://10.0.1.17:7001" + path)
		request.Header.SetMethod("POST")
		request.Header.SetContentType("application/json")
		request.Header.Set(api.HeaderToken, "0123456789abcdef0123456789abcdef")
		request.SetBody(requestData)
		var response fasthttp.Response
		response.Header.SetContentType("application/json")
		response.SetBody(responseData)
		total = len(request.String()) + len(response.String())
		var decodedRequest Req
		var decodedResponse Resp
		if json.Unmarshal(requestData, &decodedRequest) != nil || json.Unmarshal(responseData, &decodedResponse) != nil {
			b.Fatal("the heartbeat cannot be decoded")
		}
	}
	b.ReportMetric(float64(total), "B/exchange")
}
