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

// Gateways share what each observes of the backend servers through the hub: calls in progress and outcomes of calls.

// setOtherLoads replaces the loads of other gateways and the set of servers that the hub has ejected.
func (l *loads) setOtherLoads(list []peers.ServerLoad, ejected []string) {
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
	l.otherLoads, l.ejected = others, byID
}

// takeOutcomes returns and clears the call outcomes that were not reported yet.
func (l *loads) takeOutcomes() []peers.ServerOutcomes {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Collect(maps.Values(l.unreportedOutcomes))
	clear(l.unreportedOutcomes)
	return list
}

// recordRejected counts, for the next report to the hub, a call that a server has rejected for lack of capacity.
func (l *loads) recordRejected(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.unreportedOutcomes[server]
	counts.Server = server
	counts.Rejected++
	l.unreportedOutcomes[server] = counts
}

// addOutcomes adds call outcomes that a gateway of the failure domain reports to the health of the servers.
func (l *loads) addOutcomes(domain string, list []peers.ServerOutcomes) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range list {
		load := l.load(o.Server)
		load.health.Add(now, float64(o.Served), float64(o.Failed))
		load.domains.Add(now, domain, float64(o.Served), float64(o.Failed))
	}
}

// failing returns the ids of the servers of the view that should get no calls of gateways of the failure domain because too many of
// their calls fail.
func (l *loads) failing(view *fleet.View, domain string) []string {
	var out []string
	now := time.Now()
	r := placeRequest{failureDomain: domain, speedRequest: speedRequest{unequal: l.learnSpeeds}}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range view.Services() {
		servers := view.Usable(service)
		for i, eject := range l.eject(servers, now, r.healthDomain()) {
			if eject {
				out = append(out, servers[i].ID)
			}
		}
	}
	return out
}

// eject reports for each of the servers of one service whether it should get no calls. If domain is not nil, the servers are judged
// by the outcomes of calls from that failure domain. The caller holds mu.
func (l *loads) eject(servers []*fleet.BackendServer, now time.Time, domain *string) []bool {
	list := make([]*schedule.Health, len(servers))
	for i, s := range servers {
		load := l.load(s.ID)
		list[i] = &load.health
		if domain != nil {
			list[i] = load.domains.For(now, *domain)
		}
	}
	return schedule.Eject(list, now)
}

// ownLoads returns the calls that this process has placed itself and that are in progress.
func (l *loads) ownLoads() []peers.ServerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []peers.ServerLoad
	for id, load := range l.byID {
		if load.ownCalls > 0 {
			list = append(list, peers.ServerLoad{Server: id, Calls: load.ownCalls, Pending: load.ownPendingTokens, Bytes: load.ownRequestBytes})
		}
	}
	return list
}

// memberLoads holds the loads that each member last reported to the hub. It is safe for concurrent use.
type memberLoads struct {
	mu       sync.Mutex
	byMember map[string]reportedLoads // Guarded by mu.
}

// reportedLoads is one member's last report.
type reportedLoads struct {
	list []peers.ServerLoad
	at   time.Time
}

// maxReportAge is how long a member's report counts.
const maxReportAge = 1500 * time.Millisecond

// set replaces the loads of a member.
func (m *memberLoads) set(member string, list []peers.ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byMember == nil {
		m.byMember = make(map[string]reportedLoads)
	}
	m.byMember[member] = reportedLoads{list: list, at: time.Now()}
}

// total returns, by server, the sum of own and the reports of all members except one. Reports older than maxReportAge are
// deleted.
func (m *memberLoads) total(except string, own ...peers.ServerLoad) []peers.ServerLoad {
	sum := make(map[string]peers.ServerLoad)
	add := func(list []peers.ServerLoad) {
		for _, load := range list {
			total := sum[load.Server]
			sum[load.Server] = peers.ServerLoad{
				Server: load.Server, Calls: total.Calls + load.Calls, Pending: total.Pending + load.Pending, Bytes: total.Bytes + load.Bytes,
			}
		}
	}
	add(own)
	now := time.Now()
	m.mu.Lock()
	for member, r := range m.byMember {
		if now.Sub(r.at) > maxReportAge {
			delete(m.byMember, member)
		} else if member != except {
			add(r.list)
		}
	}
	m.mu.Unlock()
	return slices.Collect(maps.Values(sum))
}
