package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/membership"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	// staleSidecar is the age of a watcher's word beyond which it no longer counts.
	staleSidecar = 6 * time.Second
	// meetTime is how long listed entries that are not heard of yet count as alive after the protocol begins to decide.
	meetTime = 10 * time.Second
	// keepTime is how long the protocol still decides after the entries have become few.
	keepTime = 5 * time.Second
)

// group runs the membership protocol of this entry. While there are few entries, they exchange their states directly
// and ask every sidecar themselves; the group then only keeps the list.
type group struct {
	config membership.Config

	mu     sync.Mutex // Guards the fields below.
	node   *membership.Node
	self   string
	region string
	many   bool      // More entries are listed than exchange directly.
	since  time.Time // When many began.
	until  time.Time // The protocol decides up to here also without many.
	told   api.PeerExchange
}

func newGroup() *group { return &group{config: membership.DefaultConfig()} }

// update takes the platform's list. The protocol begins once the list names this entry.
func (g *group) update(members []ports.Member, self api.PeerExchange) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []membership.Member
	for _, m := range members {
		if m.Role != ports.RoleEntry {
			continue
		}
		list = append(list, membership.Member{ID: m.ID, Region: m.Region, Address: m.Address})
		if m.ID == self.Entry && g.node == nil {
			if err := g.start(now, &m, &self); err != nil {
				return err
			}
		}
	}
	if g.node == nil {
		return nil
	}
	g.node.SetMembers(now, list)
	many := len(list) > g.config.FullMesh
	if many && !g.many {
		g.since = now
	}
	if many {
		g.until = now.Add(keepTime)
	}
	g.many = many
	return nil
}

// start requires mu.
func (g *group) start(now time.Time, m *ports.Member, self *api.PeerExchange) error {
	node, err := membership.New(membership.Identity{
		ID: m.ID, Region: m.Region, FailureDomain: m.FailureDomain, Address: self.Address, Incarnation: self.Incarnation,
	}, g.config, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return fmt.Errorf("start the membership protocol: %w", err)
	}
	g.node, g.self, g.region = node, m.ID, m.Region
	return nil
}

// bounded reports whether the protocol decides: there are so many entries that each exchanges with a few at a time.
func (g *group) bounded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.many || time.Now().Before(g.until)
}

// direct reports whether this entry exchanges with every other one.
func (g *group) direct() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.many
}

// near reports whether the region is this entry's.
func (g *group) near(region string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return region == g.region
}

// tick tells this entry's state and returns the packets that are due.
func (g *group) tick(self api.PeerExchange) []membership.Packet {
	now := time.Now()
	fences := make([]membership.Fence, 0, len(self.Fences))
	for _, f := range self.Fences {
		fences = append(fences, membership.Fence{Journal: f.Journal, Number: f.Number})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetLeaving(now, self.Leaving)
	g.node.SetRevision(self.ConfigRevision)
	g.node.SetFences(now, fences)
	for _, s := range self.Suspects {
		g.node.ReportCrash(now, membership.Crash{Fingerprint: s.Fingerprint, Crashes: s.Crashes, IDs: s.IDs})
	}
	return g.node.Tick(now)
}

// handle takes a packet and returns the packets that answer it.
func (g *group) handle(packet []byte) ([]membership.Packet, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return nil, nil
	}
	return g.node.Handle(time.Now(), packet)
}

// news returns what other entries have told since the last call: the revision, the owners and the crash suspects.
// It returns nil when there is none.
func (g *group) news() *api.PeerExchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := api.PeerExchange{ConfigRevision: g.node.Revision()}
	for _, f := range g.node.Owners() {
		state.Fences = append(state.Fences, api.Fence{Journal: f.Journal, Number: f.Number})
	}
	for _, c := range g.node.Crashes() {
		state.Suspects = append(state.Suspects, api.Suspect{Fingerprint: c.Fingerprint, Crashes: c.Crashes, IDs: c.IDs})
	}
	if state.ConfigRevision == g.told.ConfigRevision && slices.Equal(state.Fences, g.told.Fences) &&
		slices.EqualFunc(state.Suspects, g.told.Suspects, sameSuspect) {
		return nil
	}
	g.told = state
	return &state
}

func sameSuspect(a, b api.Suspect) bool {
	return a.Fingerprint == b.Fingerprint && a.Crashes == b.Crashes && slices.Equal(a.IDs, b.IDs)
}

// alive reports whether the incarnation of an entry may be serving. An entry of a region that is out of reach may.
func (g *group) alive(id, incarnation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, ok := g.node.Entry(time.Now(), id)
	if !ok || v.State == membership.Dead {
		return false
	}
	if v.State == membership.Unknown {
		return g.meeting()
	}
	return incarnation == "" || v.Incarnation == incarnation
}

// meeting requires mu. It reports whether entries may be alive that this one has not heard of yet.
func (g *group) meeting() bool { return time.Since(g.since) < meetTime }

// candidates returns the ids of the reachable entries that may own journals.
func (g *group) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, v := range g.node.Entries(time.Now()) {
		known := v.State == membership.Alive || v.State == membership.Suspected
		if (known && !v.Leaving) || (v.State == membership.Unknown && g.meeting()) {
			out = append(out, v.ID)
		}
	}
	return out
}

// owner returns the address of another entry that owns the journal, or "".
func (g *group) owner(journal int) (address string, number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, number, ok := g.node.Owner(time.Now(), journal)
	if !ok || v.ID == g.self {
		return "", number
	}
	return v.Address, number
}

func (g *group) setSidecars(ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node != nil {
		g.node.SetSidecars(time.Now(), ids)
	}
}

// rank returns this entry's place among the watchers of the sidecar, or -1.
func (g *group) rank(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Rank(time.Now(), id)
}

// answered tells the others of a watched sidecar's answer.
func (g *group) answered(id string, r *api.ExchangeResponse) {
	l := &r.Load
	status := membership.Status{
		Incarnation: r.Incarnation, Healthy: l.Healthy, Draining: l.Draining, Slots: l.Slots, CacheCapacity: l.CacheCapacity,
		PrefillRate: coarse(l.PrefillRate), DecodeRate: coarse(l.DecodeRate), Revision: r.ConfigRevision,
	}
	load := membership.Load{Running: l.Running, Queued: l.Queued, QueuedTokens: l.QueuedTokens, CacheUsed: l.CacheHeld}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.ReportSidecar(time.Now(), id, status, load)
}

// coarse rounds a rate to a sixteenth of itself, so that its noise is not told.
func coarse(rate float64) float64 {
	step := 1.0
	for step*32 <= rate {
		step *= 2
	}
	return float64(int(rate/step)) * step
}

// silent tells the others that a watched sidecar does not answer.
func (g *group) silent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.ReportSilent(time.Now(), id)
}

// sidecar returns the watchers' word of a sidecar as if it had answered, and the age of its last answer; ok is false
// when there is none of late.
func (g *group) sidecar(id string) (r api.ExchangeResponse, age time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, ok := g.node.Sidecar(time.Now(), id)
	if !ok || v.Status.Silent || v.Age > staleSidecar {
		return api.ExchangeResponse{}, v.Age, false
	}
	return api.ExchangeResponse{
		Sidecar: id, Incarnation: v.Status.Incarnation, ConfigRevision: v.Status.Revision,
		Load: api.Load{
			Healthy: v.Status.Healthy, Draining: v.Status.Draining, Slots: v.Status.Slots,
			Running: v.Load.Running, Queued: v.Load.Queued, QueuedTokens: v.Load.QueuedTokens,
			PrefillRate: v.Status.PrefillRate, DecodeRate: v.Status.DecodeRate,
			CacheCapacity: v.Status.CacheCapacity, CacheHeld: v.Load.CacheUsed,
		},
	}, v.Age, true
}
