package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
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
	reports := func() { // of two gateways and the hub
		for _, id := range []string{"app-1", "app-2", "engine-1"} {
			g.loads.recordRejected(id)
			g.serviceShares.addOutcomes(g.directory.View(), append(g.loads.takeOutcomes(), peers.ServerOutcomes{Server: id, Served: 12, Rejected: 2}))
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

	withOrganisations(g.directory)
	for range 25 {
		is.True(ask("large", "lookup", false))
	}
	is.True(ask("small", "lookup", false))
	reports()
	time.Sleep(60 * time.Millisecond) // The level is computed anew.
	is.True(!ask("large", "lookup", false))
	is.True(ask("large", "lookup", true))
	is.True(!ask("large", "turns", false)) // the program's lookups would be rejected in its middle
	is.True(ask("large", "turns", true))   // engines have wait queues
	is.True(ask("small", "turns", false))
	is.True(ask("small", "lookup", false))
	is.Equal(g.metrics.shareRefusals.Get(), uint64(2))
}

// rejectingCodec takes any 503 for the statement that the call has not run.
type rejectingCodec struct{ calls.Codec }

func (rejectingCodec) EncodeCall(*calls.Call, calls.Directives) http.Header { return http.Header{} }
func (rejectingCodec) DecodeAnswer(status int, _ http.Header) calls.Answer {
	return calls.Answer{NotRun: status == http.StatusServiceUnavailable}
}

// A gateway must report the calls that servers of plain services reject, and only if keys are in use: reports stay as they were
// otherwise.
func TestRejectedPlainCallIsReported(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	g := newFollower(t, &stubHub{})
	g.codec, g.pool = rejectingCodec{}, upstream.NewPool(upstream.DefaultOptions(), func() {})
	send := func() []peers.ServerOutcomes {
		x := newTurn(g, "call").exchange
		x.call.Method, x.call.Target, x.call.Host = http.MethodGet, "/", "h"
		_, err := x.send(t.Context(), placement{server: &fleet.BackendServer{ID: "app-1", Address: server.Listener.Addr().String()}}, "")
		var refused *notRunError
		is.True(errors.As(err, &refused) && !upstream.IsNotSent(err))
		return g.loads.takeOutcomes()
	}
	is.Equal(len(send()), 0)
	withOrganisations(g.directory)
	is.Equal(send(), []peers.ServerOutcomes{{Server: "app-1", Rejected: 1}})
}
