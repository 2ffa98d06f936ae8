package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/locality"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// newDomainGateway returns a gateway of the domain a in a deployment with six servers of a plain service in each of two domains.
// price is nil if the settings name none.
func newDomainGateway(t *testing.T, price *float64) *Gateway {
	g := newFollower(t, &stubHub{})
	g.settings.FailureDomain = "a"
	g.loads.domains = newDomainState(price)
	g.directory.Configure(fleet.NewConfig(2, nil, map[string]fleet.Service{"app": {Name: "app"}}, fleet.Limits{}))
	var servers []*fleet.BackendServer
	for _, domain := range []string{"a", "b"} {
		for n := range 6 {
			servers = append(servers, &fleet.BackendServer{ID: fmt.Sprintf("%s-%d", domain, n), Service: "app", FailureDomain: domain, Slots: 6, Revision: 2})
		}
	}
	g.directory.Replace(servers, 2, time.Time{})
	return g
}

// reportOf returns a report of a gateway of the domain a with the given number of calls at each server of a.
func reportOf(member string, calls int) peers.Report {
	r := peers.Report{From: peers.Member{ID: member, FailureDomain: "a"}}
	for n := range 6 {
		r.Loads = append(r.Loads, peers.ServerLoad{Server: fmt.Sprintf("a-%d", n), Calls: calls})
	}
	return r
}

// Each gateway sees only its own calls. It must learn from the hub that its domain is full, and send no more than it needs to; without
// news the constant cost applies.
func TestGatewayLearnsThatItsDomainIsFull(t *testing.T) {
	is := is.New(t)
	price := 1.5
	hub, g := newDomainGateway(t, &price), newDomainGateway(t, &price)
	hub.recordDomainCalls(reportOf("first", 3))
	hub.recordDomainCalls(reportOf("second", 5))
	hub.recordDomainCalls(reportOf("second", 2)) // replaces the one before
	hub.recordDomainCalls(reportOf("g", 1))
	digest := hub.domainLoads("g")
	is.Equal(digest.List(), []peers.DomainCalls{{Service: "app", From: "a", To: "a", Calls: 30}})
	g.loads.setDomainLoads(digest)
	now := time.Now()
	for range 8 {
		g.updateDomainShares(now)
	}
	share := g.loads.domains.table.Share("app", locality.Pair{From: "a", To: "b"})
	is.True(share > 0.3 && share < 0.5)
	var metrics bytes.Buffer
	g.metrics.set.WritePrometheus(&metrics)
	is.True(bytes.Contains(metrics.Bytes(), []byte(`redwinggauge_domain_share{service="app",from="a",to="b"} 0.`)))

	g.updateDomainShares(now.Add(2 * time.Second))
	is.Equal(g.loads.domains.table.Share("app", locality.Pair{From: "a", To: "b"}), 0.0)
	is.Equal(len(hub.memberDomains.except(now.Add(2*time.Second), "g")), 0) // the gateways have ended
}

// While its own domain has room and the other one less, a gateway keeps its calls at home, where the constant sends each second one
// away.
func TestCallsStayAtHomeWhileItHasRoom(t *testing.T) {
	is := is.New(t)
	price := 1.5
	g := newDomainGateway(t, &price)
	place := func() (left int) {
		view := g.directory.View()
		for range 12 {
			p, err := g.loads.place(view.Usable("app"), view.Config.Services["app"], placeRequest{failureDomain: "a"})
			is.NoErr(err)
			defer p.ticket.end(outcomeNeutral)
			if p.server.FailureDomain == "b" {
				left++
			}
		}
		return left
	}
	is.Equal(place(), 6)
	g.loads.setDomainLoads(peers.NewDomainLoads([]peers.DomainCalls{{Service: "app", From: "a", To: "a", Calls: 5}, {Service: "app", From: "b", To: "b", Calls: 30}}))
	g.updateDomainShares(time.Now())
	is.Equal(place(), 0)
	is.Equal(len(g.loads.ownDomainCalls()), 0)
}

// A server may fail only for callers of one domain. Others must go on using it.
func TestFailuresCountForTheDomainOfTheCaller(t *testing.T) {
	is := is.New(t)
	price := 1.5
	g := newDomainGateway(t, &price)
	view := g.directory.View()
	for n := range 5 {
		for domain, o := range map[string]outcome{"a": outcomeFailed, "b": outcomeServed} {
			p, err := g.loads.place([]*fleet.BackendServer{view.Server(fmt.Sprintf("b-%d", n))}, view.Config.Services["app"], placeRequest{failureDomain: domain})
			is.NoErr(err)
			p.ticket.end(o)
		}
	}
	is.Equal(g.loads.domains.outcomes.Failing(time.Now()), map[locality.Pair]bool{{From: "a", To: "b"}: true})
	is.Equal(len(g.loads.domains.own), 0)
	in := g.loads.domainInputs(time.Now(), view.Usable("app"), view.Config.Services["app"], nil)
	is.Equal(in.Domains, []locality.Domain{{Name: "a", Slots: 36}, {Name: "b", Slots: 6}}) // suspended servers have no slots
}

// Without a price nothing is sent to other gateways or counted, and the constant applies.
func TestWithoutAPriceNothingIsDecidedByDomain(t *testing.T) {
	is := is.New(t)
	g := newDomainGateway(t, nil)
	g.recordDomainCalls(reportOf("first", 6))
	is.True(g.domainLoads("g") == nil)
	g.loads.setDomainLoads(&peers.DomainLoads{Domains: []string{"a"}, Calls: map[string][]int{"app": {1}}})
	view := g.directory.View()
	p, err := g.loads.place(view.Usable("app"), view.Config.Services["app"], placeRequest{failureDomain: "a"})
	is.NoErr(err)
	is.Equal(p.ticket.domains, peers.DomainCalls{})
	x := &exchange{g: g}
	x.countDomainCall(view.Server("b-1"))
	is.True(x.domainBytes == nil)
}
