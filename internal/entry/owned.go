package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/eventlog"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// callIDOf returns the id by which sidecars know a call. It is the same for every attempt and every owner. It differs if
// the seq of a call that did not run is used again for another request.
func callIDOf(program string, seq uint64, digest string) string {
	const shortDigest = 8
	return fmt.Sprintf("%s/%d/%s", program, seq, digest[:min(shortDigest, len(digest))])
}

// runOwned starts a call of a program in an owned journal, or attaches to it if it is already running or has ended. The
// returned log ends with the call's outcome.
func (e *Entry) runOwned(ctx context.Context, s *shard, call *api.OwnerCall) (*eventlog.Log, *api.Error) {
	if err := s.waitStoreReady(ctx, ms(e.settings.CommitWaitMS)); err != nil {
		return nil, err
	}
	tree, apiErr := s.store.Tree(call.Program)
	if apiErr != nil {
		return nil, apiErr
	}
	begun, apiErr := s.beginCall(ctx, tree, program.BeginRequest{
		Program:          call.Program,
		Seq:              call.Seq,
		Digest:           call.Digest,
		MaxCharge:        maxCharge(call),
		NowMS:            time.Now().UnixMilli(),
		PriorCostBounded: s.earlierSendsKnown(callIDOf(call.Program, call.Seq, call.Digest), e.fleet.ids()),
	})
	if apiErr != nil {
		return nil, apiErr
	}
	if begun.Stored != nil {
		return storedLog(begun.Stored), nil
	}
	if begun.Started {
		x := &execution{entry: e, shard: s, tree: tree, call: call, begun: begun, running: begun.Running}
		e.ownedCalls.Add(1)
		go x.run()
	}
	return begun.Running.Log, nil
}

// beginCall begins the call in the program tree. If the call's stored answer is not in memory, it loads the program's
// history.
func (s *shard) beginCall(ctx context.Context, tree *program.Tree, r program.BeginRequest) (program.BeginResult, *api.Error) {
	for range maxRestoreAttempts {
		begun, err := tree.Begin(ctx, r)
		if err != nil || !begun.AnswerUnloaded {
			return begun, err
		}
		if err := s.restoreHistory(ctx, tree, r.Program); err != nil {
			return program.BeginResult{}, err
		}
	}
	return program.BeginResult{}, api.Errorf(api.CodeStoreUnavailable, "the history of program %s was repeatedly evicted from memory before it was used", r.Program)
}

// maxCharge returns the largest number of tokens that the call may be charged.
func maxCharge(call *api.OwnerCall) int {
	if call.Model == nil {
		return 0
	}
	return program.PromptTokens(call.Model.Messages) + call.Model.MaxTokens
}

// storedLog returns a log with the events of a call that ended earlier.
func storedLog(a *program.StoredAnswer) *eventlog.Log {
	log := eventlog.New()
	if a.Outcome != nil {
		log.Append(outcomeEvent(a.Outcome))
		return log
	}
	if text := api.MessageText(a.Answer); text != "" {
		log.Append(api.Event{Kind: api.EventDelta, Text: text})
	}
	log.Append(api.Event{Kind: api.EventDone, Result: &api.Result{
		FinishReason: a.FinishReason,
		ToolCalls:    a.Answer.ToolCalls,
		Usage:        a.Usage,
	}})
	return log
}

// outcomeEvent returns the last event of a service call.
func outcomeEvent(o *program.Outcome) api.Event {
	if o.Code != api.CodeOK {
		return api.Event{Kind: api.EventError, Error: &api.Error{Code: o.Code, Message: o.Message}}
	}
	return api.Event{Kind: api.EventDone, Result: &api.Result{Status: o.Status, ContentType: o.ContentType, Body: o.Body}}
}

// execution is one call in progress at the owner of its program's journal.
type execution struct {
	entry   *Entry
	shard   *shard
	tree    *program.Tree
	call    *api.OwnerCall
	begun   program.BeginResult
	running *program.RunningCall
}

// run executes the call and ends its log.
func (x *execution) run() {
	defer x.entry.ownedCalls.Done()
	defer x.tree.End(x.running)
	ctx, cancel := context.WithTimeout(x.shard.ctx, ms(x.entry.settings.CallTimeoutMS))
	defer cancel()
	var last api.Event
	var err *api.Error
	if panicked := guard.Run(x.entry.log, "call", func() { last, err = x.execute(ctx) }); panicked != nil {
		err = api.Errorf(api.CodeOutcomeUnknown, "%v", panicked)
	}
	if err != nil && x.shard.ctx.Err() != nil {
		err = api.Errorf(api.CodeNotOwner, "journal %d was handed over: %s", x.shard.id, err.Message)
	}
	if err != nil {
		x.running.Log.Append(api.Event{Kind: api.EventError, Error: err})
		x.entry.log.Info("call ended", "program", x.call.Program, "seq", x.call.Seq, "code", int(err.Code), "error", err.Message)
		return
	}
	x.running.Log.Append(last)
}

// execute runs the call, commits its outcome and returns its last event. If it returns an error, the
// call's seq is not known to have ended.
func (x *execution) execute(ctx context.Context) (api.Event, *api.Error) {
	if x.begun.Reserve != nil {
		record := &program.Record{Program: x.call.Program, AtMS: time.Now().UnixMilli(), Reserve: x.begun.Reserve}
		waitCtx, cancel := context.WithTimeout(ctx, ms(x.entry.settings.CommitWaitMS))
		defer cancel()
		if err := x.shard.commit(waitCtx, record); err != nil {
			return api.Event{}, err
		}
	}
	if x.call.Model != nil {
		return x.runModel(ctx)
	}
	return x.runService(ctx)
}

// callID returns the id by which sidecars know the call.
func (x *execution) callID() string { return callIDOf(x.call.Program, x.call.Seq, x.call.Digest) }

// request returns the call's message to a sidecar without the part that is specific to model or service calls.
func (x *execution) request(kind api.CallKind, attempt int, priority int) *api.CallRequest {
	return &api.CallRequest{
		CallID:         x.callID(),
		Attempt:        attempt,
		Program:        x.call.Program,
		Root:           x.running.Root,
		Seq:            x.call.Seq,
		Kind:           kind,
		Fence:          x.shard.journal.Fence(),
		Priority:       priority,
		Attained:       x.begun.View.Attained,
		CostFactor:     x.entry.costs.factor(x.begun.View.Class),
		Fingerprint:    x.call.Digest,
		ConfigRevision: x.entry.configRevision(),
	}
}

// stepDown ends the ownership after a sidecar has seen a higher fencing number, and returns the error for the call.
func (x *execution) stepDown() *api.Error {
	x.shard.cancel()
	return api.Errorf(api.CodeNotOwner, "journal %d has another owner", x.shard.id)
}

// commitError returns the error for a record that could not be appended to the journal. If another entry owns the journal,
// it also ends the ownership.
func (s *shard) commitError(r *program.Record, err error) *api.Error {
	ran := r.Turn != nil || r.Outcome != nil
	switch {
	case errors.Is(err, journal.ErrDeposed):
		s.cancel()
		return api.Errorf(api.CodeNotOwner, "journal %d has another owner: %v", s.id, err)
	case s.ctx.Err() != nil:
		return api.Errorf(api.CodeNotOwner, "journal %d was handed over: %v", s.id, err)
	case ran:
		return api.Errorf(api.CodeInterrupted, "the outcome could not be recorded: %v", err)
	default:
		return api.Errorf(api.CodeStoreUnavailable, "the key-value service did not complete the commit: %v", err)
	}
}
