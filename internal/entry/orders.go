package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	orderJournal = 0 // Its owner gives orders to engines.
	// orderTick is the time between two plans while orders are under way; a fleet at rest is looked at less often.
	orderTick     = 100 * time.Millisecond
	orderRestTick = 500 * time.Millisecond
	// orderCommitLimit bounds the commit of a record of an order.
	orderCommitLimit = 30 * time.Second
	// orderSendLimit bounds one request to a sidecar, which answers within a few seconds.
	orderSendLimit = 10 * time.Second
	// orderBusyPause is the pause before asking again for the outcome of an order that is under way.
	orderBusyPause = 200 * time.Millisecond
	// orderRetryPause is the pause before an order without an outcome is sent again.
	orderRetryPause = 2 * time.Second
)

// giver gives orders to engines while this entry owns journal 0.
type giver struct {
	entry *Entry
	log   *slog.Logger

	// Of the present ownership; used by the goroutine of run only.
	shard   *shard
	planner *orders.Planner

	mu       sync.Mutex // Guards the fields below.
	attempts map[string]*orderAttempt
	settled  map[string]time.Time // Engine to when the outcome of its last order was known here.
	begun    time.Time            // When this ownership began; a predecessor's last outcomes are older.
}

// orderAttempt is what this ownership knows of the sending of one order. The giver's lock guards it.
type orderAttempt struct {
	sending     bool
	notBefore   time.Time
	incarnation string // Of the sidecar that has or may have the order; empty: none.
}

func newGiver(e *Entry) *giver { return &giver{entry: e, log: e.log} }

// run plans until the entry stops.
func (g *giver) run() {
	for g.entry.ctx.Err() == nil {
		pause := orderRestTick
		if g.step() {
			pause = orderTick
		}
		sleep(g.entry.ctx, pause)
	}
}

// step makes one plan, if this entry owns journal 0. It reports whether orders are under way.
func (g *giver) step() bool {
	s := g.entry.ownership.shard(orderJournal)
	if s == nil || !g.entry.fleet.askedAll() {
		return false
	}
	config, refused := g.entry.servingConfig()
	if refused != nil {
		g.log.Debug("no orders are given", "error", refused.Message)
		return false
	}
	now := time.Now()
	if s != g.shard {
		g.begin(s, now)
	}
	targets := orders.TargetsOf(config)
	g.resume(config, targets, now)
	planned := g.planner.Plan(g.input(config, targets, now))
	for i := range planned {
		g.give(s, &planned[i])
	}
	return len(s.book.UnderWay()) > 0
}

// begin starts over under a new ownership.
func (g *giver) begin(s *shard, now time.Time) {
	g.shard = s
	g.planner = orders.NewPlanner(orders.DefaultSettings(), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts = make(map[string]*orderAttempt)
	g.settled = make(map[string]time.Time)
	g.begun = now
}

func (g *giver) input(config *policy.Config, targets orders.Targets, now time.Time) orders.Input {
	return orders.Input{
		Now:           now,
		Targets:       targets,
		Engines:       g.engines(now),
		UnderWay:      g.shard.book.UnderWay(),
		Endings:       g.shard.book.Endings(),
		FetchInterval: config.FetchInterval(),
		Revision:      g.entry.configRevision(),
		Jitter:        rand.Float64,
	}
}

// engines returns the engines on the membership list as the last reports describe them.
func (g *giver) engines(now time.Time) []orders.Engine {
	maxAge := ms(g.entry.settings.DeadAfterMS)
	endings := g.shard.book.Endings()
	g.mu.Lock()
	defer g.mu.Unlock()
	settledAt := func(engine string) time.Time { return g.settledAt(engine, endings) }
	var out []orders.Engine
	for _, s := range g.entry.fleet.list() {
		e, ok := s.engine(now, maxAge, settledAt)
		if ok {
			out = append(out, e)
		}
	}
	return out
}

// settledAt returns the time before which a report of the engine may not show the effect of its last order. The caller
// holds mu.
func (g *giver) settledAt(engine string, endings map[string]orders.Ending) time.Time {
	if at, known := g.settled[engine]; known {
		return at
	}
	if _, known := endings[engine]; known {
		return g.begun // A predecessor's order has ended before.
	}
	return time.Time{}
}

// engine describes the sidecar's engine; ok is false for a service.
func (s *sidecar) engine(now time.Time, maxAge time.Duration, settledAt func(engine string) time.Time) (e orders.Engine, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.member.Kind != kindEngine {
		return e, false
	}
	e = orders.Engine{ID: s.member.ID, FailureDomain: s.member.FailureDomain, Leaving: s.member.Leaving}
	e.Serving.Model = s.member.Service
	if s.load.Serving != nil {
		e.Serving = *s.load.Serving
	}
	e.Ready = !s.seenAt.IsZero() && now.Sub(s.seenAt) <= maxAge && s.load.Healthy && (!s.load.Draining || e.Serving.Changing)
	e.Settled = s.askedAt.After(settledAt(e.ID))
	e.Load = float64(s.load.Running+s.load.Queued) / float64(max(1, s.load.Slots))
	return e, true
}

// give commits a new order and sends it.
func (g *giver) give(s *shard, o *orders.Order) {
	o.Number = s.book.Next()
	o.ID = fmt.Sprintf("order-%d-%d", s.journal.Fence().Number, o.Number)
	if err := s.commitOrder(orders.Record{Given: o}); err != nil {
		g.log.Warn("order not given", "order", o.ID, "error", err)
		return
	}
	if s.book.UnderWay()[o.Engine].ID != o.ID {
		return // Another order took its number while the outcome of that one's commit was unknown.
	}
	g.attempt(s, *o)
}

// commitOrder appends a record of an order and returns when it is durable and applied.
func (s *shard) commitOrder(r orders.Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := s.owned(context.Background())
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, orderCommitLimit)
	defer stop()
	return s.journal.AppendThen(ctx, data, func() { s.book.Commit(r) })
}

// resume sends the orders again that have no outcome and are not being sent, a predecessor's among them, and ends those
// that the configuration no longer asks for or whose engine is lost.
func (g *giver) resume(config *policy.Config, targets orders.Targets, now time.Time) {
	for _, o := range g.shard.book.UnderWay() {
		held, due := g.due(o.ID, now)
		if !due {
			continue
		}
		switch {
		case !targets.Wanted(o):
			g.end(g.shard, o, api.Errorf(api.CodeCancelled, "the configuration no longer asks for it"))
		case g.planner.Lost(o.Engine, now):
			g.end(g.shard, o, api.Errorf(api.CodeUnavailable, "the engine is lost"))
		case held || !o.Fetches():
			g.attempt(g.shard, o)
		case !g.planner.Unready(o.Engine) && g.planner.MayFetch(now, config.FetchInterval()):
			g.attempt(g.shard, o)
		}
	}
}

// due reports whether the order may be sent now, and whether the sidecar that is there now has it already.
func (g *giver) due(id string, now time.Time) (held, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.attempts[id]
	if a == nil {
		return false, true
	}
	return a.incarnation != "", !a.sending && !now.Before(a.notBefore)
}

// attempt sends the order without waiting for its outcome.
func (g *giver) attempt(s *shard, o orders.Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.attempts[o.ID]
	if a == nil {
		a = &orderAttempt{}
		g.attempts[o.ID] = a
	}
	a.sending = true
	go g.deliver(s, o, a)
}

// deliver audits the order, sends it once and records its outcome, if there is one.
func (g *giver) deliver(s *shard, o orders.Order, a *orderAttempt) {
	pause := orderRetryPause
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		a.sending = false
		a.notBefore = time.Now().Add(pause)
	}()
	if err := g.audit(s, o, "given", ""); err != nil {
		g.log.Warn("order not sent: the audit trail cannot be written", "order", o.ID, "error", err)
		return
	}
	err := g.send(s, o, a)
	var answer *api.Error
	switch {
	case err == nil:
		g.end(s, o, nil)
	case !errors.As(err, &answer):
		g.log.Warn("order without an answer", "order", o.ID, "engine", o.Engine, "error", err)
	case answer.Code == api.CodeOrderRunning:
		pause = orderBusyPause
	case answer.Code == api.CodeBackendError || answer.Code == api.CodeBadRequest:
		g.end(s, o, answer)
	default:
		g.forgetRun(a)
		g.log.Warn("order not taken", "order", o.ID, "engine", o.Engine, "error", answer.Message)
	}
}

// forgetRun notes that no sidecar is known to carry the order out.
func (g *giver) forgetRun(a *orderAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.incarnation = ""
}

// send sends the order to the incarnation of the sidecar that may have it, or to the present one.
func (g *giver) send(s *shard, o orders.Order, a *orderAttempt) error {
	sc := g.entry.fleet.get(o.Engine)
	if sc == nil {
		return fmt.Errorf("engine %s has left the membership list", o.Engine)
	}
	t := sc.target()
	g.mu.Lock()
	if a.incarnation == "" {
		a.incarnation = t.Incarnation
	}
	request := api.OrderRequest{
		ID: o.ID, Kind: o.Kind, Argument: o.Argument, Fence: s.journal.Fence(), Number: o.Number, Incarnation: a.incarnation,
	}
	g.mu.Unlock()
	ctx, cancel := s.owned(context.Background())
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, orderSendLimit)
	defer stop()
	return g.entry.client.JSON(ctx, "POST", t.Address, api.PathOrders, &request, nil)
}

// end records the outcome of an order: in the audit trail and then in the journal, so that an outcome that is not in the
// journal is asked for again and none is missing from the trail.
func (g *giver) end(s *shard, o orders.Order, refused *api.Error) {
	e := orders.Ending{Order: o, Code: api.CodeOK, AtMS: time.Now().UnixMilli()}
	detail := "done"
	if refused != nil {
		e.Code, e.Message = refused.Code, refused.Message
		detail = refused.Error()
	}
	if err := g.audit(s, o, "ended", detail); err != nil {
		g.log.Warn("outcome of an order not audited", "order", o.ID, "error", err)
		return
	}
	// Before the commit: a plan made between the two would take an old report for what the engine serves now.
	g.settle(o.Engine)
	if err := s.commitOrder(orders.Record{Ended: &e}); err != nil {
		g.log.Warn("outcome of an order not recorded", "order", o.ID, "error", err)
		return
	}
	g.entry.metrics.set.GetOrCreateCounter(fmt.Sprintf(`redwinggauge_engine_orders_total{code="%d"}`, e.Code)).Inc()
	g.log.Info("order ended", "order", o.ID, "engine", o.Engine, "kind", o.Kind, "argument", o.Argument, "outcome", detail)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts, o.ID)
}

// settle notes that the outcome of the engine's last order is known now.
func (g *giver) settle(engine string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled[engine] = time.Now()
}

// audit writes that the order was given or has ended. The event's id is equal in every repetition.
func (g *giver) audit(s *shard, o orders.Order, stage, outcome string) error {
	ctx, cancel := s.owned(context.Background())
	defer cancel()
	detail := fmt.Sprintf("%s %s %s, order %s", stage, o.Kind, o.Argument, o.ID)
	if outcome != "" {
		detail += ": " + outcome
	}
	return g.entry.store.Audit(ctx, policy.Event{
		ID:       o.ID + "/" + stage,
		Kind:     policy.EventOrder,
		Actor:    fmt.Sprintf("entry %s, fencing number %d", g.entry.settings.ID, s.journal.Fence().Number),
		Target:   o.Engine,
		Reason:   o.Reason,
		Detail:   detail,
		Revision: o.Revision,
	})
}

// withServing returns the members with what the sidecars of engines report that they serve, which an order may have
// changed since the membership list was written.
func (f *fleet) withServing(members []ports.Member) []ports.Member {
	out := slices.Clone(members)
	for i := range out {
		s := f.get(out[i].ID)
		if s == nil || out[i].Kind != kindEngine {
			continue
		}
		s.mu.Lock()
		if s.load.Serving != nil {
			out[i].Service = s.load.Serving.Model
		}
		s.mu.Unlock()
	}
	return out
}
