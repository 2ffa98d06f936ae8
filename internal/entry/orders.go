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
	// orderJournal is the journal whose owner sends orders to engines.
	orderJournal = 0
	// planInterval is the time between two plans while orders are in progress. idlePlanInterval applies otherwise.
	planInterval     = 100 * time.Millisecond
	idlePlanInterval = 500 * time.Millisecond
	// orderCommitTimeout is the timeout for committing a record of an order.
	orderCommitTimeout = 30 * time.Second
	// orderSendTimeout is the timeout for one request to a sidecar. Sidecars answer within a few seconds.
	orderSendTimeout = 10 * time.Second
	// orderPollPause is the pause before the outcome of an order that is in progress is asked for again.
	orderPollPause = 200 * time.Millisecond
	// orderRetryPause is the pause before an order without a known outcome is sent again.
	orderRetryPause = 2 * time.Second
)

// orderDispatcher plans orders to engines and sends them to the engines' sidecars while this entry owns journal 0.
type orderDispatcher struct {
	entry *Entry
	log   *slog.Logger

	// State of the current ownership, used only by the goroutine of run.
	shard   *shard
	planner *orders.Planner

	mu           sync.Mutex // Guards the fields below.
	attempts     map[string]*orderAttempt
	outcomeTimes map[string]time.Time // By engine: when this entry learned the outcome of its last order.
	ownedSince   time.Time            // When this ownership began. Outcomes that an earlier owner recorded are older.
}

// orderAttempt is the delivery state of one order under the current ownership. It is guarded by orderDispatcher.mu.
type orderAttempt struct {
	sending     bool      // A delivery is in progress.
	notBefore   time.Time // Earliest time of the next delivery.
	incarnation string    // Incarnation of the sidecar that has or may have received the order; empty: none.
}

func newOrderDispatcher(e *Entry) *orderDispatcher { return &orderDispatcher{entry: e, log: e.log} }

// run makes and carries out plans until the entry stops.
func (d *orderDispatcher) run() {
	for d.entry.ctx.Err() == nil {
		pause := idlePlanInterval
		if d.step() {
			pause = planInterval
		}
		sleep(d.entry.ctx, pause)
	}
}

// step makes one plan and starts its orders if this entry owns journal 0 and every listed sidecar has been contacted. It
// reports whether orders are in progress.
func (d *orderDispatcher) step() bool {
	s := d.entry.ownership.shard(orderJournal)
	if s == nil || !d.entry.fleet.allContacted() {
		return false
	}
	config, refused := d.entry.servingConfig()
	if refused != nil {
		d.log.Debug("no orders are given", "error", refused.Message)
		return false
	}
	now := time.Now()
	if s != d.shard {
		d.reset(s, now)
	}
	targets := orders.TargetsOf(config)
	d.resume(config, targets, now)
	planned := d.planner.Plan(d.planInput(config, targets, now))
	for i := range planned {
		d.dispatch(s, &planned[i])
	}
	return len(s.book.UnderWay()) > 0
}

// reset discards the state of an earlier ownership and starts with the new one.
func (d *orderDispatcher) reset(s *shard, now time.Time) {
	d.shard = s
	d.planner = orders.NewPlanner(orders.DefaultSettings(), now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = make(map[string]*orderAttempt)
	d.outcomeTimes = make(map[string]time.Time)
	d.ownedSince = now
}

// planInput collects the planner's input.
func (d *orderDispatcher) planInput(config *policy.Config, targets orders.Targets, now time.Time) orders.Input {
	return orders.Input{
		Now:           now,
		Targets:       targets,
		Engines:       d.engines(now),
		UnderWay:      d.shard.book.UnderWay(),
		Outcomes:      d.shard.book.Outcomes(),
		FetchInterval: config.FetchInterval(),
		Revision:      d.entry.configRevision(),
		Jitter:        rand.Float64,
	}
}

// engines returns the state of the engines on the membership list according to their last reports.
func (d *orderDispatcher) engines(now time.Time) []orders.Engine {
	maxAge := ms(d.entry.settings.DeadAfterMS)
	outcomes := d.shard.book.Outcomes()
	d.mu.Lock()
	defer d.mu.Unlock()
	lastOutcomeTime := func(engine string) time.Time { return d.lastOutcomeTime(engine, outcomes) }
	var out []orders.Engine
	for _, s := range d.entry.fleet.list() {
		e, ok := s.engineState(now, maxAge, lastOutcomeTime)
		if ok {
			out = append(out, e)
		}
	}
	return out
}

// lastOutcomeTime returns when the outcome of the engine's last order became known, or the zero time if there was no
// order. A report requested before that time may not show the effect of the order. The caller holds mu.
func (d *orderDispatcher) lastOutcomeTime(engine string, outcomes map[string]orders.Outcome) time.Time {
	if at, known := d.outcomeTimes[engine]; known {
		return at
	}
	if _, known := outcomes[engine]; known {
		return d.ownedSince // The order ended under an earlier owner, before this ownership began.
	}
	return time.Time{}
}

// engineState returns the planner's view of the sidecar's engine. ok is false if the sidecar serves a plain service. An
// engine whose last report is older than maxAge does not count as ready.
func (s *sidecar) engineState(now time.Time, maxAge time.Duration, lastOutcomeTime func(engine string) time.Time) (e orders.Engine, ok bool) {
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
	e.ReportCurrent = s.requestSentAt.After(lastOutcomeTime(e.ID))
	e.Load = float64(s.load.Running+s.load.Queued) / float64(max(1, s.load.Slots))
	return e, true
}

// dispatch assigns the order its number and id, commits it and starts its delivery.
func (d *orderDispatcher) dispatch(s *shard, o *orders.Order) {
	o.Number = s.book.NextNumber()
	o.ID = fmt.Sprintf("order-%d-%d", s.journal.Fence().Number, o.Number)
	if err := s.commitOrder(orders.Record{Given: o}); err != nil {
		d.log.Warn("order not committed", "order", o.ID, "error", err)
		return
	}
	if s.book.UnderWay()[o.Engine].ID != o.ID {
		return // The outcome of another order's commit was unknown; that order was committed with the same number.
	}
	d.startDelivery(s, *o)
}

// commitOrder appends a record of an order to the journal and returns when it is durable and applied to the book.
func (s *shard) commitOrder(r orders.Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := s.ownedContext(context.Background())
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, orderCommitTimeout)
	defer stop()
	return s.journal.AppendThen(ctx, data, func() { s.book.ApplyRecord(r) })
}

// resume handles the orders that have no outcome and are not being delivered, including those of an earlier owner. It
// delivers them again, or ends them if the configuration no longer asks for them or the engine is lost.
func (d *orderDispatcher) resume(config *policy.Config, targets orders.Targets, now time.Time) {
	for _, o := range d.shard.book.UnderWay() {
		received, due := d.due(o.ID, now)
		if !due {
			continue
		}
		switch {
		case !targets.Wanted(o):
			d.finish(d.shard, o, api.Errorf(api.CodeCancelled, "the configuration no longer asks for it"))
		case d.planner.Lost(o.Engine, now):
			d.finish(d.shard, o, api.Errorf(api.CodeUnavailable, "the engine is lost"))
		case received || !o.Fetches():
			d.startDelivery(d.shard, o)
		case !d.planner.Unready(o.Engine) && d.planner.AllowFetch(now, config.FetchInterval()):
			d.startDelivery(d.shard, o)
		}
	}
}

// due reports whether the order may be sent now (due), and whether a sidecar has or may have received it (received).
func (d *orderDispatcher) due(id string, now time.Time) (received, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[id]
	if a == nil {
		return false, true
	}
	return a.incarnation != "", !a.sending && !now.Before(a.notBefore)
}

// startDelivery starts delivering the order in a goroutine of its own.
func (d *orderDispatcher) startDelivery(s *shard, o orders.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[o.ID]
	if a == nil {
		a = &orderAttempt{}
		d.attempts[o.ID] = a
	}
	a.sending = true
	go d.deliver(s, o, a)
}

// deliver writes the order to the audit trail, sends it once and records its outcome if the sidecar answers with one.
func (d *orderDispatcher) deliver(s *shard, o orders.Order, a *orderAttempt) {
	pause := orderRetryPause
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		a.sending = false
		a.notBefore = time.Now().Add(pause)
	}()
	if err := d.audit(s, o, "given", ""); err != nil {
		d.log.Warn("order not sent: the audit trail cannot be written", "order", o.ID, "error", err)
		return
	}
	err := d.send(s, o, a)
	var answer *api.Error
	switch {
	case err == nil:
		d.finish(s, o, nil)
	case !errors.As(err, &answer):
		d.log.Warn("no answer to order", "order", o.ID, "engine", o.Engine, "error", err)
	case answer.Code == api.CodeOrderRunning:
		pause = orderPollPause
	case answer.Code == api.CodeBackendError || answer.Code == api.CodeBadRequest:
		d.finish(s, o, answer)
	default:
		d.clearIncarnation(a)
		d.log.Warn("order refused by sidecar", "order", o.ID, "engine", o.Engine, "error", answer.Message)
	}
}

// clearIncarnation records that no sidecar is known to have received the order.
func (d *orderDispatcher) clearIncarnation(a *orderAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.incarnation = ""
}

// send sends the order, addressed to the incarnation of the sidecar that may already have received it, or else to the
// current incarnation.
func (d *orderDispatcher) send(s *shard, o orders.Order, a *orderAttempt) error {
	sc := d.entry.fleet.get(o.Engine)
	if sc == nil {
		return fmt.Errorf("engine %s has left the membership list", o.Engine)
	}
	t := sc.target()
	d.mu.Lock()
	if a.incarnation == "" {
		a.incarnation = t.Incarnation
	}
	request := api.OrderRequest{
		ID: o.ID, Kind: o.Kind, Argument: o.Argument, Fence: s.journal.Fence(), Number: o.Number, Incarnation: a.incarnation,
	}
	d.mu.Unlock()
	ctx, cancel := s.ownedContext(context.Background())
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, orderSendTimeout)
	defer stop()
	return d.entry.client.JSON(ctx, "POST", t.Address, api.PathOrders, &request, nil)
}

// finish records the outcome of an order in the audit trail and then in the journal. This sequence ensures that the trail
// lacks no outcome: an outcome that is not yet in the journal is asked for again.
func (d *orderDispatcher) finish(s *shard, o orders.Order, refused *api.Error) {
	outcome := orders.Outcome{Order: o, Code: api.CodeOK, AtMS: time.Now().UnixMilli()}
	detail := "done"
	if refused != nil {
		outcome.Code, outcome.Message = refused.Code, refused.Message
		detail = refused.Error()
	}
	if err := d.audit(s, o, "ended", detail); err != nil {
		d.log.Warn("outcome of order not written to the audit trail", "order", o.ID, "error", err)
		return
	}
	// Must precede the commit. Otherwise a plan made between the two would treat an old report as the engine's current
	// state.
	d.recordOutcomeTime(o.Engine)
	if err := s.commitOrder(orders.Record{Ended: &outcome}); err != nil {
		d.log.Warn("outcome of order not committed", "order", o.ID, "error", err)
		return
	}
	d.entry.metrics.set.GetOrCreateCounter(fmt.Sprintf(`redwinggauge_engine_orders_total{code="%d"}`, outcome.Code)).Inc()
	d.log.Info("order ended", "order", o.ID, "engine", o.Engine, "kind", o.Kind, "argument", o.Argument, "outcome", detail)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, o.ID)
}

// recordOutcomeTime records that the outcome of the engine's last order became known now.
func (d *orderDispatcher) recordOutcomeTime(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomeTimes[engine] = time.Now()
}

// audit writes to the audit trail that the order was given or has ended. Repeated writes use the same event id.
func (d *orderDispatcher) audit(s *shard, o orders.Order, stage, outcome string) error {
	ctx, cancel := s.ownedContext(context.Background())
	defer cancel()
	detail := fmt.Sprintf("%s %s %s, order %s", stage, o.Kind, o.Argument, o.ID)
	if outcome != "" {
		detail += ": " + outcome
	}
	return d.entry.store.Audit(ctx, policy.Event{
		ID:       o.ID + "/" + stage,
		Kind:     policy.EventOrder,
		Actor:    fmt.Sprintf("entry %s, fencing number %d", d.entry.settings.ID, s.journal.Fence().Number),
		Target:   o.Engine,
		Reason:   o.Reason,
		Detail:   detail,
		Revision: o.Revision,
	})
}

// withServing returns the members with the model that each engine's sidecar reports to serve. An order may have changed
// it since the membership list was written.
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
