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

// fleets are measured sizes: regions of growing size, then a growing number of regions of the size in sight.
var fleets = []struct{ entries, regions int }{{10, 1}, {40, 1}, {62, 1}, {124, 2}, {370, 6}}

// sidecarsPerEntry is 3,300 backend servers over 370 entries, rounded up.
const sidecarsPerEntry = 9

func BenchmarkFleet(b *testing.B) {
	for _, size := range fleets {
		b.Run(fmt.Sprintf("%d-entries-%d-regions", size.entries, size.regions), func(b *testing.B) {
			for range b.N {
				f, sidecars := steady(b, DefaultConfig(), size.entries, size.regions)
				measureCost(b, f)
				measureAges(b, f)
				measureRevision(b, f)
				measureSidecars(b, f, sidecars)
				measureDeaths(b, f)
			}
		})
	}
}

// BenchmarkMesh has every entry probe every other and watch every backend server.
func BenchmarkMesh(b *testing.B) {
	for _, entries := range []int{10, 40, 62} {
		b.Run(fmt.Sprintf("%d-entries", entries), func(b *testing.B) {
			for range b.N {
				cfg := DefaultConfig()
				cfg.FullMesh = entries
				f, _ := steady(b, cfg, entries, 1)
				measureCost(b, f)
				measureDeaths(b, f)
			}
		})
	}
}

// steady returns a fleet that has run for a while.
func steady(tb testing.TB, cfg Config, entries, regions int) (*fabric, map[string]*fakeSidecar) {
	f := newFabric(tb, cfg, 11, entries, regions)
	sidecars := f.addSidecars(entries*sidecarsPerEntry, regions)
	tb.Logf("all entries know each other after %s", f.until(2*time.Minute, func() bool { return f.count(Alive) == f.pairs() }))
	f.run(30 * time.Second)
	return f, sidecars
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost reports traffic, processor time and memory of a node in a steady fleet. The fabric's own share is in it.
func measureCost(b *testing.B, f *fabric) {
	const window = 60 * time.Second
	for _, h := range f.nodes {
		h.sent, h.got, h.messages = 0, 0, 0
	}
	cpu := cpuTime()
	f.run(window)
	cpu = cpuTime() - cpu
	var sent, got, messages, most int
	for _, h := range f.nodes {
		sent, got, messages = sent+h.sent, got+h.got, messages+h.messages
		most = max(most, h.sent+h.got)
	}
	perNode := float64(len(f.nodes)) * window.Seconds()
	b.ReportMetric(float64(sent)/perNode, "sent-B/s")
	b.ReportMetric(float64(got)/perNode, "got-B/s")
	b.ReportMetric(float64(most)/window.Seconds(), "most-B/s")
	b.ReportMetric(float64(messages)/perNode, "msgs/s")
	b.ReportMetric(100*cpu.Seconds()/perNode, "core-%")
	b.ReportMetric(float64(f.largest), "largest-B")
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(len(f.nodes))/1024, "heap-KB")
}

// logTimes prints a distribution.
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

// measureAges shows how old the facts about backend servers are where decisions are made.
func measureAges(tb testing.TB, f *fabric) {
	var confirmed, load []time.Duration
	for range 10 {
		f.run(730 * time.Millisecond)
		for _, h := range f.nodes {
			for _, id := range h.watching.sidecars {
				if v, ok := h.Sidecar(f.now, id); ok {
					confirmed, load = append(confirmed, v.Age), append(load, v.LoadAge)
				}
			}
		}
	}
	logTimes(tb, "age of a sidecar's last answer", confirmed)
	logTimes(tb, "age of its last published load", load)
}

// spread collects, over all live hosts that concerns holds for, the time from now until each sees the condition.
func (f *fabric) spread(limit time.Duration, concerns, sees func(*host) bool) []time.Duration {
	f.tb.Helper()
	begin := f.now
	done := make(map[*host]bool)
	var times []time.Duration
	f.until(limit, func() bool {
		all := true
		for _, h := range f.nodes {
			if done[h] || h.gone || h.frozen || !concerns(h) {
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

func everyone(*host) bool { return true }

func measureRevision(tb testing.TB, f *fabric) {
	var times []time.Duration
	for revision := uint64(1); revision <= 10; revision++ {
		f.nodes[f.random.IntN(len(f.nodes))].SetRevision(revision)
		times = append(times, f.spread(time.Minute, everyone, func(h *host) bool { return h.Revision() >= revision })...)
		f.run(time.Second)
	}
	logTimes(tb, "configuration revision known to an entry", times)
}

func measureSidecars(tb testing.TB, f *fabric, sidecars map[string]*fakeSidecar) {
	var draining, dead []time.Duration
	for trial := range 10 {
		s := sidecars[fmt.Sprintf("worker-%04d", trial*len(sidecars)/10)]
		near := func(h *host) bool { return h.sidecars[s.id] != nil }
		s.status.Draining = true
		draining = append(draining, f.spread(time.Minute, near, func(h *host) bool {
			v, _ := h.Sidecar(f.now, s.id)
			return v.Status.Draining
		})...)
		s.gone = true
		dead = append(dead, f.spread(time.Minute, near, func(h *host) bool {
			v, _ := h.Sidecar(f.now, s.id)
			return v.Status.Silent
		})...)
	}
	logTimes(tb, "draining sidecar known to an entry", draining)
	logTimes(tb, "silent sidecar known to an entry", dead)
}

// measureDeaths kills entries one after the other; each is back before the next.
func measureDeaths(tb testing.TB, f *fabric) {
	var near, far, leaving []time.Duration
	for range 8 {
		victim := f.nodes[f.random.IntN(len(f.nodes))]
		if victim.gone {
			continue
		}
		id := victim.identity.ID
		others := func(h *host) bool { return h != victim }
		victim.SetLeaving(f.now, true)
		leaving = append(leaving, f.spread(time.Minute, others, func(h *host) bool {
			v, _ := h.Entry(f.now, id)
			return v.Leaving
		})...)
		victim.gone = true
		begin := f.now
		f.spread(time.Minute, everyone, func(h *host) bool {
			v, _ := h.Entry(f.now, id)
			if v.State == Dead && h.region == victim.region {
				near = append(near, f.now.Sub(begin))
			} else if v.State == Dead {
				far = append(far, f.now.Sub(begin))
			}
			return v.State == Dead
		})
		f.start(Member{ID: id, Region: victim.region, Address: victim.identity.Address}, nil).SetMembers(f.now, f.list())
		f.run(8 * time.Second)
	}
	logTimes(tb, "leaving entry known to an entry", leaving)
	logTimes(tb, "dead entry known in its region", near)
	logTimes(tb, "dead entry known in other regions", far)
}

// list returns the membership list of the fleet.
func (f *fabric) list() []Member {
	var out []Member
	for id, h := range f.byID {
		out = append(out, Member{ID: id, Region: h.region, Address: h.identity.Address})
	}
	return out
}

// BenchmarkFaults counts live entries taken for dead, summed over all views and samples, under loss and pauses, and
// follows a region through a cut of an hour.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		f, _ := steady(b, DefaultConfig(), 62, 1)
		f.loss = 0.01
		b.Logf("1%% of packets lost for 10 minutes: %d views of a live entry as dead", f.falseDeaths(10*time.Minute, nil))
		f.loss = 0
		var back []time.Duration
		wrong := 0
		for i := range 10 {
			victim := f.nodes[i]
			victim.frozen = true
			wrong += f.falseDeaths(5*time.Second, victim)
			f.thaw(victim)
			back = append(back, f.spread(time.Minute, func(h *host) bool { return h != victim }, func(h *host) bool {
				v, _ := h.Entry(f.now, victim.identity.ID)
				return v.State == Alive
			})...)
			wrong += f.falseDeaths(10*time.Second, victim)
		}
		b.Logf("10 freezes of 5 s: %d views of another live entry as dead", wrong)
		logTimes(b, "frozen entry alive again in a view", back)
		cutRegion(b, hourlong())
	}
}

func hourlong() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("CUT")); err == nil {
		return d
	}
	return time.Hour
}

// falseDeaths counts the views, twice a second, in which a live entry other than except is dead.
func (f *fabric) falseDeaths(d time.Duration, except *host) int {
	count := 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(500 * time.Millisecond)
		for _, h := range f.nodes {
			for _, v := range h.Entries(f.now) {
				if v.State == Dead && f.byID[v.ID] != except && h != except && !f.byID[v.ID].gone {
					count++
				}
			}
		}
	}
	return count
}

func cutRegion(b *testing.B, d time.Duration) {
	f, _ := steady(b, DefaultConfig(), 72, 6)
	f.cut["region-0"] = true
	f.run(time.Minute)
	b.Logf("region cut: %d of %d views unreachable, %d dead", f.count(Unreachable), 2*12*60, f.count(Dead))
	f.run(d - time.Minute)
	b.Logf("after %s: %d unreachable, %d dead; %d KB of heap a node", d, f.count(Unreachable), f.count(Dead), heapKB(f))
	f.nodes[1].SetRevision(99)
	f.nodes[1].SetFences(f.now, []Fence{{Journal: 1, Number: 5}})
	f.run(5 * time.Second)
	f.cut["region-0"] = false
	logTimes(b, "revision known after the cut ends", f.spread(5*time.Minute, everyone, func(h *host) bool { return h.Revision() == 99 }))
	logTimes(b, "ownership known after that", f.spread(5*time.Minute, everyone, func(h *host) bool {
		_, _, ok := h.Owner(f.now, 1)
		return ok
	}))
	b.Logf("all entries alive in all views after %s more", f.until(5*time.Minute, func() bool { return f.count(Alive) == f.pairs() }))
}

func heapKB(f *fabric) int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc) / len(f.nodes) / 1024
}

// BenchmarkJSONHeartbeat measures one heartbeat of the full mesh by HTTP and JSON: to a sidecar, and to an entry.
func BenchmarkJSONHeartbeat(b *testing.B) {
	fences := []api.Fence{{Journal: 17, Number: 123456}}
	load := api.Load{Healthy: true, Running: 17, Queued: 2, Slots: 32, QueuedTokens: 5200, PrefillRate: 5123.4, DecodeRate: 31.2, CacheCapacity: 400000, CacheUsed: 200000}
	request := api.ExchangeRequest{Entry: "entry-017", Incarnation: "0123456789abcdef", ConfigRevision: 1701, Fences: fences, HoldMS: 30000}
	response := api.ExchangeResponse{Sidecar: "worker-0017", Incarnation: "0123456789abcdef", ConfigRevision: 1701, Load: load}
	peer := api.PeerExchange{Entry: "entry-017", Incarnation: "0123456789abcdef", Address: "10.0.1.17:7001", ConfigRevision: 1701, ConfigAgeMS: 512, Fences: fences}
	b.Run("sidecar", func(b *testing.B) { benchExchange(b, api.PathExchange, &request, &response) })
	b.Run("entry", func(b *testing.B) { benchExchange(b, api.PathPeers, &peer, &peer) })
	packet := api.PeerExchange{Packet: make([]byte, 419)} // The mean packet of 370 entries.
	b.Run("packet", func(b *testing.B) { benchExchange(b, api.PathPeers, &packet, &peer) })
}

func benchExchange[Q, A any](b *testing.B, path string, question *Q, answer *A) {
	total := 0
	for range b.N {
		q, _ := json.Marshal(question)
		a, _ := json.Marshal(answer)
		var request fasthttp.Request
		request.SetRequestURI("http://10.0.1.17:7001" + path)
		request.Header.SetMethod("POST")
		request.Header.SetContentType("application/json")
		request.Header.Set(api.HeaderToken, "0123456789abcdef0123456789abcdef")
		request.SetBody(q)
		var response fasthttp.Response
		response.Header.SetContentType("application/json")
		response.SetBody(a)
		total = len(request.String()) + len(response.String())
		var gotQ Q
		var gotA A
		if json.Unmarshal(q, &gotQ) != nil || json.Unmarshal(a, &gotA) != nil {
			b.Fatal("the heartbeat does not decode")
		}
	}
	b.ReportMetric(float64(total), "B/exchange")
}
