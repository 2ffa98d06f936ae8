package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/quota"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// queueReturn adds a permit to those that the next message returns.
func (p *permits) queueReturn(unused unusedPermit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returns = append(p.returns, unused)
}

// sendPermitRequests asks the hub for the permits of the waiting calls and returns unused permits, until there are none of either.
// One message is in flight at a time, so that the size of a message follows the load.
func (g *Gateway) sendPermitRequests() {
	p := g.permits
	for {
		p.mu.Lock()
		n := min(len(p.waiting), maxPermitCalls)
		batch, returns := p.waiting[:n:n], p.returns
		p.waiting, p.returns = p.waiting[n:], nil
		if len(batch) == 0 && len(returns) == 0 {
			p.sending = false
			p.waiting = nil
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err := guard.Run(g.log, "permits", func() { g.exchangePermits(batch, returns) }); err != nil {
			for _, r := range batch {
				select {
				case r.answer <- permitAnswer{}:
				default: // It has an answer.
				}
			}
		}
	}
}

// exchangePermits sends one message to the hub and hands out the answers. Permits of another issuer are not returned: the hub's own
// permits are not fewer for them.
func (g *Gateway) exchangePermits(batch []*permitRequest, returns []unusedPermit) {
	hub := g.group.Hub()
	var request peers.PermitRequest
	batch = slices.DeleteFunc(batch, func(r *permitRequest) bool { return r.over.Load() })
	for _, r := range batch {
		request.Calls = append(request.Calls, r.call)
	}
	for _, r := range returns {
		if r.issuer.ID == hub.ID && r.issuer.Incarnation == hub.Incarnation {
			request.Returns = append(request.Returns, r.PermitReturn)
		}
	}
	var result peers.PermitResult
	err := errHubUnusable
	if hub.ID != g.settings.ID && len(request.Calls)+len(request.Returns) > 0 {
		result, err = g.client.Permits(context.Background(), hub, request)
	}
	switch {
	case errors.Is(err, errHubUnusable):
	case err != nil:
		g.log.Warn("no permits from the hub", "hub", hub.ID, "calls", len(batch), "error", err)
		if transport.IsNotSent(err) && g.group.MarkFailed(hub.ID) {
			g.log.Warn("dependency lost", "dependency", "gateway "+hub.ID, "error", err)
		}
	case !result.NotHub && len(result.Permits) == len(batch):
		g.followHub(time.Now())
	default:
		g.log.Warn("no permits from the hub", "hub", hub.ID, "calls", len(batch), "not_hub", result.NotHub, "permits", len(result.Permits))
		err = errHubUnusable
	}
	for i, r := range batch {
		answer := permitAnswer{}
		if err == nil {
			answer = permitAnswer{Permit: result.Permits[i], issuer: hub}
		}
		if !r.deliver(answer) && answer.Granted { // The caller has disconnected.
			g.countPermit("returned")
			g.permits.queueReturn(answer.unused(r.call.Organisation))
		}
	}
}

// flushReturns returns unused permits that no request for permits has carried.
func (g *Gateway) flushReturns() {
	p := g.permits
	p.mu.Lock()
	mustSend := len(p.returns) > 0 && !p.sending
	p.sending = p.sending || mustSend
	p.mu.Unlock()
	if mustSend {
		go g.sendPermitRequests()
	}
}

// acceptPermit takes over the permit that came with the answer to a request to place the call. It returns errAtCapacity if the hub
// may be asked again, and errHubUnusable if the hub has issued no permits.
func (x *exchange) acceptPermit(ctx context.Context, hub peers.Member, request *peers.PlaceRequest, result *peers.PlaceResult) error {
	if request.Permit == nil {
		return nil
	}
	if result.Permit == nil || result.Permit.Reason == string(quota.ReasonNoShare) {
		if result.Server != "" { // A hub of an earlier build has placed the call.
			x.g.progressQueue.add(hub.ID, peers.CallProgress{Call: x.call.ID, Ended: true})
		}
		return errHubUnusable
	}
	x.g.followHub(time.Now())
	if err := x.usePermit(ctx, permitAnswer{Permit: *result.Permit, issuer: hub}); err != nil {
		return err
	}
	if !result.Permit.Granted || result.Permit.DelayMS > 0 {
		return errAtCapacity
	}
	return nil
}
