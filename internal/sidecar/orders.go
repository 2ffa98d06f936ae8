package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	orderJournal     = 0 // The owner of this journal gives orders to engines.
	rememberedOrders = 256
)

// orders passes orders on to the engine, one at a time. It is safe for concurrent use.
type orders struct {
	mu       sync.Mutex
	busy     string                // Id of the order under way, "" when none is; under mu, as all below.
	answers  map[string]*api.Error // Outcome by id; nil for success.
	sequence []string              // Ids in the order of their end.
}

func newOrders() *orders { return &orders{answers: make(map[string]*api.Error)} }

// begin claims the engine for the order. known says that the order has ended before, with the error returned.
func (o *orders) begin(id string) (known bool, err *api.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer, ok := o.answers[id]; ok {
		return true, answer
	}
	if o.busy != "" {
		return true, api.Errorf(api.CodeOrderBusy, "order %s is under way on the engine", o.busy)
	}
	o.busy = id
	return false, nil
}

// finish frees the engine. An outcome that is kept answers every repeat of the order.
func (o *orders) finish(id string, answer *api.Error, keep bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy = ""
	if !keep {
		return
	}
	o.answers[id] = answer
	o.sequence = append(o.sequence, id)
	if len(o.sequence) > rememberedOrders {
		delete(o.answers, o.sequence[0])
		o.sequence = o.sequence[1:]
	}
}

// order executes an order to the engine.
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
	if known, err := s.orders.begin(req.ID); known {
		return err
	}
	err := s.engine.Order(s.ctx, req)
	s.log.Info("order to the engine", "order", req.ID, "kind", req.Kind, "argument", req.Argument, "error", err)
	if err == nil {
		s.orders.finish(req.ID, nil, true)
		return nil
	}
	var answer *api.Error
	if errors.As(err, &answer) {
		s.orders.finish(req.ID, answer, true)
		return answer
	}
	s.orders.finish(req.ID, nil, false)
	return api.Errorf(api.CodeOutcomeUnknown, "order %s: %v", req.ID, err)
}

// orderTimeout bounds an order, which may load weights.
const orderTimeout = 2 * time.Minute

// Order passes an order on to the engine.
func (e *engine) Order(ctx context.Context, req *api.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.orders.JSON(ctx, fasthttp.MethodPost, e.address, enginePathOrders, req, nil)
}
