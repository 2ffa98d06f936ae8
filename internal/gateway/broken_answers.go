package gateway

import (
	"errors"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// brokenAnswer returns what records that a server's answer is none of the protocol. request is the id of the call; empty if it is none of a
// caller.
func (g *Gateway) brokenAnswer(server *fleet.BackendServer, request string) func(*http1.MalformedError) {
	return func(e *http1.MalformedError) {
		transport.RecordBrokenAnswer(g.log, g.metrics.set, e, "request", request, "server", server.ID, "born", server.Born)
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
