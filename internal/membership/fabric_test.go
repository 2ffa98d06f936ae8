package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// datagramBytes is the IPv4 and UDP header of a packet.
const datagramBytes = 28

// fabric carries packets between nodes in simulated time.
type fabric struct {
	tb      testing.TB
	cfg     Config
	random  *rand.Rand
	now     time.Time
	nodes   []*host
	byID    map[string]*host
	events  events
	loss    float64
	cut     map[string]bool // Regions cut off from the others.
	blocked func(to *host, body []byte) bool
	largest int
	order   uint64
}

// host is a node with the counters of its traffic.
type host struct {
	*Node
	region     string
	frozen     bool
	gone       bool
	sent, got  int
	messages   int
	queue      []event // Packets that came while frozen.
	nextReport time.Time
	sidecars   map[string]*fakeSidecar
}

// fakeSidecar answers every watcher.
type fakeSidecar struct {
	id     string
	status Status
	load   Load
	gone   bool
}

type event struct {
	at    time.Time
	order uint64
	to    *host
	body  []byte // Nil: a tick.
}

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
	tickEvery   = 100 * time.Millisecond
	nearDelay   = 500 * time.Microsecond
	farDelay    = 60 * time.Millisecond
	reportEvery = time.Second
)

func newFabric(tb testing.TB, cfg Config, seed uint64, entries, regions int) *fabric {
	f := &fabric{
		tb: tb, cfg: cfg, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_800_000_000, 0),
		byID: make(map[string]*host), cut: make(map[string]bool),
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

// addSidecars gives each region its share of the backend servers.
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

func (f *fabric) push(e event) {
	f.order++
	e.order = f.order
	heap.Push(&f.events, e)
}

// run advances the time.
func (f *fabric) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		f.deliver(e)
	}
	f.now = end
}

// until advances the time in steps until the condition holds, and returns how long that took.
func (f *fabric) until(limit time.Duration, done func() bool) time.Duration {
	f.tb.Helper()
	begin := f.now
	for !done() {
		if f.now.Sub(begin) > limit {
			f.tb.Fatalf("the condition does not hold after %s", limit)
		}
		f.run(20 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

func (f *fabric) deliver(e event) {
	h := e.to
	if h.gone {
		return
	}
	if e.body == nil {
		f.push(event{at: f.now.Add(tickEvery), to: h})
		if !h.frozen {
			f.watch(h)
			f.transmit(h, h.Tick(f.now))
		}
		return
	}
	if h.frozen {
		h.queue = append(h.queue, e)
		return
	}
	h.got += len(e.body) + datagramBytes
	out, err := h.Handle(f.now, e.body)
	if err != nil {
		f.tb.Fatalf("%s: %v", h.identity.ID, err)
	}
	f.transmit(h, out)
}

// thaw lets a frozen host go on with what has come meanwhile.
func (f *fabric) thaw(h *host) {
	h.frozen = false
	for _, e := range h.queue {
		f.deliver(e)
	}
	h.queue = nil
}

// watch has the host report the backend servers that it watches.
func (f *fabric) watch(h *host) {
	if f.now.Before(h.nextReport) {
		return
	}
	h.nextReport = f.now.Add(reportEvery)
	for id, s := range h.sidecars {
		if s.gone {
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

func (f *fabric) transmit(from *host, packets []Packet) {
	for _, p := range packets {
		from.sent += len(p.Body) + datagramBytes
		from.messages++
		f.largest = max(f.largest, len(p.Body))
		to := f.byID[p.To]
		far := to != nil && to.region != from.region
		if to == nil || f.random.Float64() < f.loss || (far && (f.cut[from.region] || f.cut[to.region])) ||
			(f.blocked != nil && f.blocked(to, p.Body)) {
			continue
		}
		delay := nearDelay
		if far {
			delay = farDelay
		}
		f.push(event{at: f.now.Add(delay), to: to, body: p.Body})
	}
}

// settle runs until every node knows every other to be alive.
func (f *fabric) settle() {
	f.tb.Helper()
	f.until(time.Minute, func() bool { return f.count(Alive) == f.pairs() })
}

func (f *fabric) pairs() int {
	live := 0
	for _, h := range f.nodes {
		if !h.gone {
			live++
		}
	}
	return live * (live - 1)
}

// count returns in how many views of live nodes another live node has the state.
func (f *fabric) count(state State) int {
	count := 0
	for _, h := range f.nodes {
		if h.gone || h.frozen {
			continue
		}
		for _, v := range h.Entries(f.now) {
			if v.State == state && !f.byID[v.ID].gone {
				count++
			}
		}
	}
	return count
}
