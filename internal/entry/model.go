package entry

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

const (
	// maxAttempts is the largest number of attempts of a call, over all sidecars.
	maxAttempts = 6
	// retryPause is the pause before a call is routed again after no untried server could take it.
	retryPause = 200 * time.Millisecond
)

// modelRun is the state of a model call over several attempts.
type modelRun struct {
	older       olderCall       // Call of an earlier owner that this call is to attach to; zero if there is none.
	attempt     int             // Number of the last attempt.
	tried       map[string]bool // Servers that failed since the last pause.
	lastFailure *attemptError
}

// runModel runs a model call. If a server is lost in the middle of the answer, another one continues from the text that is
// already in the log.
func (x *execution) runModel(ctx context.Context) (api.Event, *api.Error) {
	run := modelRun{tried: make(map[string]bool)}
	run.older, _ = x.shard.takeOlderCall(x.callID())
	run.attempt = run.older.attempt
	if run.older.sidecar == "" {
		x.seedLogWithDelivered()
	}
	for try := 0; try < maxAttempts && ctx.Err() == nil; try++ {
		if try > 0 && !x.mayRetry(run.lastFailure) {
			break
		}
		result, err := x.nextAttempt(ctx, &run)
		switch {
		case err != nil:
			return api.Event{}, err
		case result != nil:
			x.entry.retryBudget.success()
			return x.finishModel(ctx, result)
		}
	}
	if run.lastFailure == nil {
		return api.Event{}, api.Errorf(api.CodeUnavailable, "the call was not attempted: %v", ctx.Err())
	}
	return api.Event{}, run.lastFailure.err
}

// mayRetry reports whether another attempt is allowed. It takes the retry from the retry budget, except for continuing an
// answer whose text has begun, which is always allowed.
func (x *execution) mayRetry(last *attemptError) bool {
	if last == nil || x.running.Log.Text() != "" {
		return true
	}
	return x.entry.retryBudget.withdraw()
}

// nextAttempt makes one attempt. It returns a result, an error that ends the call, or neither if the call may be tried
// again.
func (x *execution) nextAttempt(ctx context.Context, run *modelRun) (*api.Result, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return nil, refused
	}
	s, t, err := x.chooseModelSidecar(run)
	if err != nil {
		if run.lastFailure == nil || err.Code == api.CodeUnknownService {
			return nil, err
		}
		sleep(ctx, retryPause)
		clear(run.tried)
		return nil, nil
	}
	if run.older.sidecar == "" {
		run.attempt++
	}
	result, failure := x.tryModel(ctx, s, t, run.attempt, alone)
	if failure == nil {
		x.clearSuspectIfAlone(alone)
		return result, nil
	}
	return nil, x.handleModelFailure(ctx, run, s, t, failure)
}

// handleModelFailure prepares the next attempt after a failed one, or returns the error that ends the call.
func (x *execution) handleModelFailure(ctx context.Context, run *modelRun, s *sidecar, t target, failure *attemptError) *api.Error {
	if run.older.sidecar != "" {
		run.older = olderCall{}
		x.seedLogWithDelivered()
	}
	run.lastFailure = failure
	run.tried[t.ID] = true
	switch {
	case failure.err.Code == api.CodeStaleFence:
		return x.stepDown()
	case isFinal(failure.err.Code):
		return failure.err
	case failure.finished && backendConnectionLost(failure.err.Code):
		x.awaitCrashReport(ctx, s, t)
	case failure.mayRun:
		x.entry.router.markUnreachable(t.ID)
	}
	return nil
}

// backendConnectionLost reports whether the code says that the sidecar lost the connection to its backend server.
func backendConnectionLost(code api.Code) bool {
	return code == api.CodeInterrupted || code == api.CodeBackendLost
}

// seedLogWithDelivered appends the text that was already delivered to the caller to the log if the log has no text yet.
func (x *execution) seedLogWithDelivered() {
	if x.call.Delivered != "" && x.running.Log.Text() == "" {
		x.running.Log.Append(api.Event{Kind: api.EventDelta, Text: x.call.Delivered})
	}
}

// isFinal reports whether the code ends the call, because another server would return the same error.
func isFinal(code api.Code) bool {
	return code == api.CodeBackendError || code.Family() == api.FamilyCaller
}

// chooseModelSidecar returns the sidecar that holds the call of an earlier owner, or routes the call if there is none.
func (x *execution) chooseModelSidecar(run *modelRun) (*sidecar, target, *api.Error) {
	if run.older.sidecar != "" {
		if s := x.entry.fleet.get(run.older.sidecar); s != nil {
			return s, s.target(), nil
		}
	}
	history := estimateTokens(x.begun.View.HistoryBytes)
	var sharedDigest uint64
	var sharedTokens int
	if history == 0 {
		sharedDigest, sharedTokens = sharedPrefix(x.call.Model.Messages)
	}
	return x.entry.route(routeRequest{
		sharedDigest: sharedDigest,
		sharedTokens: sharedTokens,
		kind:         api.KindModel,
		service:      x.call.Model.Model,
		program:      x.call.Program,
		promptTokens: history + program.PromptTokens(x.call.Model.Messages),
		outputTokens: x.call.Model.MaxTokens,
		cachedTokens: history,
		priority:     x.entry.priorityOf(x.begun.View.Class),
		tried:        run.tried,
	})
}

// estimateTokens estimates the number of tokens of a text of the given length in bytes.
func estimateTokens(bytes int) int { return bytes / program.BytesPerToken }

// tryModel makes one attempt at one sidecar. It sends the whole history with the call if the sidecar is not known to hold
// the program's prefix. If the sidecar reports that the history is missing, it sends the call again with the history.
func (x *execution) tryModel(ctx context.Context, s *sidecar, t target, attempt int, alone bool) (*api.Result, *attemptError) {
	request := x.request(api.KindModel, attempt, x.entry.priorityOf(x.begun.View.Class))
	request.Idempotent = true
	request.Alone = alone
	model := *x.call.Model
	model.PrefixHash = x.begun.View.HistoryHash
	model.ResumeText = x.running.Log.Text()
	model.HoldMS = x.entry.settings.HoldMS
	request.Model = &model
	endCall := s.beginCall(x.call.Program)
	x.entry.pauseTracker.end(x.call.Program, time.Now())
	emit := func(event api.Event) { x.running.Log.Append(event) }

	if !s.holdsPrefix(x.call.Program) {
		if err := x.fillHistory(ctx, &model); err != nil {
			endCall(0)
			return nil, &attemptError{err: err}
		}
	}
	result, failure := x.entry.attempt(ctx, t, request, reattachTimeout, emit)
	if failure != nil && failure.err.Code == api.CodeHistoryMissing {
		if err := x.fillHistory(ctx, &model); err != nil {
			endCall(0)
			return nil, &attemptError{err: err}
		}
		request.Offset = 0
		result, failure = x.entry.attempt(ctx, t, request, reattachTimeout, emit)
	}
	if failure != nil {
		if x.shard.ctx.Err() != nil {
			endCall(keepHold) // The hold belongs to the next owner.
			return nil, failure
		}
		endCall(0)
		return nil, failure
	}
	x.recordPlacement(t.ID)
	prefixTokens := result.Usage.Total()
	fallback := ms(x.entry.settings.HoldMS)
	endCall(x.entry.pauseTracker.begin(x.call.Program, firstToolName(result.ToolCalls), prefixTokens, s.currentLoad(), fallback, time.Now()))
	return result, nil
}

// recordPlacement records which server ran the call. If the program's last call ran at another server, that server
// releases the program's prefix.
func (x *execution) recordPlacement(server string) {
	previous := x.entry.router.placement(x.call.Program)
	x.entry.router.setPlacement(x.call.Program, server)
	if previous == "" || previous == server {
		return
	}
	if s := x.entry.fleet.get(previous); s != nil {
		s.setHold(x.call.Program, 0)
	}
}

// fillHistory sets the call's history to the program's whole history.
func (x *execution) fillHistory(ctx context.Context, model *api.ModelCall) *api.Error {
	history, err := x.shard.history(ctx, x.tree, x.call.Program)
	model.History = history
	return err
}

// finishModel commits the turn and returns the call's last event.
func (x *execution) finishModel(ctx context.Context, result *api.Result) (api.Event, *api.Error) {
	answer := api.AssistantMessage(x.running.Log.Text(), result.ToolCalls)
	record := x.tree.TurnRecord(x.running, time.Now().UnixMilli(), x.call.Model.Messages, answer, result.FinishReason, result.Usage)
	if err := x.shard.commit(ctx, record); err != nil {
		return api.Event{}, err
	}
	return api.Event{Kind: api.EventDone, Result: result}, nil
}

// holdsPrefix reports whether the sidecar holds the program's prefix, according to its last answer and the calls since.
func (s *sidecar) holdsPrefix(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.held[program]
	return ok
}

// currentLoad returns the last load known of the sidecar.
func (s *sidecar) currentLoad() api.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// target returns the sidecar's current identity.
func (s *sidecar) target() target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return target{ID: s.member.ID, Address: s.member.Address, Incarnation: s.incarnation}
}
