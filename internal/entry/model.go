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

// model runs a model call. When a server is lost in the middle of the answer, another one continues from the text that
// the log already holds.
func (x *execution) model(ctx context.Context) (api.Event, *api.Error) {
	older, hasOlder := x.shard.takeOlder(x.callID())
	if !hasOlder && x.call.Delivered != "" {
		x.running.Log.Append(api.Event{Kind: api.EventDelta, Text: x.call.Delivered})
	}
	tried := make(map[string]bool)
	number := older.attempt
	var last *attemptError
	for try := 0; try < maxAttempts && ctx.Err() == nil; try++ {
		s, t, err := x.chooseModel(older, tried)
		if err != nil {
			if last == nil || err.Code == api.CodeUnknownService {
				return api.Event{}, err
			}
			sleep(ctx, retryPause)
			clear(tried)
			continue
		}
		if older.sidecar == "" {
			number++
		}
		result, failure := x.tryModel(ctx, s, t, number)
		if failure == nil {
			return x.finishModel(ctx, result)
		}
		if older.sidecar != "" {
			older = olderCall{}
			x.seedDelivered()
		}
		last = failure
		if failure.err.Code == api.CodeStaleFence {
			x.shard.cancel()
			return api.Event{}, api.Errorf(api.CodeNotOwner, "journal %d has another owner", x.shard.id)
		}
		if final(failure.err.Code) {
			return api.Event{}, failure.err
		}
		tried[t.ID] = true
	}
	if last == nil {
		return api.Event{}, api.Errorf(api.CodeUnavailable, "the call was not tried: %v", ctx.Err())
	}
	return api.Event{}, last.err
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
func (x *execution) chooseModel(older olderCall, tried map[string]bool) (*sidecar, target, *api.Error) {
	if older.sidecar != "" {
		if s := x.entry.fleet.get(older.sidecar); s != nil {
			return s, s.target(), nil
		}
	}
	return x.entry.route(routeRequest{
		kind:         api.KindModel,
		service:      x.call.Model.Model,
		program:      x.call.Program,
		promptTokens: program.PromptTokens(x.call.Model.Messages),
		tried:        tried,
	})
}

// tryModel makes one attempt at one sidecar, sending the whole history when the sidecar lacks it.
func (x *execution) tryModel(ctx context.Context, s *sidecar, t target, number int) (*api.Result, *attemptError) {
	request := x.request(api.KindModel, number, x.entry.priorityOf(x.begun.View.Class))
	request.Idempotent = true
	model := *x.call.Model
	model.PrefixHash = x.begun.View.HistoryHash
	model.ResumeText = x.running.Log.Text()
	model.HoldMS = x.entry.settings.HoldMS
	request.Model = &model
	done := s.begin(program.PromptTokens(model.Messages))
	defer func() { done(x.call.Program, ms(x.entry.settings.HoldMS)) }()
	emit := func(event api.Event) { x.running.Log.Append(event) }

	if !s.holds(x.call.Program) {
		model.History = x.begun.View.History
	}
	result, failure := x.entry.attempt(ctx, t, request, modelReattachLimit, emit)
	if failure != nil && failure.err.Code == api.CodeHistoryMissing {
		model.History = x.begun.View.History
		request.Offset = 0
		result, failure = x.entry.attempt(ctx, t, request, modelReattachLimit, emit)
	}
	if failure != nil && failure.mayRun && !failure.finished {
		s.lost()
	}
	return result, failure
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

// target returns the sidecar as a target.
func (s *sidecar) target() target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return target{ID: s.member.ID, Address: s.member.Address, Incarnation: s.incarnation}
}
