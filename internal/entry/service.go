package entry

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// runService runs a call of a plain service according to the rule of its action. It first resolves an intent that an
// earlier owner committed for the call.
func (x *execution) runService(ctx context.Context) (api.Event, *api.Error) {
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
		return x.runIdempotent(ctx, rule)
	}
	return x.runNonIdempotent(ctx, rule)
}

// serviceRequest returns the call's message to a sidecar.
func (x *execution) serviceRequest(rule policy.ActionRule, attempt int) *api.CallRequest {
	request := x.request(api.KindService, attempt, x.entry.priorityOf(x.begun.View.Class))
	request.Idempotent = rule.Idempotent
	request.TimeoutMS = rule.Timeout.Milliseconds()
	request.HTTP = x.call.HTTP
	return request
}

// serviceRun is the state of an idempotent service call over its attempts.
type serviceRun struct {
	tried      map[string]bool // Servers that failed since the last pause.
	mayHaveRun bool            // An attempt may have run.
	lastError  *api.Error
}

// runIdempotent attempts the call at one server after another. After an attempt that may have run, it tries again only if
// the rule allows retries.
func (x *execution) runIdempotent(ctx context.Context, rule policy.ActionRule) (api.Event, *api.Error) {
	run := serviceRun{tried: make(map[string]bool)}
	for try := 1; try <= maxAttempts && ctx.Err() == nil; try++ {
		mayRepeat := rule.Retry || !run.mayHaveRun
		if try > 1 && (!mayRepeat || !x.entry.retryBudget.withdraw()) {
			break
		}
		result, err := x.tryService(ctx, &run, rule, try)
		switch {
		case err != nil:
			return api.Event{}, run.withAmbiguity(err)
		case result != nil:
			x.entry.retryBudget.success()
			return x.finishService(ctx, resultOutcome(x.call, result))
		}
	}
	if run.lastError == nil {
		run.lastError = api.Errorf(api.CodeUnavailable, "the call was not attempted: %v", ctx.Err())
	}
	return api.Event{}, run.withAmbiguity(run.lastError)
}

// tryService makes one attempt. It returns a result, an error that ends the call, or neither if the call may be tried
// again.
func (x *execution) tryService(ctx context.Context, run *serviceRun, rule policy.ActionRule, attempt int) (*api.Result, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return nil, refused
	}
	s, t, err := x.routeService(run.tried)
	if err != nil {
		if run.lastError == nil || err.Code == api.CodeUnknownService {
			return nil, err
		}
		sleep(ctx, retryPause)
		clear(run.tried)
		return nil, nil
	}
	request := x.serviceRequest(rule, attempt)
	request.Alone = alone
	endCall := s.beginCall(x.call.Program)
	result, failure := x.entry.attempt(ctx, t, request, reattachTimeout, func(api.Event) {})
	endCall(keepHold)
	if failure == nil {
		x.clearSuspectIfAlone(alone)
		return result, nil
	}
	run.mayHaveRun = run.mayHaveRun || failure.mayRun
	run.lastError = failure.err
	run.tried[t.ID] = true
	switch {
	case failure.err.Code == api.CodeStaleFence:
		return nil, x.stepDown()
	case isFinal(failure.err.Code):
		return nil, failure.err
	case failure.finished && backendConnectionLost(failure.err.Code):
		x.awaitCrashReport(ctx, s, t)
	}
	return nil, nil
}

// withAmbiguity returns err, or CodeInterrupted if err says that the call did not run although an earlier attempt may have
// run.
func (r *serviceRun) withAmbiguity(err *api.Error) *api.Error {
	if r.mayHaveRun && err.Code.SafeToResend() && err.Code != api.CodeNotOwner {
		return api.Errorf(api.CodeInterrupted, "an earlier attempt may have run; the last one was refused: %s", err.Message)
	}
	return err
}

// routeService chooses a sidecar for the call.
func (x *execution) routeService(tried map[string]bool) (*sidecar, target, *api.Error) {
	return x.entry.route(routeRequest{
		kind:     api.KindService,
		service:  x.call.HTTP.Service,
		program:  x.call.Program,
		priority: x.entry.priorityOf(x.begun.View.Class),
		tried:    tried,
	})
}

// runNonIdempotent commits an intent that names a sidecar, sends the call to that sidecar, and commits the outcome. It tries
// another sidecar only after an attempt that provably did not run and never will.
func (x *execution) runNonIdempotent(ctx context.Context, rule policy.ActionRule) (api.Event, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return api.Event{}, refused
	}
	tried := make(map[string]bool)
	attempt := x.begun.View.Attempt
	lastRefusal := api.Errorf(api.CodeUnavailable, "the call was not attempted")
	for try := 0; try < maxAttempts && ctx.Err() == nil; try++ {
		s, t, err := x.routeService(tried)
		if err != nil && try > 0 {
			return api.Event{}, lastRefusal
		}
		if err != nil {
			return api.Event{}, err
		}
		attempt++
		outcome, refused, err := x.sendOnce(ctx, rule, s, t, attempt, alone)
		switch {
		case err != nil:
			return api.Event{}, err
		case outcome != nil:
			return x.finishService(ctx, outcome)
		}
		lastRefusal = refused
		tried[t.ID] = true
	}
	return api.Event{}, lastRefusal
}

// sendOnce makes one attempt at one sidecar. It returns the outcome, a refusal which proves that this attempt of the call
// did not run and never will, or an error that ends the call at this owner.
func (x *execution) sendOnce(ctx context.Context, rule policy.ActionRule, s *sidecar, t target, attempt int, alone bool) (outcome *program.Outcome, refused, err *api.Error) {
	intent := &program.Intent{
		Seq: x.call.Seq, Digest: x.call.Digest, Attempt: attempt,
		Sidecar: t.ID, Address: t.Address, Incarnation: t.Incarnation,
	}
	if err := x.commitIntent(ctx, intent); err != nil {
		return nil, nil, err
	}
	endCall := s.beginCall(x.call.Program)
	request := x.serviceRequest(rule, attempt)
	request.Alone = alone
	result, failure := x.entry.attempt(ctx, t, request, reattachTimeout, func(api.Event) {})
	endCall(keepHold)
	if failure == nil {
		x.clearSuspectIfAlone(alone)
		return resultOutcome(x.call, result), nil, nil
	}
	outcome, retry, err := x.handleServiceFailure(ctx, intent, failure)
	if retry && err == nil {
		return nil, failure.err, nil
	}
	return outcome, nil, err
}

// commitIntent commits the intent. The call must not be sent unless it has returned without an error.
func (x *execution) commitIntent(ctx context.Context, intent *program.Intent) *api.Error {
	waitCtx, cancel := context.WithTimeout(ctx, ms(x.entry.settings.CommitWaitMS))
	defer cancel()
	record := &program.Record{Program: x.call.Program, AtMS: time.Now().UnixMilli(), Intent: intent}
	return x.shard.commit(waitCtx, record)
}

// handleServiceFailure handles a failed attempt of a non-idempotent call. The second result is true if the attempt
// provably did not run and never will, so that the call may be sent again. Otherwise it returns the outcome, which is
// unknown unless the sidecar can report it.
func (x *execution) handleServiceFailure(ctx context.Context, intent *program.Intent, failure *attemptError) (*program.Outcome, bool, *api.Error) {
	if failure.err.Code == api.CodeStaleFence {
		return nil, false, x.stepDown()
	}
	if !failure.mayRun {
		return nil, true, x.releaseIntent(ctx, failure.err)
	}
	if failure.finished {
		return x.unknownOutcome(failure.err.Message), false, nil
	}
	return x.resolveOutcome(ctx, intent)
}

// resolveOutcome asks the intent's sidecar for the outcome of the call. The results are those of handleServiceFailure.
func (x *execution) resolveOutcome(ctx context.Context, intent *program.Intent) (*program.Outcome, bool, *api.Error) {
	address := intent.Address
	if s := x.entry.fleet.get(intent.Sidecar); s != nil {
		address = s.target().Address
	}
	answer, err := x.entry.queryOutcome(ctx, address, api.SettleRequest{
		CallID:      x.callID(),
		Attempt:     intent.Attempt,
		Incarnation: intent.Incarnation,
		Fence:       x.shard.journal.Fence(),
	}, outcomeQueryTimeout)
	if err != nil && err.Code == api.CodeStaleFence {
		return nil, false, x.stepDown()
	}
	if x.shard.ctx.Err() != nil {
		return nil, false, api.Errorf(api.CodeNotOwner, "journal %d was handed over", x.shard.id)
	}
	if err != nil {
		return x.unknownOutcome(err.Message), false, nil
	}
	switch answer.State {
	case api.SettleNever:
		return nil, true, x.releaseIntent(ctx, api.Errorf(api.CodeUnavailable, "sidecar %s never started the call", intent.Sidecar))
	case api.SettleGone:
		return x.unknownOutcome("sidecar " + intent.Sidecar + " was restarted while the call may have run"), false, nil
	}
	t := target{ID: intent.Sidecar, Address: address, Incarnation: intent.Incarnation}
	rule := policy.ActionRule{}
	if x.call.HTTP != nil {
		rule = x.entry.actionRule(x.call.HTTP)
	}
	result, failure := x.entry.attempt(ctx, t, x.serviceRequest(rule, intent.Attempt), outcomeQueryTimeout, func(api.Event) {})
	switch {
	case failure == nil:
		return resultOutcome(x.call, result), false, nil
	case x.shard.ctx.Err() != nil:
		return nil, false, api.Errorf(api.CodeNotOwner, "journal %d was handed over", x.shard.id)
	case failure.finished && !failure.mayRun:
		return nil, true, x.releaseIntent(ctx, failure.err)
	default:
		return x.unknownOutcome(failure.err.Message), false, nil
	}
}

// settleIntent resolves the intent that an earlier owner left and commits its outcome. settled is false if the call never
// ran, so that it may be sent now.
func (x *execution) settleIntent(ctx context.Context, intent *program.Intent) (last api.Event, settled bool, err *api.Error) {
	outcome, retry, err := x.resolveOutcome(ctx, intent)
	if err != nil || retry {
		return api.Event{}, false, err
	}
	last, err = x.finishService(ctx, outcome)
	return last, true, err
}

// releaseIntent commits that the call of the intent did not run.
func (x *execution) releaseIntent(ctx context.Context, cause *api.Error) *api.Error {
	record := &program.Record{
		Program: x.call.Program,
		AtMS:    time.Now().UnixMilli(),
		Outcome: &program.Outcome{Seq: x.call.Seq, Digest: x.call.Digest, Code: api.CodeCancelled, Message: cause.Message},
	}
	return x.shard.commit(ctx, record)
}

// finishService commits the outcome and returns the call's last event.
func (x *execution) finishService(ctx context.Context, outcome *program.Outcome) (api.Event, *api.Error) {
	record := &program.Record{Program: x.call.Program, AtMS: time.Now().UnixMilli(), Outcome: outcome}
	if err := x.shard.commit(ctx, record); err != nil {
		return api.Event{}, err
	}
	return outcomeEvent(outcome), nil
}

// unknownOutcome returns the outcome of a call for which it cannot be determined whether it ran.
func (x *execution) unknownOutcome(reason string) *program.Outcome {
	return &program.Outcome{Seq: x.call.Seq, Digest: x.call.Digest, Code: api.CodeOutcomeUnknown, Message: reason}
}

// resultOutcome returns the outcome of a call that ran and returned a result.
func resultOutcome(call *api.OwnerCall, r *api.Result) *program.Outcome {
	return &program.Outcome{
		Seq: call.Seq, Digest: call.Digest, Code: api.CodeOK,
		Status: r.Status, ContentType: r.ContentType, Body: r.Body,
	}
}
