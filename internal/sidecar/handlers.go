package sidecar

import (
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// handle serves one HTTP request. Health checks and metrics need no token.
func (s *Sidecar) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		s.metrics.set.WritePrometheus(ctx)
		return
	}
	if !transport.Authorized(ctx, s.settings.Token) {
		transport.WriteError(ctx, api.Errorf(api.CodeUnauthorized, "the token is missing or wrong"))
		return
	}
	serve := s.route(path)
	if serve == nil {
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "path %q does not exist", path))
		return
	}
	if !ctx.IsPost() {
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "path %q accepts only POST", path))
		return
	}
	serve(ctx)
}

// route returns the handler of a path of the internal interface, or nil when there is none.
func (s *Sidecar) route(path string) fasthttp.RequestHandler {
	switch path {
	case api.PathCalls:
		return s.handleCall
	case api.PathSettle:
		return s.handleSettle
	case api.PathCancel:
		return s.handleCancel
	case api.PathExchange:
		return s.handleExchange
	case api.PathOrders:
		return s.handleOrder
	case api.PathDrain:
		return s.handleDrain
	default:
		return nil
	}
}

// handleReady answers whether the sidecar accepts new calls.
func (s *Sidecar) handleReady(ctx *fasthttp.RequestCtx) {
	healthy, _ := s.health.get()
	switch {
	case s.isDraining():
		transport.WriteError(ctx, api.Errorf(api.CodeDraining, "sidecar %s is draining", s.settings.Name))
	case !healthy:
		transport.WriteError(ctx, api.Errorf(api.CodeUnavailable, "the backend server of %s is unhealthy", s.settings.Name))
	default:
		ctx.SetBodyString("ready\n")
	}
}

// handleCall starts a call or joins an existing execution of it, and streams its events.
func (s *Sidecar) handleCall(ctx *fasthttp.RequestCtx) {
	req := new(api.CallRequest)
	if err := transport.DecodeJSON(ctx, req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	reader, err := s.admit(req)
	if err != nil {
		s.metrics.refusals.Inc()
		s.callLog(req).Debug("call refused", "code", int(err.Code), "error", err.Message)
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteBody(ctx, contentTypeEvents, newEventBody(reader))
}

// handleSettle answers with the state of a call whose outcome the entry does not know. The calls of another incarnation
// are gone.
func (s *Sidecar) handleSettle(ctx *fasthttp.RequestCtx) {
	var req api.SettleRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	answer := api.SettleResponse{State: api.SettleGone, Incarnation: s.incarnation}
	if req.Incarnation == "" || req.Incarnation == s.incarnation {
		answer.State = s.ledger.Settle(req.CallID, req.Attempt, req.Fence.Number)
	}
	s.log.Info("call settled", "call_id", req.CallID, "attempt", req.Attempt, "state", answer.State)
	transport.WriteJSON(ctx, fasthttp.StatusOK, &answer)
}

// cancelResponse is the answer to a cancellation.
type cancelResponse struct {
	Found bool `json:"found"` // The call was queued or running before the cancellation.
}

// handleCancel cancels a call. Attempts up to the requested one that have not started never will.
func (s *Sidecar) handleCancel(ctx *fasthttp.RequestCtx) {
	var req api.CancelRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if req.Attempt > 0 {
		s.ledger.RejectUpTo(req.CallID, req.Attempt)
	}
	var answer cancelResponse
	if call := s.ledger.Find(req.CallID); call != nil {
		answer.Found = s.cancelCall(call) != backend.Ended
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, &answer)
}

// handleExchange answers an entry's heartbeat.
func (s *Sidecar) handleExchange(ctx *fasthttp.RequestCtx) {
	var req api.ExchangeRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, s.exchange(&req))
}

// handleOrder executes an order on the engine.
func (s *Sidecar) handleOrder(ctx *fasthttp.RequestCtx) {
	var req api.OrderRequest
	if err := transport.DecodeJSON(ctx, &req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if err := s.submitOrder(&req); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}

// handleDrain starts a drain, after which the process exits.
func (s *Sidecar) handleDrain(ctx *fasthttp.RequestCtx) {
	s.beginDrain()
	transport.WriteJSON(ctx, fasthttp.StatusAccepted, struct{}{})
}
