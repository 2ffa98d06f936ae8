package entry

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// service runs a call of a plain service by the rule of its action.
func (x *execution) service(ctx context.Context) (api.Event, *api.Error) {
	if intent := x.begun.View.Intent; intent != nil {
		last, settled, err := x.settleIntent(ctx, intent)
		if settled || err != nil {
			return last, err
		}
	}
	if x.call.HTTP == nil {
		return api.Event{}, api.Errorf(api.CodeCancelled, "the call did not run")
	}
	rule := x.entry.actionRule(x.call.HTTP)
	if rule.Idempotent {
		return x.idempotent(ctx, rule)
	}
	return x.nonIdempotent(ctx, rule)
}

// serviceRequest returns the message to a sidecar.
func (x *execution) serviceRequest(rule policy.ActionRule, attempt int) *api.CallRequest {
	request := x.request(api.KindService, attempt, x.entry.priorityOf(x.begun.View.Class))
	request.Idempotent = rule.Idempotent
	request.TimeoutMS = rule.Timeout.Milliseconds()
	request.HTTP = x.call.HTTP
	return request
}

// serviceRun is the progress of an idempotent service call over several attempts.
type serviceRun struct {
	tried      map[string]bool
	mayHaveRun bool // Some attempt may have run.
	last       *api.Error
}

// idempotent tries the call at one server after another.
func (x *execution) idempotent(ctx context.Context, rule policy.ActionRule) (api.Event, *api.Error) {
	run := serviceRun{tried: make(map[string]bool)}
	for try := 1; try <= maxAttempts && ctx.Err() == nil; try++ {
		mayRepeat := rule.Retry || !run.mayHaveRun
		if try > 1 && (!mayRepeat || !x.entry.retries.withdraw()) {
			break
		}
		result, err := x.tryService(ctx, &run, rule, try)
		switch {
		case err != nil:
			return api.Event{}, run.explain(err)
		case result != nil:
			x.entry.retries.success()
			return x.finishService(ctx, resultOutcome(x.call, result))
		}
	}
	if run.last == nil {
		run.last = api.Errorf(api.CodeUnavailable, "the call was not tried: %v", ctx.Err())
	}
	return api.Event{}, run.explain(run.last)
}

// tryService makes one attempt. It returns a result, an error that ends the call, or neither when the call may be tried
// again.
func (x *execution) tryService(ctx context.Context, run *serviceRun, rule policy.ActionRule, number int) (*api.Result, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return nil, refused
	}
	s, t, err := x.routeService(run.tried)
	if err != nil {
		if run.last == nil || err.Code == api.CodeUnknownService {
			return nil, err
		}
		sleep(ctx, retryPause)
		clear(run.tried)
		return nil, nil
	}
	request := x.serviceRequest(rule, number)
	request.Alone = alone
	done := s.begin(x.call.Program)
	result, failure := x.entry.attempt(ctx, t, request, modelReattachLimit, func(api.Event) {})
	done(keepHold)
	if failure == nil {
		x.ranAlone(alone)
		return result, nil
	}
	run.mayHaveRun = run.mayHaveRun || failure.mayRun
	run.last = failure.err
	run.tried[t.ID] = true
	switch {
	case failure.err.Code == api.CodeStaleFence:
		return nil, x.deposed()
	case final(failure.err.Code):
		return nil, failure.err
	case failure.finished && brokeBackend(failure.err.Code):
		x.awaitCrashReport(ctx, s, t)
	}
	return nil, nil
}

// explain turns a refusal into an interruption when an earlier attempt may have run.
func (r *serviceRun) explain(err *api.Error) *api.Error {
	if r.mayHaveRun && err.Code.SafeToResend() && err.Code != api.CodeNotOwner {
		return api.Errorf(api.CodeInterrupted, "an earlier attempt may have run; the last one was refused: %s", err.Message)
	}
	return err
}

// routeService routes the call.
func (x *execution) routeService(tried map[string]bool) (*sidecar, target, *api.Error) {
	return x.entry.route(routeRequest{
		kind:     api.KindService,
		service:  x.call.HTTP.Service,
		program:  x.call.Program,
		priority: x.entry.priorityOf(x.begun.View.Class),
		tried:    tried,
	})
}

// nonIdempotent commits an intent, sends the call to the one sidecar that the intent names, and commits the outcome.
func (x *execution) nonIdempotent(ctx context.Context, rule policy.ActionRule) (api.Event, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return api.Event{}, refused
	}
	tried := make(map[string]bool)
	number := x.begun.View.Attempt
	last := api.Errorf(api.CodeUnavailable, "the call was not tried")
	for try := 0; try < maxAttempts && ctx.Err() == nil; try++ {
		s, t, err := x.routeService(tried)
		if err != nil && try > 0 {
			return api.Event{}, last
		}
		if err != nil {
			return api.Event{}, err
		}
		number++
		outcome, refused, err := x.sendOnce(ctx, rule, s, t, number, alone)
		switch {
		case err != nil:
			return api.Event{}, err
		case outcome != nil:
			return x.finishService(ctx, outcome)
		}
		last = refused
		tried[t.ID] = true
	}
	return api.Event{}, last
}

// sendOnce makes one attempt at one sidecar. It returns the outcome, or the refusal that proves that the call did not run
// and never will under this attempt, or an error that ends the call here.
func (x *execution) sendOnce(ctx context.Context, rule policy.ActionRule, s *sidecar, t target, number int, alone bool) (outcome *program.Outcome, refused, err *api.Error) {
	intent := &program.Intent{
		Seq: x.call.Seq, Digest: x.call.Digest, Attempt: number,
		Sidecar: t.ID, Address: t.Address, Incarnation: t.Incarnation,
	}
	if err := x.commitIntent(ctx, intent); err != nil {
		return nil, nil, err
	}
	done := s.begin(x.call.Program)
	request := x.serviceRequest(rule, number)
	request.Alone = alone
	result, failure := x.entry.attempt(ctx, t, request, modelReattachLimit, func(api.Event) {})
	done(keepHold)
	if failure == nil {
		x.ranAlone(alone)
		return resultOutcome(x.call, result), nil, nil
	}
	outcome, retry, err := x.afterFailure(ctx, intent, failure)
	if retry && err == nil {
		return nil, failure.err, nil
	}
	return outcome, nil, err
}

func (x *execution) commitIntent(ctx context.Context, intent *program.Intent) *api.Error {
	wait, cancel := context.WithTimeout(ctx, ms(x.entry.settings.CommitWaitMS))
	defer cancel()
	record := &program.Record{Program: x.call.Program, AtMS: time.Now().UnixMilli(), Intent: intent}
	return x.shard.commit(wait, record)
}

// afterFailure decides after a failed attempt of a non-idempotent call: retry when it provably did not run and never
// will; otherwise the outcome, which is unknown unless the sidecar can tell.
func (x *execution) afterFailure(ctx context.Context, intent *program.Intent, failure *attemptError) (*program.Outcome, bool, *api.Error) {
	if failure.err.Code == api.CodeStaleFence {
		return nil, false, x.deposed()
	}
	if !failure.mayRun {
		return nil, true, x.releaseIntent(ctx, failure.err)
	}
	if failure.finished {
		return x.unknown(failure.err.Message), false, nil
	}
	return x.resolve(ctx, intent)
}

// resolve asks the intent's sidecar for the outcome.
func (x *execution) resolve(ctx context.Context, intent *program.Intent) (*program.Outcome, bool, *api.Error) {
	address := intent.Address
	if s := x.entry.fleet.get(intent.Sidecar); s != nil {
		address = s.target().Address
	}
	answer, err := x.entry.settle(ctx, address, api.SettleRequest{
		CallID:      x.callID(),
		Attempt:     intent.Attempt,
		Incarnation: intent.Incarnation,
		Fence:       x.shard.journal.Fence(),
	}, settleLimit)
	if err != nil && err.Code == api.CodeStaleFence {
		return nil, false, x.deposed()
	}
	if x.shard.ctx.Err() != nil {
		return nil, false, api.Errorf(api.CodeNotOwner, "journal %d was handed over", x.shard.id)
	}
	if err != nil {
		return x.unknown(err.Message), false, nil
	}
	switch answer.State {
	case api.SettleNever:
		return nil, true, x.releaseIntent(ctx, api.Errorf(api.CodeUnavailable, "sidecar %s never started the call", intent.Sidecar))
	case api.SettleGone:
		return x.unknown("sidecar " + intent.Sidecar + " was restarted while the call may have run"), false, nil
	}
	t := target{ID: intent.Sidecar, Address: address, Incarnation: intent.Incarnation}
	rule := policy.ActionRule{}
	if x.call.HTTP != nil {
		rule = x.entry.actionRule(x.call.HTTP)
	}
	result, failure := x.entry.attempt(ctx, t, x.serviceRequest(rule, intent.Attempt), settleLimit, func(api.Event) {})
	switch {
	case failure == nil:
		return resultOutcome(x.call, result), false, nil
	case x.shard.ctx.Err() != nil:
		return nil, false, api.Errorf(api.CodeNotOwner, "journal %d was handed over", x.shard.id)
	case failure.finished && !failure.mayRun:
		return nil, true, x.releaseIntent(ctx, failure.err)
	default:
		return x.unknown(failure.err.Message), false, nil
	}
}

// settleIntent settles the intent that an earlier owner left. settled is false when the call never ran, so that it may
// be sent now.
func (x *execution) settleIntent(ctx context.Context, intent *program.Intent) (last api.Event, settled bool, err *api.Error) {
	outcome, retry, err := x.resolve(ctx, intent)
	if err != nil || retry {
		return api.Event{}, false, err
	}
	last, err = x.finishService(ctx, outcome)
	return last, true, err
}

// releaseIntent commits that the intent's call did not run.
func (x *execution) releaseIntent(ctx context.Context, cause *api.Error) *api.Error {
	record := &program.Record{
		Program: x.call.Program,
		AtMS:    time.Now().UnixMilli(),
		Outcome: &program.Outcome{Seq: x.call.Seq, Digest: x.call.Digest, Code: api.CodeCancelled, Message: cause.Message},
	}
	return x.shard.commit(ctx, record)
}

// finishService commits the outcome and returns the last event.
func (x *execution) finishService(ctx context.Context, outcome *program.Outcome) (api.Event, *api.Error) {
	record := &program.Record{Program: x.call.Program, AtMS: time.Now().UnixMilli(), Outcome: outcome}
	if err := x.shard.commit(ctx, record); err != nil {
		return api.Event{}, err
	}
	return outcomeEvent(outcome), nil
}

// unknown is the outcome of a call that may have run.
func (x *execution) unknown(why string) *program.Outcome {
	return &program.Outcome{Seq: x.call.Seq, Digest: x.call.Digest, Code: api.CodeOutcomeUnknown, Message: why}
}

// resultOutcome is the outcome of a call that ran.
func resultOutcome(call *api.OwnerCall, r *api.Result) *program.Outcome {
	return &program.Outcome{
		Seq: call.Seq, Digest: call.Digest, Code: api.CodeOK,
		Status: r.Status, ContentType: r.ContentType, Body: r.Body,
	}
}
