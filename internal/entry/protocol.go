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
	// maxWatcherReportAge is the age above which a watcher's report of a sidecar is ignored.
	maxWatcherReportAge = 6 * time.Second
	// discoveryGrace is how long listed entries whose state is not known yet count as alive after the number of entries
	// has grown beyond a full mesh.
	discoveryGrace = 10 * time.Second
	// protocolLinger is how long the protocol stays active after the number of entries has fallen to a full mesh again.
	protocolLinger = 5 * time.Second
)

// protocol runs this entry's node of the membership protocol. Up to membership.Config.FullMesh entries exchange their
// states directly, and each of them exchanges with every sidecar; the node then only keeps the list of entries. With more
// entries, the protocol becomes active: each entry exchanges packets with a few others at a time, and each sidecar is
// watched by a few entries, which report its state to the others.
type protocol struct {
	config membership.Config

	mu            sync.Mutex       // Guards the fields below.
	node          *membership.Node // nil until the membership list contains this entry; the protocol is inactive until then.
	self          string           // Id of this entry.
	region        string           // Region of this entry.
	aboveFullMesh bool             // More entries are listed than config.FullMesh.
	aboveSince    time.Time        // When aboveFullMesh was last set.
	activeUntil   time.Time        // The protocol stays active until then, even if aboveFullMesh is no longer set.
	lastReturned  api.PeerExchange // Last state that changedState returned.
}

func newProtocol() *protocol { return &protocol{config: membership.DefaultConfig()} }

// update applies the platform's membership list. The node is created once the list contains this entry.
func (p *protocol) update(members []ports.Member, self api.PeerExchange) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []membership.Member
	for _, m := range members {
		if m.Role != ports.RoleEntry {
			continue
		}
		list = append(list, membership.Member{ID: m.ID, Region: m.Region, Address: m.Address})
		if m.ID == self.Entry && p.node == nil {
			if err := p.start(now, &m, &self); err != nil {
				return err
			}
		}
	}
	if p.node == nil {
		return nil
	}
	p.node.SetMembers(now, list)
	above := len(list) > p.config.FullMesh
	if above && !p.aboveFullMesh {
		p.aboveSince = now
	}
	if above {
		p.activeUntil = now.Add(protocolLinger)
	}
	p.aboveFullMesh = above
	return nil
}

// start creates the node. The caller holds mu.
func (p *protocol) start(now time.Time, m *ports.Member, self *api.PeerExchange) error {
	node, err := membership.New(membership.Identity{
		ID: m.ID, Region: m.Region, FailureDomain: m.FailureDomain, Address: self.Address, Incarnation: self.Incarnation,
	}, p.config, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return fmt.Errorf("start the membership protocol: %w", err)
	}
	p.node, p.self, p.region = node, m.ID, m.Region
	return nil
}

// active reports whether liveness, owners and sidecar states come from the protocol: there are, or were until a short
// time ago, more entries than exchange directly.
func (p *protocol) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aboveFullMesh || time.Now().Before(p.activeUntil)
}

// fullMesh reports whether this entry exchanges directly with every other one.
func (p *protocol) fullMesh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.aboveFullMesh
}

// sameRegion reports whether the region is this entry's.
func (p *protocol) sameRegion(region string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return region == p.region
}

// tick updates this entry's own state in the protocol and returns the packets that are due.
func (p *protocol) tick(self api.PeerExchange) []membership.Packet {
	now := time.Now()
	fences := make([]membership.Fence, 0, len(self.Fences))
	for _, f := range self.Fences {
		fences = append(fences, membership.Fence{Journal: f.Journal, Number: f.Number})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetLeaving(now, self.Leaving)
	p.node.SetRevision(self.ConfigRevision)
	p.node.SetFences(now, fences)
	for _, s := range self.Suspects {
		p.node.ReportCrash(now, membership.Crash{Fingerprint: s.Fingerprint, Crashes: s.Crashes, IDs: s.IDs})
	}
	return p.node.Tick(now)
}

// handlePacket handles a received packet and returns the packets that answer it.
func (p *protocol) handlePacket(packet []byte) ([]membership.Packet, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return nil, nil
	}
	return p.node.Handle(time.Now(), packet)
}

// changedState returns the configuration revision, the owners' fences and the crash suspects that the protocol knows of, or
// nil if they have not changed since the last call that returned them.
func (p *protocol) changedState() *api.PeerExchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := api.PeerExchange{ConfigRevision: p.node.Revision()}
	for _, f := range p.node.Owners() {
		state.Fences = append(state.Fences, api.Fence{Journal: f.Journal, Number: f.Number})
	}
	for _, c := range p.node.Crashes() {
		state.Suspects = append(state.Suspects, api.Suspect{Fingerprint: c.Fingerprint, Crashes: c.Crashes, IDs: c.IDs})
	}
	if state.ConfigRevision == p.lastReturned.ConfigRevision && slices.Equal(state.Fences, p.lastReturned.Fences) &&
		slices.EqualFunc(state.Suspects, p.lastReturned.Suspects, sameSuspect) {
		return nil
	}
	p.lastReturned = state
	return &state
}

func sameSuspect(a, b api.Suspect) bool {
	return a.Fingerprint == b.Fingerprint && a.Crashes == b.Crashes && slices.Equal(a.IDs, b.IDs)
}

// alive reports whether the given incarnation of an entry may be serving. This includes entries in regions that cannot be
// reached. An empty incarnation matches any.
func (p *protocol) alive(id, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.node.Entry(time.Now(), id)
	if !ok || v.State == membership.Dead {
		return false
	}
	if v.State == membership.Unknown {
		return p.inDiscoveryGrace()
	}
	return incarnation == "" || v.Incarnation == incarnation
}

// inDiscoveryGrace reports whether listed entries whose state this one does not know yet may be alive. The caller holds mu.
func (p *protocol) inDiscoveryGrace() bool { return time.Since(p.aboveSince) < discoveryGrace }

// candidates returns the ids of the reachable entries that may own journals. During the discovery grace this includes
// entries whose state is not known yet.
func (p *protocol) candidates() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, v := range p.node.Entries(time.Now()) {
		known := v.State == membership.Alive || v.State == membership.Suspected
		if (known && !v.Leaving) || (v.State == membership.Unknown && p.inDiscoveryGrace()) {
			out = append(out, v.ID)
		}
	}
	return out
}

// owner returns the address and fencing number of the other entry that owns the journal. The address is "" if no other
// entry is known to own it.
func (p *protocol) owner(journal int) (address string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, number, ok := p.node.Owner(time.Now(), journal)
	if !ok || v.ID == p.self {
		return "", number
	}
	return v.Address, number
}

// setSidecars passes the ids of the listed sidecars to the protocol, which assigns watchers to them.
func (p *protocol) setSidecars(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node != nil {
		p.node.SetSidecars(time.Now(), ids)
	}
}

// watcherRank returns this entry's rank among the watchers of the sidecar, with 0 for the primary watcher, or -1 if it is
// not one of them.
func (p *protocol) watcherRank(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Rank(time.Now(), id)
}

// reportResponse passes a sidecar's answer to the protocol, which spreads it to the other entries.
func (p *protocol) reportResponse(id string, r *api.ExchangeResponse) {
	l := &r.Load
	status := membership.Status{
		Incarnation: r.Incarnation, Healthy: l.Healthy, Draining: l.Draining, Slots: l.Slots, CacheCapacity: l.CacheCapacity,
		PrefillRate: roundRate(l.PrefillRate), DecodeRate: roundRate(l.DecodeRate), Revision: r.ConfigRevision,
	}
	load := membership.Load{Running: l.Running, Queued: l.Queued, QueuedTokens: l.QueuedTokens, CacheUsed: l.CacheHeld}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.ReportSidecar(time.Now(), id, status, load)
}

// roundRate rounds a rate down, so that small fluctuations do not count as changes to spread. A rate below 16 is rounded to
// a whole number, and a higher one by less than a sixteenth of it.
func roundRate(rate float64) float64 {
	step := 1.0
	for step*32 <= rate {
		step *= 2
	}
	return float64(int(rate/step)) * step
}

// reportSilent tells the protocol that a watched sidecar does not answer, which spreads it to the other entries.
func (p *protocol) reportSilent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.ReportSilent(time.Now(), id)
}

// watcherReport returns the state of a sidecar as reported by its watchers, in the form of an answer, and the age of the
// report. ok is false if there is no recent report or the sidecar does not answer its watchers.
func (p *protocol) watcherReport(id string) (r api.ExchangeResponse, age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.node.Sidecar(time.Now(), id)
	if !ok || v.Status.Silent || v.Age > maxWatcherReportAge {
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
