package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// agent runs one program of the mix against the system.
type agent struct {
	caller *caller
	name   string // Unique within the run.
}

// run runs a root program from its creation to its end and records its latency and outcome.
func (a *agent) run(ctx context.Context, program Program) {
	began := time.Now()
	id, err := a.caller.create(ctx, program.Class, "", a.name)
	if err != nil {
		a.caller.stats.ended(program.Class, outcomeOf(ctx, err, 0), time.Since(began))
		a.caller.stats.failed(a.name, err)
		return
	}
	calls, err := a.turns(ctx, id, a.name, program, true)
	latency := time.Since(began)
	a.caller.stats.ended(program.Class, outcomeOf(ctx, err, calls), latency)
	a.caller.stats.failed(a.name, err)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if err := a.caller.end(endCtx, id); err != nil {
		a.caller.stats.notEnded()
	}
}

// endTimeout bounds the deletion of a program after the run's deadline.
const endTimeout = 10 * time.Second

// turns makes the calls of a program in order and returns how many were answered.
func (a *agent) turns(ctx context.Context, id, name string, program Program, root bool) (int, error) {
	seq := uint64(0)
	for i, turn := range program.Turns {
		seq++
		if err := a.model(ctx, id, name, seq, program, i, root); err != nil {
			return int(seq) - 1, err
		}
		if turn.Action {
			seq++
			if err := a.caller.act(ctx, id, seq); err != nil {
				return int(seq) - 1, err
			}
		}
		if err := a.pause(ctx, id, fmt.Sprintf("%s/%d", name, seq), turn); err != nil {
			return int(seq), err
		}
	}
	return int(seq), nil
}

// model makes one model call. The shared prefix goes in front of a root program's first message.
func (a *agent) model(ctx context.Context, id, name string, seq uint64, program Program, i int, root bool) error {
	turn := program.Turns[i]
	var messages []chatMessage
	if i == 0 && root && program.Shared != "" {
		messages = append(messages, chatMessage{"system", filler(program.Shared, program.SharedTokens)})
	}
	text := fmt.Sprintf("[[tokens=%d]] %s", turn.OutputTokens, filler(fmt.Sprintf("%s/%d", name, seq), turn.PromptTokens))
	messages = append(messages, chatMessage{"user", text})
	return a.caller.chat(ctx, id, seq, program.Class, messages, turn.OutputTokens)
}

// pause waits for the tool and for the sub-agents that run meanwhile.
func (a *agent) pause(ctx context.Context, id, name string, turn Turn) error {
	var group errgroup.Group
	for i, branch := range turn.Branches {
		group.Go(func() error { return a.branch(ctx, id, fmt.Sprintf("%s-%d", name, i), branch) })
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

// branch runs one sub-agent and ends it, so that its memory is released before its parent ends.
func (a *agent) branch(ctx context.Context, parent, name string, program Program) error {
	id, err := a.caller.create(ctx, program.Class, parent, name)
	if err != nil {
		return err
	}
	if _, err := a.turns(ctx, id, name, program, false); err != nil {
		return err
	}
	return a.caller.end(ctx, id)
}

// outcome is how a program ended.
type outcome string

// Outcomes of programs.
const (
	outcomeFinished   outcome = "finished"
	outcomeRefused    outcome = "refused"    // No call was admitted.
	outcomeUnknown    outcome = "unknown"    // A non-idempotent call may have run.
	outcomeFailed     outcome = "failed"     // A call was refused or failed after others had run.
	outcomeUnfinished outcome = "unfinished" // Under way at the deadline.
)

func outcomeOf(ctx context.Context, err error, calls int) outcome {
	var answered *api.Error
	switch {
	case err == nil:
		return outcomeFinished
	case errors.As(err, &answered) && answered.Code == api.CodeOutcomeUnknown:
		return outcomeUnknown
	case ctx.Err() != nil:
		return outcomeUnfinished
	case calls == 0:
		return outcomeRefused
	default:
		return outcomeFailed
	}
}
