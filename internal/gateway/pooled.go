package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Gateways pool what each sees of the backend servers: their calls under way and how calls ended.

// setOthers takes over what the hub says of other gateways' calls and of servers that fail.
func (l *loads) setOthers(list []peers.ServerLoad, ejected []string) {
	others := make(map[string]peers.ServerLoad, len(list))
	for _, load := range list {
		others[load.Server] = load
	}
	byID := make(map[string]bool, len(ejected))
	for _, id := range ejected {
		byID[id] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others, l.ejected = others, byID
}

// takeOutcomes returns how calls ended since the last time.
func (l *loads) takeOutcomes() []peers.ServerOutcomes {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Collect(maps.Values(l.outcomes))
	clear(l.outcomes)
	return list
}

// addOutcomes counts how calls of another gateway ended.
func (l *loads) addOutcomes(list []peers.ServerOutcomes) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range list {
		l.load(o.Server).health.Add(now, float64(o.Served), float64(o.Failed))
	}
}

// failing returns the servers of the view that should get no calls.
func (l *loads) failing(view *fleet.View) []string {
	var out []string
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range view.Services() {
		servers := view.Usable(service)
		for i, eject := range l.eject(servers, now) {
			if eject {
				out = append(out, servers[i].ID)
			}
		}
	}
	return out
}

// eject judges the servers of one service. The caller holds mu.
func (l *loads) eject(servers []*fleet.BackendServer, now time.Time) []bool {
	list := make([]*schedule.Health, len(servers))
	for i, s := range servers {
		list[i] = &l.load(s.ID).health
	}
	return schedule.Eject(list, now)
}

// own returns what this process has under way.
func (l *loads) own() []peers.ServerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []peers.ServerLoad
	for id, load := range l.byID {
		if load.ownCalls > 0 {
			list = append(list, peers.ServerLoad{Server: id, Calls: load.ownCalls, Pending: load.ownPending})
		}
	}
	return list
}

// memberLoads holds the loads that the members last reported. It is safe for concurrent use.
type memberLoads struct {
	mu       sync.Mutex
	byMember map[string]reportedLoads // Guarded by mu.
}

type reportedLoads struct {
	list []peers.ServerLoad
	at   time.Time
}

// reportMemory is how long a member's report counts.
const reportMemory = 1500 * time.Millisecond

func (m *memberLoads) set(member string, list []peers.ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byMember == nil {
		m.byMember = make(map[string]reportedLoads)
	}
	m.byMember[member] = reportedLoads{list: list, at: time.Now()}
}

// total returns the sum of the fresh reports of all members but one, and of own.
func (m *memberLoads) total(except string, own ...peers.ServerLoad) []peers.ServerLoad {
	sum := make(map[string]peers.ServerLoad)
	add := func(list []peers.ServerLoad) {
		for _, load := range list {
			have := sum[load.Server]
			sum[load.Server] = peers.ServerLoad{
				Server: load.Server, Calls: have.Calls + load.Calls, Pending: have.Pending + load.Pending,
			}
		}
	}
	add(own)
	now := time.Now()
	m.mu.Lock()
	for member, r := range m.byMember {
		if now.Sub(r.at) > reportMemory {
			delete(m.byMember, member)
		} else if member != except {
			add(r.list)
		}
	}
	m.mu.Unlock()
	return slices.Collect(maps.Values(sum))
}
