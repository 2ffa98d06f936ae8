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
	orderJournal     = 0 // The owner of this journal gives orders to engines.
	rememberedOrders = 256
	// orderWait bounds the time for which a request waits for the end of its order; it is then told that the order is
	// under way and asks again.
	orderWait = 2 * time.Second
	// reservation is how long an engine whose calls have ended awaits its order.
	reservation = 30 * time.Second
	// orderTimeout bounds an order, which may load weights.
	orderTimeout = 10 * time.Minute
)

// orders passes orders on to the engine, one at a time. It is safe for concurrent use.
type orders struct {
	mu       sync.Mutex
	busy     *orderRun             // The order under way, nil when none is; under mu, as all below.
	answers  map[string]*api.Error // Outcome by id; nil for success.
	sequence []string              // Ids in the order of their end.
	newest   orderMark
	// reserved is the end of the time for which the engine takes no calls, so that an order finds it idle.
	reserved time.Time
}

// orderRun is an order under way.
type orderRun struct {
	request *api.OrderRequest
	fence   uint64        // Highest fencing number that asked for it; under the lock of orders.
	ended   chan struct{} // Closed at its end.
	answer  *api.Error    // Its outcome; set before ended is closed.
}

// orderMark says how new an order is: by its giver, then by its number.
type orderMark struct{ fence, number uint64 }

func newOrders() *orders { return &orders{answers: make(map[string]*api.Error)} }

// interrupting reports whether the order under way keeps the engine from serving.
func (o *orders) interrupting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.busy != nil && o.busy.request.Kind != api.OrderLoadAdapter || time.Now().Before(o.reserved)
}

// reserve keeps calls away until the order is sent again.
func (o *orders) reserve(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserved = until
}

// begin claims the engine for the order. It returns the run to carry out (start is true) or to wait for, or, when both
// are nil and false, the answer: that of the order's earlier run or a refusal.
func (o *orders) begin(req *api.OrderRequest) (run *orderRun, start bool, answer *api.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer, ok := o.answers[req.ID]; ok {
		return nil, false, answer
	}
	if o.busy != nil && o.busy.request.ID == req.ID {
		o.busy.fence = max(o.busy.fence, req.Fence.Number)
		return o.busy, false, nil
	}
	mark := orderMark{req.Fence.Number, req.Number}
	if mark.fence == o.newest.fence && mark.number < o.newest.number {
		return nil, false, api.Errorf(api.CodeOrderStale, "order %s has number %d, after number %d", req.ID, mark.number, o.newest.number)
	}
	if o.busy != nil {
		return nil, false, api.Errorf(api.CodeOrderBusy, "order %s is under way on the engine", o.busy.request.ID)
	}
	o.newest, o.reserved = mark, time.Time{}
	o.busy = &orderRun{request: req, fence: req.Fence.Number, ended: make(chan struct{})}
	return o.busy, true, nil
}

// finish frees the engine. An outcome that is kept answers every repeat of the order.
func (o *orders) finish(run *orderRun, answer *api.Error, keep bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy = nil
	run.answer = answer
	close(run.ended)
	if !keep {
		return
	}
	o.answers[run.request.ID] = answer
	o.sequence = append(o.sequence, run.request.ID)
	if len(o.sequence) > rememberedOrders {
		delete(o.answers, o.sequence[0])
		o.sequence = o.sequence[1:]
	}
}

// order executes an order to the engine, whatever the engine itself checks.
func (s *Sidecar) order(req *api.OrderRequest) *api.Error {
	if s.engine == nil {
		return api.Errorf(api.CodeBadRequest, "sidecar %s stands before a service, which takes no orders", s.settings.Name)
	}
	if req.ID == "" || req.Fence.Journal != orderJournal {
		return api.Errorf(api.CodeBadRequest, "an order needs an id and the fencing number of journal %d", orderJournal)
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		return api.Errorf(api.CodeOrderStale, "order %s: %s", req.ID, err.Message)
	}
	if req.Incarnation != "" && req.Incarnation != s.incarnation {
		return api.Errorf(api.CodeUnavailable, "order %s names incarnation %s of sidecar %s, which now runs as %s",
			req.ID, req.Incarnation, s.settings.Name, s.incarnation)
	}
	run, start, answer := s.orders.begin(req)
	if run == nil {
		return answer
	}
	if start {
		go s.carryOut(run)
	}
	timer := time.NewTimer(orderWait)
	defer timer.Stop()
	select {
	case <-run.ended:
		return run.answer
	case <-timer.C:
		return api.Errorf(api.CodeOrderRunning, "order %s is under way on the engine", req.ID)
	}
}

// carryOut passes the order on, unless the engine is already as it asks: an earlier run of this sidecar or a run of the
// order whose answer was lost has seen to it.
func (s *Sidecar) carryOut(run *orderRun) {
	s.learnServing(s.ctx, true)
	req := run.request
	if current := s.serving.get(); current != nil && fulfilled(req, current) {
		s.log.Info("order to the engine has its effect already", "order", req.ID, "kind", req.Kind, "argument", req.Argument)
		s.orders.finish(run, nil, true)
		return
	}
	if err := s.awaitIdle(run); err != nil {
		s.orders.finish(run, err, false)
		return
	}
	err := s.engine.Order(s.ctx, s.orders.stamped(run))
	s.log.Info("order to the engine", "order", req.ID, "kind", req.Kind, "argument", req.Argument, "error", err)
	s.learnServing(s.ctx, true)
	answer, known := orderAnswer(req, err)
	s.orders.finish(run, answer, known)
}

// awaitIdle waits until the calls under way have ended, as new ones are refused while an order that interrupts the
// engine is under way. An order that had to wait is sent back, as its giver spaces the reads of the weight store: the
// engine is reserved until the order comes again. An order whose giver is replaced meanwhile is given up.
func (s *Sidecar) awaitIdle(run *orderRun) *api.Error {
	deadline := time.Now().Add(orderTimeout)
	for waited := false; ; waited = true {
		if fence, current := s.orders.fenceOf(run), s.fences.Current(orderJournal); fence < current {
			return api.Errorf(api.CodeOrderStale, "order %s has fencing number %d, after %d", run.request.ID, fence, current)
		}
		load := api.Load{}
		s.dispatcher.fill(&load)
		idle := load.Running+load.Queued == 0
		if run.request.Kind == api.OrderLoadAdapter || idle && !waited {
			return nil
		}
		if idle {
			s.orders.reserve(time.Now().Add(reservation))
			return api.Errorf(api.CodeUnavailable, "order %s: the calls under way have ended, the engine awaits the order", run.request.ID)
		}
		if time.Now().After(deadline) || s.ctx.Err() != nil {
			return api.Errorf(api.CodeUnavailable, "order %s: calls are still under way", run.request.ID)
		}
		time.Sleep(drainPoll)
	}
}

// fenceOf returns the highest fencing number that asked for the run.
func (o *orders) fenceOf(run *orderRun) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return run.fence
}

// stamped returns the run's request under the highest fencing number that asked for it.
func (o *orders) stamped(run *orderRun) *api.OrderRequest {
	request := *run.request
	request.Fence.Number = o.fenceOf(run)
	return &request
}

// orderAnswer maps the engine's answer to a result; known says that it is an outcome.
func orderAnswer(req *api.OrderRequest, err error) (answer *api.Error, known bool) {
	var refused *transport.StatusError
	switch {
	case err == nil:
		return nil, true
	case errors.As(err, &answer):
		return answer, true
	case errors.As(err, &refused):
		return api.Errorf(api.CodeBackendError, "order %s: the engine refused it: %v", req.ID, refused), true
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeUnavailable, "order %s: the engine cannot be reached: %v", req.ID, err), false
	default:
		return api.Errorf(api.CodeOutcomeUnknown, "order %s: %v", req.ID, err), false
	}
}

// modelVersionMark separates a model from its version in the argument of an order to load it.
const modelVersionMark = "@"

// fulfilled reports whether the engine is as the order asks.
func fulfilled(req *api.OrderRequest, current *api.Serving) bool {
	switch req.Kind {
	case api.OrderLoadModel:
		model, version, _ := strings.Cut(req.Argument, modelVersionMark)
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

// Order passes an order on to the engine.
func (e *engine) Order(ctx context.Context, req *api.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.orders.JSON(ctx, fasthttp.MethodPost, e.address, enginePathOrders, req, nil)
}
