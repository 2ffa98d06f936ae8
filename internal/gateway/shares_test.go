package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// Each gateway sees few of the calls that a service rejects. The hub must find the shortage from what all report together, and give
// permits of an organisation beyond its share only to started programs. Without keys nothing is counted or refused.
func TestHubPoolsRejectedCallsOfPlainServices(t *testing.T) {
	is := is.New(t)
	g := newFollower(t, &stubHub{})
	routes := []fleet.Route{
		{Name: "lookup", Targets: []fleet.Target{{Service: "app", Weight: 1}}}, {Name: "turns", Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
	}
	services := map[string]fleet.Service{"app": {Name: "app"}, "llm": {Name: "llm", Engine: &fleet.Engine{}}}
	g.directory.Replace([]*fleet.BackendServer{{ID: "app-1", Service: "app", Slots: 6}, {ID: "app-2", Service: "app", Slots: 6}, {ID: "engine-1", Service: "llm"}}, 2, time.Time{})
	reports := func() {
		for _, id := range []string{"app-1", "app-2", "engine-1"} {
			for range 3 {
				g.loads.recordRejected(id)
			}
			report := append(g.loads.takeOutcomes(), peers.ServerOutcomes{Server: id, Served: 12})
			g.serviceShares.addOutcomes(g.directory.View(), report)
		}
	}
	ask := func(organisation, route string, started bool) bool {
		granted, retryAfter := g.mayUseRoute("call", organisation, route, started)
		is.Equal(granted, retryAfter == 0)
		return granted
	}
	g.directory.Configure(fleet.NewConfig(2, routes, services, fleet.Limits{}))
	reports()
	is.True(ask("", "lookup", false))

	config := fleet.NewConfig(3, routes, services, fleet.Limits{})
	config.AddOrganisations([]fleet.Organisation{{Name: "large"}, {Name: "small"}}, [][]string{{"k1"}, {"k2"}})
	g.directory.Configure(config)
	for range 25 {
		is.True(ask("large", "lookup", false))
	}
	is.True(ask("small", "lookup", false))
	reports()
	time.Sleep(60 * time.Millisecond) // The level is computed anew.
	is.True(!ask("large", "lookup", false))
	is.True(ask("large", "lookup", true))
	is.True(ask("large", "turns", false)) // engines have wait queues
	is.True(ask("small", "lookup", false))
	is.Equal(g.metrics.shareRefusals.Get(), uint64(1))
}
