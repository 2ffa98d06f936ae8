package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/leaving"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// A backend server that leaves says so in its answers. From then on it is hidden in the directory, whatever the key-value service
// says about it. Gateways share what they hear through the hub, but each keeps to what it has heard itself also without the hub.

// departure implements fleet.Departures.
func (g *Gateway) departure(s *fleet.BackendServer) fleet.Departure {
	return g.leaving.State(s, time.Now())
}

// recordLeaving records that the server which answered leaves, if the answer says so. server is the one that was asked, as it was
// known when it was asked.
func (g *Gateway) recordLeaving(server *fleet.BackendServer, answer calls.Answer, status int) {
	if !answer.Leaving {
		return
	}
	view := g.directory.View()
	entry := view.Server(server.ID)
	if other := view.Server(answer.Server); other != nil && other.ID != server.ID && other.Address == server.Address {
		server, entry = other, other // It has taken over the address, so the announcement is its own.
	}
	a := leaving.Announcement{Server: server.ID, Born: server.Born, Address: server.Address, At: time.Now()}
	if g.leaving.Add(a, entry) {
		g.directory.Refresh()
		g.metrics.leavingAnnounced("answer").Inc()
		g.log.Info("server announced that it leaves", "server", server.ID, "born", server.Born, "address", server.Address,
			"draining", server.Draining, "revision", server.Revision, "status", status, "request", answer.CallID)
	}
}

// mergeLeaving adds the announcements in a message from another gateway.
func (g *Gateway) mergeLeaving(m *peers.LeavingServers, from string) {
	if m == nil {
		return
	}
	view, now, added := g.directory.View(), time.Now(), false
	for _, s := range m.Servers {
		a := leaving.Announcement{Server: s.Server, Born: s.Born, Address: s.Address, At: now.Add(-time.Duration(s.AgeMS) * time.Millisecond)}
		if g.leaving.Add(a, view.Server(s.Server)) {
			added = true
			g.metrics.leavingAnnounced("gateway").Inc()
			g.log.Info("server leaves, says another gateway", "server", s.Server, "born", s.Born, "gateway", from, "age_ms", s.AgeMS)
		}
	}
	if added {
		g.directory.Refresh()
	}
}

// leavingMessage returns the announcements for another gateway. The announcements themselves are left out if known, the hash that
// it has named, is that of the same ones.
func (g *Gateway) leavingMessage(known uint64) *peers.LeavingServers {
	hash := g.leaving.Hash()
	if hash == 0 {
		return nil
	}
	m := &peers.LeavingServers{Hash: hash}
	if hash == known {
		return m
	}
	for _, a := range g.leaving.All() {
		m.Servers = append(m.Servers, peers.LeavingServer{
			Server: a.Server, Born: a.Born, Address: a.Address, AgeMS: max(time.Since(a.At).Milliseconds(), 0),
		})
	}
	return m
}

// checkLeaving returns an error if the placed server must not get the call because it leaves.
func (x *exchange) checkLeaving(p placement) error {
	g, now := x.g, time.Now()
	if p.pinned {
		// The call was sent to the server before, and no other server may run it.
		now = x.call.Arrived
	}
	state := g.leaving.State(p.server, now)
	if state == fleet.Staying || state == fleet.Leaving && (p.pinned || g.isUsable(p.server)) {
		return nil
	}
	x.recordKept(p, "call kept from leaving server", "drained", state == fleet.Left)
	return fmt.Errorf("backend server %s leaves", p.server.ID)
}

// recordKept logs and counts that the call is not sent to the placed server, and why.
func (x *exchange) recordKept(p placement, message string, reason ...any) {
	x.g.metrics.leavingAvoided.Inc()
	x.g.log.Info(message, append(reason, "request", x.call.ID, "server", p.server.ID, "born", p.server.Born, "placed_by", p.by,
		"age_ms", time.Since(x.call.Arrived).Milliseconds(), "runs", x.runs)...)
}

// resumeShare is the fraction of the drain time for which a stream may go on at the server that began it. The rest is for its way there.
const resumeShare = 0.7

var (
	errDraining = errors.New("the backend server drains")
	errUnlisted = errors.New("the backend server has left the list")
)

// checkWithdrawn returns errDraining or errUnlisted if the placed server must not get the call because of the list of servers.
func (x *exchange) checkWithdrawn(p placement) error {
	view, now := x.g.directory.View(), time.Now()
	withdrawal, withdrawn := view.Withdrawal(p.server.ID)
	if !withdrawn {
		return nil
	}
	state, reason := "unlisted", errUnlisted
	if view.Server(p.server.ID) != nil {
		state, reason = "draining", errDraining
	}
	age := float64(now.Sub(withdrawal.Since).Milliseconds())
	if p.pinned && age <= resumeShare*x.g.settings.DrainMS {
		x.serverState = state
		return nil
	}
	x.recordKept(p, "call kept from withdrawn server", "state", state, "since", withdrawal.Since,
		"known_ms", now.Sub(withdrawal.Known).Milliseconds())
	return fmt.Errorf("server %s: %w", p.server.ID, reason)
}

// isUsable reports whether the server takes new calls as far as this process knows now.
func (g *Gateway) isUsable(server *fleet.BackendServer) bool {
	return slices.ContainsFunc(g.directory.View().Usable(server.Service), func(s *fleet.BackendServer) bool { return s.ID == server.ID })
}

// observeEntry notes a current entry of the list of servers, which may be one of a new start of a server.
func (g *Gateway) observeEntry(s *fleet.BackendServer) {
	if known := g.directory.View().Server(s.ID); known != nil && known.Revision >= s.Revision {
		return
	}
	if g.leaving.ObserveEntry(s) {
		g.log.Info("server has started anew", "server", s.ID, "born", s.Born, "address", s.Address, "revision", s.Revision)
	}
}

// observeList notes the complete list of servers as of a revision. items has all entries, those that cannot be read included.
func (g *Gateway) observeList(servers []*fleet.BackendServer, items []ports.KeyValue, revision int64) {
	if g.leaving.Len() == 0 {
		return
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[g.catalogue.ServerIDOfKey(item.Key)] = true
	}
	if ended := g.leaving.ObserveList(servers, listed, revision); len(ended) > 0 {
		g.log.Info("servers have started anew", "servers", ended, "revision", revision)
	}
}

// refreshEndedDrains hides the servers whose drain time is over.
func (g *Gateway) refreshEndedDrains() {
	if g.leaving.TakeEnded(time.Now()) {
		g.directory.Refresh()
	}
}
