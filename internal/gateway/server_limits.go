package gateway

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
)

// A backend server that takes fewer calls than usual names its limit in its answers. The limit holds for the calls of all gateways
// together, so gateways share what they hear through the hub, which places all calls of a service while one of its servers has a
// limit. A gateway that cannot ask the hub uses only its own part.

// isAnyLimited reports whether a usable server of one of the services has named a limit.
func (g *Gateway) isAnyLimited(view *fleet.View, services []string) bool {
	if !g.limiter.IsInUse() {
		return false
	}
	for _, service := range services {
		for _, s := range view.Usable(service) {
			if g.limiter.IsLimited(s.ID, s.Born) {
				return true
			}
		}
	}
	return false
}

// recordLimit records what an answer says about the calls that its server takes. sentAt is when the call was sent, or earlier.
func (g *Gateway) recordLimit(server *fleet.BackendServer, answer calls.Answer, sentAt time.Time) {
	if answer.LimitError != nil {
		g.log.Warn("limit of server ignored", "server", server.ID, "error", answer.LimitError)
		return
	}
	s := ratelimit.Statement{Server: server.ID, Born: server.Born, At: sentAt}
	if answer.Limit != nil {
		s.Limited, s.PerSecond, s.At = true, *answer.Limit, time.Now()
	}
	previous, changed := g.limits.Record(s)
	switch {
	case changed && s.Limited:
		g.log.Info("server named limit", "server", s.Server, "per_second", s.PerSecond, "request", answer.CallID,
			"was_limited", previous.Limited, "was_per_second", previous.PerSecond)
	case changed:
		g.log.Info("limit of server ended", "server", s.Server, "request", answer.CallID, "was_per_second", previous.PerSecond,
			"age_ms", time.Since(previous.At).Milliseconds())
	}
}

// encodeLimits returns the statements as messages to another gateway.
func encodeLimits(list []ratelimit.Statement) []peers.ServerLimit {
	var out []peers.ServerLimit
	for _, s := range list {
		out = append(out, peers.ServerLimit{
			Server: s.Server, Born: s.Born, Limited: s.Limited, PerSecond: s.PerSecond, AgeMS: max(time.Since(s.At).Milliseconds(), 0),
		})
	}
	return out
}

// decodeLimits returns the statements in messages from another gateway. The time for which a message was under way counts as
// after the statement.
func decodeLimits(list []peers.ServerLimit) []ratelimit.Statement {
	var out []ratelimit.Statement
	now := time.Now()
	for _, l := range list {
		out = append(out, ratelimit.Statement{
			Server: l.Server, Born: l.Born, Limited: l.Limited, PerSecond: l.PerSecond,
			At: now.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		})
	}
	return out
}
