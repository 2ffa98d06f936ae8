package entry

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

const (
	// maxAttempts bounds how often a repeatable call is tried at a sidecar.
	maxAttempts = 6
	// retryPause is the pause before a repeatable call is tried again when no server could take it.
	retryPause = 200 * time.Millisecond
)

// modelRun is the progress of a model call over several attempts.
type modelRun struct {
	older  olderCall // Run of an earlier owner that is still to be attached to; zero when there is none.
	number int       // Of the last attempt.
	tried  map[string]bool
	last   *attemptError
}

// model runs a model call. When a server is lost in the middle of the answer, another one continues from the text that
// the log already holds.
func (x *execution) model(ctx context.Context) (api.Event, *api.Error) {
	run := modelRun{tried: make(map[string]bool)}
	run.older, _ = x.shard.takeOlder(x.callID())
	run.number = run.older.attempt
	if run.older.sidecar == "" {
		x.seedDelivered()
	}
	for try := 0; try < maxAttempts && ctx.Err() == nil; try++ {
		if try > 0 && !x.mayRetry(run.last) {
			break
		}
		result, err := x.nextAttempt(ctx, &run)
		switch {
		case err != nil:
			return api.Event{}, err
		case result != nil:
			x.entry.retries.success()
			return x.finishModel(ctx, result)
		}
	}
	if run.last == nil {
		return api.Event{}, api.Errorf(api.CodeUnavailable, "the call was not tried: %v", ctx.Err())
	}
	return api.Event{}, run.last.err
}

// mayRetry reports whether the retry budget allows another attempt. Continuing an answer that a caller is reading is
// always allowed.
func (x *execution) mayRetry(last *attemptError) bool {
	if last == nil || x.running.Log.Text() != "" {
		return true
	}
	return x.entry.retries.withdraw()
}

// nextAttempt makes one attempt. It returns a result, an error that ends the call, or neither when the call may be
// tried again.
func (x *execution) nextAttempt(ctx context.Context, run *modelRun) (*api.Result, *api.Error) {
	alone, refused := x.checkSuspect()
	if refused != nil {
		return nil, refused
	}
	s, t, err := x.chooseModel(run)
	if err != nil {
		if run.last == nil || err.Code == api.CodeUnknownService {
			return nil, err
		}
		sleep(ctx, retryPause)
		clear(run.tried)
		return nil, nil
	}
	if run.older.sidecar == "" {
		run.number++
	}
	result, failure := x.tryModel(ctx, s, t, run.number, alone)
	if failure == nil {
		x.ranAlone(alone)
		return result, nil
	}
	return nil, x.afterModelFailure(ctx, run, s, t, failure)
}

// afterModelFailure prepares the next attempt, or returns the error that ends the call.
func (x *execution) afterModelFailure(ctx context.Context, run *modelRun, s *sidecar, t target, failure *attemptError) *api.Error {
	if run.older.sidecar != "" {
		run.older = olderCall{}
		x.seedDelivered()
	}
	run.last = failure
	run.tried[t.ID] = true
	switch {
	case failure.err.Code == api.CodeStaleFence:
		return x.deposed()
	case final(failure.err.Code):
		return failure.err
	case failure.finished && brokeBackend(failure.err.Code):
		x.awaitCrashReport(ctx, s, t)
	case failure.mayRun:
		x.entry.router.lost(t.ID)
	}
	return nil
}

// brokeBackend reports whether the code says that the connection to the backend server broke.
func brokeBackend(code api.Code) bool {
	return code == api.CodeInterrupted || code == api.CodeBackendLost
}

// seedDelivered puts the text that the caller has read into a log that is still empty.
func (x *execution) seedDelivered() {
	if x.call.Delivered != "" && x.running.Log.Text() == "" {
		x.running.Log.Append(api.Event{Kind: api.EventDelta, Text: x.call.Delivered})
	}
}

// final reports whether trying another server cannot help.
func final(code api.Code) bool {
	return code == api.CodeBackendError || code.Family() == api.FamilyCaller
}

// chooseModel returns the sidecar that holds an older run of the call, or routes the call.
func (x *execution) chooseModel(run *modelRun) (*sidecar, target, *api.Error) {
	if run.older.sidecar != "" {
		if s := x.entry.fleet.get(run.older.sidecar); s != nil {
			return s, s.target(), nil
		}
	}
	history := tokensOf(x.begun.View.HistoryBytes)
	var shared uint64
	var sharedTokens int
	if history == 0 {
		shared, sharedTokens = sharedPrefix(x.call.Model.Messages)
	}
	return x.entry.route(routeRequest{
		shared:       shared,
		sharedTokens: sharedTokens,
		kind:         api.KindModel,
		service:      x.call.Model.Model,
		program:      x.call.Program,
		promptTokens: history + program.PromptTokens(x.call.Model.Messages),
		outputTokens: x.call.Model.MaxTokens,
		cached:       history,
		priority:     x.entry.priorityOf(x.begun.View.Class),
		tried:        run.tried,
	})
}

// tokensOf estimates the tokens of a text of that many bytes.
func tokensOf(bytes int) int { return bytes / program.BytesPerToken }

// tryModel makes one attempt at one sidecar, sending the whole history when the sidecar lacks it.
func (x *execution) tryModel(ctx context.Context, s *sidecar, t target, number int, alone bool) (*api.Result, *attemptError) {
	request := x.request(api.KindModel, number, x.entry.priorityOf(x.begun.View.Class))
	request.Idempotent = true
	request.Alone = alone
	model := *x.call.Model
	model.PrefixHash = x.begun.View.HistoryHash
	model.ResumeText = x.running.Log.Text()
	model.HoldMS = x.entry.settings.HoldMS
	request.Model = &model
	done := s.begin(x.call.Program)
	x.entry.pauses.end(x.call.Program, time.Now())
	emit := func(event api.Event) { x.running.Log.Append(event) }

	if !s.holds(x.call.Program) {
		if err := x.fillHistory(ctx, &model); err != nil {
			done(0)
			return nil, &attemptError{err: err}
		}
	}
	result, failure := x.entry.attempt(ctx, t, request, modelReattachLimit, emit)
	if failure != nil && failure.err.Code == api.CodeHistoryMissing {
		if err := x.fillHistory(ctx, &model); err != nil {
			done(0)
			return nil, &attemptError{err: err}
		}
		request.Offset = 0
		result, failure = x.entry.attempt(ctx, t, request, modelReattachLimit, emit)
	}
	if failure != nil {
		if x.shard.ctx.Err() != nil {
			done(keepHold) // The hold is the next owner's.
			return nil, failure
		}
		done(0)
		return nil, failure
	}
	x.moved(t.ID)
	prefix := result.Usage.Total()
	fallback := ms(x.entry.settings.HoldMS)
	done(x.entry.pauses.begin(x.call.Program, toolOf(result.ToolCalls), prefix, s.currentLoad(), fallback, time.Now()))
	return result, nil
}

// moved notes which server ran the call. The prefix that another one holds of the program is released.
func (x *execution) moved(server string) {
	before := x.entry.router.placement(x.call.Program)
	x.entry.router.place(x.call.Program, server)
	if before == "" || before == server {
		return
	}
	if s := x.entry.fleet.get(before); s != nil {
		s.adopt(x.call.Program, 0)
	}
}

// fillHistory adds the program's whole history to the call.
func (x *execution) fillHistory(ctx context.Context, model *api.ModelCall) *api.Error {
	history, err := x.shard.history(ctx, x.tree, x.call.Program)
	model.History = history
	return err
}

// finishModel commits the turn and returns the last event.
func (x *execution) finishModel(ctx context.Context, result *api.Result) (api.Event, *api.Error) {
	answer := api.AssistantMessage(x.running.Log.Text(), result.ToolCalls)
	record := x.tree.TurnRecord(x.running, time.Now().UnixMilli(), x.call.Model.Messages, answer, result.FinishReason, result.Usage)
	if err := x.shard.commit(ctx, record); err != nil {
		return api.Event{}, err
	}
	return api.Event{Kind: api.EventDone, Result: result}, nil
}

// holds reports whether the sidecar said that it caches the program's prefix.
func (s *sidecar) holds(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.held[program]
	return ok
}

// currentLoad returns the sidecar's last report.
func (s *sidecar) currentLoad() api.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// target returns the sidecar as a target.
func (s *sidecar) target() target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return target{ID: s.member.ID, Address: s.member.Address, Incarnation: s.incarnation}
}
