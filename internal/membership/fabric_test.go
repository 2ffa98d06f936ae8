package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const datagramHeaderBytes = 28

// fabric is a simulated network that delivers packets between nodes in simulated time.
type fabric struct {
	tb            testing.TB
	cfg           Config
	random        *rand.Rand
	now           time.Time
	nodes         []*host
	byID          map[string]*host
	events        events
	loss          float64                          // Probability that a packet is lost.
	partitioned   map[string]bool                  // Regions that exchange no packets with other regions.
	blocked       func(to *host, body []byte) bool // Reports whether a packet is not delivered; may be nil.
	largestPacket int
	lastOrder     uint64 // Order of the last event that was pushed.
}

// host is a node with counters of its traffic.
type host struct {
	*Node
	region         string
	frozen         bool    // The process is paused.
	stopped        bool    // The process has ended; packets to it are lost.
	sent, received int     // In bytes, with datagram headers.
	packets        int     // Number of packets sent.
	queued         []event // Packets received while frozen.
	nextReport     time.Time
	sidecars       map[string]*fakeSidecar
}

// fakeSidecar is a backend server that answers every watcher until it is stopped.
type fakeSidecar struct {
	id      string
	status  Status
	load    Load
	stopped bool
}

// event is the delivery of a packet or a call of Tick.
type event struct {
	at    time.Time
	order uint64 // Order of events with the same time.
	to    *host
	body  []byte // Nil: a call of Tick.
}

// events is a heap of events in the order of their times.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	tickInterval     = 100 * time.Millisecond
	regionDelay      = 500 * time.Microsecond // Delay of a packet within a region.
	interRegionDelay = 60 * time.Millisecond  // Delay of a packet between two regions.
	reportInterval   = time.Second
)

// newFabric returns a network with the given number of entries, distributed evenly over the regions.
func newFabric(tb testing.TB, cfg Config, seed uint64, entries, regions int) *fabric {
	f := &fabric{
		tb: tb, cfg: cfg, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_800_000_000, 0),
		byID: make(map[string]*host), partitioned: make(map[string]bool),
	}
	var list []Member
	for i := range entries {
		region := fmt.Sprintf("region-%d", i%regions)
		list = append(list, Member{ID: fmt.Sprintf("entry-%03d", i), Region: region, Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256)})
	}
	for _, m := range list {
		f.start(m, list)
	}
	return f
}

// start adds a host for the entry and gives it the membership list.
func (f *fabric) start(m Member, list []Member) *host {
	node, err := New(Identity{ID: m.ID, Region: m.Region, Address: m.Address, Incarnation: m.ID + "-run"}, f.cfg, f.now,
		rand.New(rand.NewPCG(f.random.Uint64(), 3)))
	if err != nil {
		f.tb.Fatal(err)
	}
	h := &host{Node: node, region: m.Region, sidecars: make(map[string]*fakeSidecar)}
	node.SetMembers(f.now, list)
	f.nodes = append(f.nodes, h)
	f.byID[m.ID] = h
	f.push(event{at: f.now.Add(time.Duration(f.random.Int64N(int64(f.cfg.Interval)))), to: h})
	return h
}

// addSidecars distributes the backend servers evenly over the regions.
func (f *fabric) addSidecars(count, regions int) map[string]*fakeSidecar {
	all := make(map[string]*fakeSidecar)
	ids := make(map[string][]string)
	for i := range count {
		region := fmt.Sprintf("region-%d", i%regions)
		s := &fakeSidecar{id: fmt.Sprintf("worker-%04d", i), status: Status{Healthy: true, Slots: 32, Incarnation: "0123456789abcdef"}}
		all[s.id] = s
		ids[region] = append(ids[region], s.id)
	}
	for _, h := range f.nodes {
		h.SetSidecars(f.now, ids[h.region])
		for _, id := range ids[h.region] {
			h.sidecars[id] = all[id]
		}
	}
	return all
}

// push schedules the event.
func (f *fabric) push(e event) {
	f.lastOrder++
	e.order = f.lastOrder
	heap.Push(&f.events, e)
}

// run advances the time by d and processes all events due until then.
func (f *fabric) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		f.deliver(e)
	}
	f.now = end
}

// runUntil advances the time in steps until the condition holds, and returns the time that took.
func (f *fabric) runUntil(limit time.Duration, done func() bool) time.Duration {
	f.tb.Helper()
	begin := f.now
	for !done() {
		if f.now.Sub(begin) > limit {
			f.tb.Fatalf("the condition still does not hold after %s", limit)
		}
		f.run(20 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

// deliver processes an event. Frozen hosts do not call Tick and queue their packets.
func (f *fabric) deliver(e event) {
	h := e.to
	if h.stopped {
		return
	}
	if e.body == nil {
		f.push(event{at: f.now.Add(tickInterval), to: h})
		if !h.frozen {
			f.reportSidecars(h)
			f.transmit(h, h.Tick(f.now))
		}
		return
	}
	if h.frozen {
		h.queued = append(h.queued, e)
		return
	}
	h.received += len(e.body) + datagramHeaderBytes
	out, err := h.Handle(f.now, e.body)
	if err != nil {
		f.tb.Fatalf("%s: %v", h.identity.ID, err)
	}
	f.transmit(h, out)
}

// unfreeze lets a frozen host continue with the packets that it has received in the meantime.
func (f *fabric) unfreeze(h *host) {
	h.frozen = false
	for _, e := range h.queued {
		f.deliver(e)
	}
	h.queued = nil
}

// reportSidecars makes the host report the state of its backend servers once in every reportInterval.
func (f *fabric) reportSidecars(h *host) {
	if f.now.Before(h.nextReport) {
		return
	}
	h.nextReport = f.now.Add(reportInterval)
	for id, s := range h.sidecars {
		if s.stopped {
			h.ReportSilent(f.now, id)
			continue
		}
		if h.Rank(f.now, id) < 0 {
			continue
		}
		s.load.Running = min(max(0, s.load.Running+f.random.IntN(5)-2), s.status.Slots)
		s.load.QueuedTokens = 100 * s.load.Running
		h.ReportSidecar(f.now, id, s.status, s.load)
	}
}

// transmit sends the packets, except those that are lost or blocked.
func (f *fabric) transmit(from *host, packets []Packet) {
	for _, p := range packets {
		from.sent += len(p.Body) + datagramHeaderBytes
		from.packets++
		f.largestPacket = max(f.largestPacket, len(p.Body))
		to := f.byID[p.To]
		otherRegion := to != nil && to.region != from.region
		if to == nil || f.random.Float64() < f.loss || (otherRegion && (f.partitioned[from.region] || f.partitioned[to.region])) ||
			(f.blocked != nil && f.blocked(to, p.Body)) {
			continue
		}
		delay := regionDelay
		if otherRegion {
			delay = interRegionDelay
		}
		f.push(event{at: f.now.Add(delay), to: to, body: p.Body})
	}
}

// runUntilAllAlive runs until every node sees every other one alive.
func (f *fabric) runUntilAllAlive() {
	f.tb.Helper()
	f.runUntil(time.Minute, func() bool { return f.countViews(Alive) == f.livePairs() })
}

// livePairs returns the number of ordered pairs of different hosts that are not stopped.
func (f *fabric) livePairs() int {
	live := 0
	for _, h := range f.nodes {
		if !h.stopped {
			live++
		}
	}
	return live * (live - 1)
}

// countViews returns how many views that running nodes have of another node that is not stopped have the state.
func (f *fabric) countViews(state State) int {
	count := 0
	for _, h := range f.nodes {
		if h.stopped || h.frozen {
			continue
		}
		for _, v := range h.Entries(f.now) {
			if v.State == state && !f.byID[v.ID].stopped {
				count++
			}
		}
	}
	return count
}
