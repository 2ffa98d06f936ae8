package sidecar

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	orderJournal     = 0   // Only the owner of this journal may send orders to engines.
	maxOrderOutcomes = 256 // Maximum number of stored outcomes; the oldest are removed.
	// orderWaitTimeout is how long a request waits for the end of its order. After that, it is answered with
	// CodeOrderRunning, and the sender repeats it.
	orderWaitTimeout = 2 * time.Second
	// orderReservation is how long an engine whose calls have ended takes no new ones while it waits for its order.
	orderReservation = 30 * time.Second
	// orderTimeout bounds the execution of an order, which may load weights.
	orderTimeout = 10 * time.Minute
)

// orders serializes the orders to the engine and stores their outcomes. It is safe for concurrent use.
type orders struct {
	mu         sync.Mutex
	current    *orderRun             // The order being executed, nil when there is none; under mu, like all below.
	outcomes   map[string]*api.Error // Outcome by order id; nil means success.
	outcomeIDs []string              // Keys of outcomes, oldest first.
	newest     orderPosition         // Position of the latest order that was started.
	// reservedUntil is the time until which the engine takes no calls, so that it is idle when an order arrives.
	reservedUntil time.Time
}

// orderRun is the execution of an order.
type orderRun struct {
	request *api.OrderRequest
	fence   uint64        // Highest fencing number of the requests for the order; under orders.mu.
	ended   chan struct{} // Closed when the execution has ended.
	outcome *api.Error    // nil means success; set before ended is closed.
}

// orderPosition is the position of an order in the sequence of all orders: by the fencing number of its sender, then by
// its own number.
type orderPosition struct{ fence, number uint64 }

func newOrders() *orders { return &orders{outcomes: make(map[string]*api.Error)} }

// blocksServing reports whether the engine must take no calls, because it executes an order that interrupts serving or is
// reserved for one. Loading an adapter does not interrupt serving.
func (o *orders) blocksServing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current != nil && o.current.request.Kind != api.OrderLoadAdapter || time.Now().Before(o.reservedUntil)
}

// reserve makes blocksServing return true until the given time or the start of the next order.
func (o *orders) reserve(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reservedUntil = until
}

// begin starts an order unless it has been started before. If it returns a run, the caller executes it when start is true,
// and waits for its end otherwise. If run is nil, answer is the result of the request: the stored outcome of the order,
// where nil means success, or a refusal.
func (o *orders) begin(req *api.OrderRequest) (run *orderRun, start bool, answer *api.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome, ok := o.outcomes[req.ID]; ok {
		return nil, false, outcome
	}
	if o.current != nil && o.current.request.ID == req.ID {
		o.current.fence = max(o.current.fence, req.Fence.Number)
		return o.current, false, nil
	}
	position := orderPosition{req.Fence.Number, req.Number}
	if position.fence == o.newest.fence && position.number < o.newest.number {
		return nil, false, api.Errorf(api.CodeOrderStale, "order %s has number %d, but number %d was started before", req.ID, position.number, o.newest.number)
	}
	if o.current != nil {
		return nil, false, api.Errorf(api.CodeOrderBusy, "the engine is executing order %s", o.current.request.ID)
	}
	o.newest, o.reservedUntil = position, time.Time{}
	o.current = &orderRun{request: req, fence: req.Fence.Number, ended: make(chan struct{})}
	return o.current, true, nil
}

// finish ends the run, so that the next order can start. If store is set, the outcome is stored and answers repeated
// requests for the order.
func (o *orders) finish(run *orderRun, outcome *api.Error, store bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = nil
	run.outcome = outcome
	close(run.ended)
	if !store {
		return
	}
	o.outcomes[run.request.ID] = outcome
	o.outcomeIDs = append(o.outcomeIDs, run.request.ID)
	if len(o.outcomeIDs) > maxOrderOutcomes {
		delete(o.outcomes, o.outcomeIDs[0])
		o.outcomeIDs = o.outcomeIDs[1:]
	}
}

// submitOrder executes an order on the engine and returns its outcome. It checks the fencing number, the incarnation and
// the sequence of orders, regardless of what the engine checks.
func (s *Sidecar) submitOrder(req *api.OrderRequest) *api.Error {
	if s.engine == nil {
		return api.Errorf(api.CodeBadRequest, "the backend server of sidecar %s is a service, which accepts no orders", s.settings.Name)
	}
	if req.ID == "" || req.Fence.Journal != orderJournal {
		return api.Errorf(api.CodeBadRequest, "an order needs an id and the fencing number of journal %d", orderJournal)
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		return api.Errorf(api.CodeOrderStale, "order %s: %s", req.ID, err.Message)
	}
	if req.Incarnation != "" && req.Incarnation != s.incarnation {
		return api.Errorf(api.CodeUnavailable, "order %s is for incarnation %s of sidecar %s, but the current one is %s",
			req.ID, req.Incarnation, s.settings.Name, s.incarnation)
	}
	run, start, answer := s.orders.begin(req)
	if run == nil {
		return answer
	}
	if start {
		go s.executeOrder(run)
	}
	timer := time.NewTimer(orderWaitTimeout)
	defer timer.Stop()
	select {
	case <-run.ended:
		return run.outcome
	case <-timer.C:
		return api.Errorf(api.CodeOrderRunning, "the engine is still executing order %s", req.ID)
	}
}

// executeOrder sends the order to the engine, unless the engine already has the requested state. That can be the case
// after a restart of the sidecar, or after a run of the order whose answer was lost.
func (s *Sidecar) executeOrder(run *orderRun) {
	s.refreshServing(s.ctx, true)
	req := run.request
	if current := s.serving.get(); current != nil && fulfilled(req, current) {
		s.log.Info("order has already taken effect on the engine", "order", req.ID, "kind", req.Kind, "argument", req.Argument)
		s.orders.finish(run, nil, true)
		return
	}
	if err := s.awaitIdle(run); err != nil {
		s.orders.finish(run, err, false)
		return
	}
	err := s.engine.Order(s.ctx, s.orders.requestOf(run))
	s.log.Info("order request to the engine ended", "order", req.ID, "kind", req.Kind, "argument", req.Argument, "error", err)
	s.refreshServing(s.ctx, true)
	outcome, known := orderOutcome(req, err)
	s.orders.finish(run, outcome, known)
}

// awaitIdle waits until no call is queued or running; new calls are refused meanwhile. Loading an adapter needs no wait.
// If it had to wait, awaitIdle returns an error with api.CodeUnavailable and reserves the engine until the order is sent
// again, because the sender spaces out the reads of the weight store. It returns an error with api.CodeOrderStale when the
// sender has been deposed in the meantime.
func (s *Sidecar) awaitIdle(run *orderRun) *api.Error {
	deadline := time.Now().Add(orderTimeout)
	for waited := false; ; waited = true {
		if fence, current := s.orders.fenceOf(run), s.fences.Current(orderJournal); fence < current {
			return api.Errorf(api.CodeOrderStale, "order %s has fencing number %d, but journal 0 is owned under %d", run.request.ID, fence, current)
		}
		load := api.Load{}
		s.dispatcher.fillLoad(&load)
		idle := load.Running+load.Queued == 0
		if run.request.Kind == api.OrderLoadAdapter || idle && !waited {
			return nil
		}
		if idle {
			s.orders.reserve(time.Now().Add(orderReservation))
			return api.Errorf(api.CodeUnavailable, "order %s: the running calls have ended, and the engine is reserved for the order; send it again", run.request.ID)
		}
		if time.Now().After(deadline) || s.ctx.Err() != nil {
			return api.Errorf(api.CodeUnavailable, "order %s: calls are still queued or running", run.request.ID)
		}
		time.Sleep(drainPollInterval)
	}
}

// fenceOf returns the highest fencing number of the requests for the run's order.
func (o *orders) fenceOf(run *orderRun) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return run.fence
}

// requestOf returns a copy of the run's request with the highest fencing number of the requests for the order.
func (o *orders) requestOf(run *orderRun) *api.OrderRequest {
	request := *run.request
	request.Fence.Number = o.fenceOf(run)
	return &request
}

// orderOutcome maps the error of the request to the engine to the outcome of the order. known reports whether the
// outcome of the order is known and thus may be stored. Otherwise the order is sent to the engine again when it is
// repeated.
func orderOutcome(req *api.OrderRequest, err error) (outcome *api.Error, known bool) {
	var refused *transport.StatusError
	switch {
	case err == nil:
		return nil, true
	case errors.As(err, &outcome):
		return outcome, true
	case errors.As(err, &refused):
		return api.Errorf(api.CodeBackendError, "order %s: the engine refused it: %v", req.ID, refused), true
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeUnavailable, "order %s: the engine cannot be reached: %v", req.ID, err), false
	default:
		return api.Errorf(api.CodeOutcomeUnknown, "order %s: %v", req.ID, err), false
	}
}

// modelVersionSeparator separates a model from its version in the argument of an order to load a model.
const modelVersionSeparator = "@"

// fulfilled reports whether the engine already has the state that the order requests.
func fulfilled(req *api.OrderRequest, current *api.Serving) bool {
	switch req.Kind {
	case api.OrderLoadModel:
		model, version, _ := strings.Cut(req.Argument, modelVersionSeparator)
		return current.Model == model && (version == "" || current.Version == version)
	case api.OrderLoadAdapter:
		return slices.Contains(current.Adapters, req.Argument)
	case api.OrderSetVersion:
		return current.Version == req.Argument
	case api.OrderSetRole:
		return current.Role == req.Argument
	default:
		return false
	}
}

// Order sends an order to the engine.
func (e *engine) Order(ctx context.Context, req *api.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.orders.JSON(ctx, fasthttp.MethodPost, e.address, enginePathOrders, req, nil)
}
