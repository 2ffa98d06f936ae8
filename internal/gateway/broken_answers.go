package gateway

import (
	vm "github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/http1"
)

// brokenAnswer returns what records that a server's answer is none of the protocol. request is the id of the call; empty if it is none of a
// caller.
func (g *Gateway) brokenAnswer(server *fleet.BackendServer, request string) func(*http1.MalformedError) {
	return func(e *http1.MalformedError) {
		g.metrics.brokenAnswer(e.Reason).Inc()
		g.log.Warn("broken answer", "request", request, "server", server.ID, "born", server.Born, "reason", string(e.Reason), "detail", e.Detail)
	}
}

// brokenAnswer returns the counter of the answers of servers that were none of the protocol for a reason.
func (m *metrics) brokenAnswer(reason http1.Reason) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_broken_answers_total{reason="` + string(reason) + `"}`)
}
