package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	// reattachTimeout is how long attempt tries to reattach to a call at the same sidecar after the connection was lost.
	reattachTimeout = 2 * time.Second
	// outcomeQueryTimeout is how long a sidecar is asked for the outcome of a non-idempotent call.
	outcomeQueryTimeout = 30 * time.Second
	// reattachPause is the pause between two requests to a sidecar that did not answer.
	reattachPause = 100 * time.Millisecond
)

// attemptError is the reason why an attempt at a sidecar returned no result.
type attemptError struct {
	err      *api.Error
	mayRun   bool // The call may have run, may be running, or may still start.
	finished bool // The sidecar accepted the call and ended it with err.
}

// attempt sends a call to one sidecar and passes its events to emit. If the connection is lost, it reattaches to the call.
// It gives up once reattaching has yielded no new event for longer than limit. It returns the result, or the reason why
// there is none.
func (e *Entry) attempt(ctx context.Context, t target, r *api.CallRequest, limit time.Duration, emit func(api.Event)) (*api.Result, *attemptError) {
	r.Incarnation = t.Incarnation
	sent := false
	lostAt := time.Time{}
	for {
		offset := r.Offset
		result, failure, err := e.attach(ctx, t, r, emit)
		if failure == nil && err == nil {
			return result, nil
		}
		if failure != nil && (failure.finished || !sent) {
			return nil, failure
		}
		if failure != nil {
			failure.mayRun = true
			return nil, failure
		}
		if !sent && transport.IsNotSent(err) {
			return nil, &attemptError{err: api.Errorf(api.CodeUnavailable, "sidecar %s cannot be reached: %v", t.ID, err)}
		}
		sent = true
		if lostAt.IsZero() || r.Offset > offset {
			lostAt = time.Now()
		}
		if time.Since(lostAt) > limit || ctx.Err() != nil {
			return nil, &attemptError{err: api.Errorf(api.CodeInterrupted, "the connection to sidecar %s was lost: %v", t.ID, err), mayRun: true}
		}
		sleep(ctx, reattachPause)
	}
}

// attach sends the call once and reads events until the stream ends or the connection is lost. It advances r.Offset by the
// number of events read. It returns the result, the sidecar's own error as *attemptError, or a failure of the connection
// as error.
func (e *Entry) attach(ctx context.Context, t target, r *api.CallRequest, emit func(api.Event)) (*api.Result, *attemptError, error) {
	stream, err := e.client.Stream(ctx, "POST", t.Address, api.PathCalls, r, false)
	if err != nil {
		var refused *api.Error
		if errors.As(err, &refused) {
			return nil, &attemptError{err: refused}, nil
		}
		return nil, nil, err
	}
	defer stream.Close()
	kept := answerLimit(r.Model)
	for {
		event, err := readEvent(stream)
		if err != nil {
			return nil, nil, err
		}
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		switch event.Kind {
		case api.EventKeepAlive:
			continue
		case api.EventDone:
			r.Offset++
			return event.Result, nil, nil
		case api.EventError:
			r.Offset++
			return nil, &attemptError{err: event.Error, mayRun: !event.Error.Code.SafeToResend(), finished: true}, nil
		default:
			if err := kept.Keep(len(event.Text)); err != nil {
				return nil, &attemptError{err: api.Errorf(api.CodeBackendError, "the answer to call %s: %v", r.CallID, err), mayRun: true, finished: true}, nil
			}
			r.Offset++
			emit(event)
		}
	}
}

// answerLimit returns the limit on what is kept of the answer to a call; model is nil if it is not one of a model.
func answerLimit(model *api.ModelCall) *limits.Answer {
	if model == nil {
		return limits.NewAnswer(0)
	}
	return limits.NewAnswer(model.MaxTokens)
}

// readEvent reads and decodes the next line. At the end of the stream it returns io.ErrUnexpectedEOF, because a complete
// stream ends with a last event, after which nothing is read.
func readEvent(stream *transport.Stream) (api.Event, error) {
	line, err := stream.ReadLine()
	if errors.Is(err, io.EOF) {
		return api.Event{}, io.ErrUnexpectedEOF
	}
	if err != nil {
		return api.Event{}, err
	}
	var event api.Event
	if err := json.Unmarshal(line, &event); err != nil {
		return api.Event{}, fmt.Errorf("decode event: %w", err)
	}
	return event, nil
}

// queryOutcome asks the sidecar for the outcome of a non-idempotent call until it answers or limit has passed.
func (e *Entry) queryOutcome(ctx context.Context, address string, r api.SettleRequest, limit time.Duration) (api.SettleResponse, *api.Error) {
	deadline := time.Now().Add(limit)
	for {
		var response api.SettleResponse
		err := e.client.JSON(ctx, "POST", address, api.PathSettle, &r, &response)
		if err == nil {
			return response, nil
		}
		var refused *api.Error
		if errors.As(err, &refused) && refused.Code == api.CodeStaleFence {
			return response, refused
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return response, api.Errorf(api.CodeOutcomeUnknown, "sidecar at %s cannot be asked for the outcome: %v", address, err)
		}
		sleep(ctx, reattachPause)
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
