package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// agent runs one program of the plan against the system.
type agent struct {
	caller *caller
	name   string // Unique among all runs, as it is the idempotency key for creating the program.
}

// run runs a root program from its creation to its deletion and records its latency and outcome. The latency does not
// include the deletion.
func (a *agent) run(ctx context.Context, program Program) {
	began := time.Now()
	id, err := a.caller.createProgram(ctx, program.Class, "", a.name)
	if err != nil {
		a.caller.stats.recordOutcome(program.Class, outcomeOf(ctx, err, 0), time.Since(began))
		a.caller.stats.recordFailure(a.name, err)
		return
	}
	calls, err := a.runTurns(ctx, id, a.name, program, true)
	latency := time.Since(began)
	a.caller.stats.recordOutcome(program.Class, outcomeOf(ctx, err, calls), latency)
	a.caller.stats.recordFailure(a.name, err)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deleteTimeout)
	defer cancel()
	if err := a.caller.deleteProgram(endCtx, id); err != nil {
		a.caller.stats.countLeftover()
	}
}

// deleteTimeout is the time limit for deleting a program, which also happens if the deadline of the run has passed.
const deleteTimeout = 10 * time.Second

// runTurns makes the calls of a program in order. It returns the number of calls that succeeded.
func (a *agent) runTurns(ctx context.Context, id, name string, program Program, root bool) (int, error) {
	seq := uint64(0)
	for i, turn := range program.Turns {
		seq++
		if err := a.callModel(ctx, id, name, seq, program, i, root); err != nil {
			return int(seq) - 1, err
		}
		if turn.Action {
			seq++
			if err := a.caller.callService(ctx, id, seq); err != nil {
				return int(seq) - 1, err
			}
		}
		if err := a.waitForTool(ctx, id, fmt.Sprintf("%s/%d", name, seq), turn); err != nil {
			return int(seq), err
		}
	}
	return int(seq), nil
}

// callModel makes the model call of turn i. In the first turn of a root program, the shared prefix precedes the message.
func (a *agent) callModel(ctx context.Context, id, name string, seq uint64, program Program, i int, root bool) error {
	turn := program.Turns[i]
	var messages []chatMessage
	if i == 0 && root && program.SharedPrefix != "" {
		messages = append(messages, chatMessage{"system", fillerText(program.SharedPrefix, program.SharedPrefixTokens)})
	}
	text := fmt.Sprintf("[[tokens=%d]] %s", turn.OutputTokens, fillerText(fmt.Sprintf("%s/%d", name, seq), turn.PromptTokens))
	messages = append(messages, chatMessage{"user", text})
	return a.caller.streamChat(ctx, id, seq, program.Class, messages, turn.OutputTokens)
}

// waitForTool waits for the duration of the tool and runs the turn's sub-agents in the meantime.
func (a *agent) waitForTool(ctx context.Context, id, name string, turn Turn) error {
	var group errgroup.Group
	for i, subAgent := range turn.SubAgents {
		group.Go(func() error { return a.runSubAgent(ctx, id, fmt.Sprintf("%s-%d", name, i), subAgent) })
	}
	var waitErr error
	select {
	case <-ctx.Done():
		waitErr = ctx.Err()
	case <-time.After(turn.Pause):
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return waitErr
}

// runSubAgent runs one sub-agent and deletes its program, so that engines can release its prefix before its parent ends.
func (a *agent) runSubAgent(ctx context.Context, parent, name string, program Program) error {
	id, err := a.caller.createProgram(ctx, program.Class, parent, name)
	if err != nil {
		return err
	}
	if _, err := a.runTurns(ctx, id, name, program, false); err != nil {
		return err
	}
	return a.caller.deleteProgram(ctx, id)
}

// outcome is the way in which a program ended.
type outcome string

// Outcomes of programs.
const (
	outcomeFinished   outcome = "finished"
	outcomeRefused    outcome = "refused"    // No call succeeded.
	outcomeUnknown    outcome = "unknown"    // It is unknown whether a non-idempotent call ran.
	outcomeFailed     outcome = "failed"     // A call was refused or failed after others had succeeded.
	outcomeUnfinished outcome = "unfinished" // Still running at the deadline of the run.
)

// outcomeOf returns the outcome of a program that ended with err after the given number of successful calls. ctx is the
// context of the run.
func outcomeOf(ctx context.Context, err error, calls int) outcome {
	var apiErr *api.Error
	switch {
	case err == nil:
		return outcomeFinished
	case errors.As(err, &apiErr) && apiErr.Code == api.CodeOutcomeUnknown:
		return outcomeUnknown
	case ctx.Err() != nil:
		return outcomeUnfinished
	case calls == 0:
		return outcomeRefused
	default:
		return outcomeFailed
	}
}
