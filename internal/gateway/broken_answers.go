package gateway

import (
	"errors"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// brokenAnswer returns what records that a server's answer is none of the protocol. request is the id of the call; empty if it is none of a
// caller.
func (g *Gateway) brokenAnswer(server *fleet.BackendServer, request string) func(*http1.MalformedError) {
	return func(e *http1.MalformedError) {
		g.metrics.brokenAnswer(e.Reason).Inc()
		g.log.Warn("broken answer", "request", request, "server", server.ID, "born", server.Born, "reason", string(e.Reason), "detail", e.Detail)
	}
}

// checkCoding returns an error, which is recorded, if the body of a success is not what its server vouches for: it has a coding that the
// caller does not accept.
func (x *exchange) checkCoding(resp *upstream.Response) error {
	if resp.Status/100 != 2 {
		return nil
	}
	err := http1.CheckContentCoding(x.call.Header, resp.Header)
	var malformed *http1.MalformedError
	if errors.As(err, &malformed) {
		x.g.brokenAnswer(x.placed.server, x.call.ID)(malformed)
	}
	return err
}

// brokenAnswer returns the counter of the answers of servers that were none of the protocol for a reason.
func (m *metrics) brokenAnswer(reason http1.Reason) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_broken_answers_total{reason="` + string(reason) + `"}`)
}
