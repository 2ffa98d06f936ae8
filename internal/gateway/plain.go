package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const maxAnswerBytes = 8 << 20 // Of a plain service's answer, which is held until it is whole.

// servePlain serves a call whose answer is one body. Servers that did not run it are passed over; a call that may have run
// goes on only if it may run again.
func (x *exchange) servePlain(ctx context.Context) error {
	for {
		p, err := x.placePlain()
		if err != nil {
			return x.giveUp(ctx, err)
		}
		status, header, body, err := x.attemptPlain(ctx, p)
		x.noteOutcome(ctx, p, err)
		if err == nil {
			x.answer(status, header, body)
			return nil
		}
		if ctx.Err() != nil || !x.mayGoOn(err) {
			return x.giveUp(ctx, err)
		}
	}
}

const (
	slowFactor  = 6                      // Times the usual time of a route after which a call is tried elsewhere.
	minTryTime  = 400 * time.Millisecond // Shorter tries would abandon servers that are merely busy.
	defaultTry  = time.Second            // While the usual time is not known.
	attemptsMin = 2                      // A route must allow this many servers.
)

// tryContext bounds one try of a call that may go to another server.
func (x *exchange) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !x.route.Repeatable() || x.runs+attemptsMin > x.route.Attempts {
		return context.WithCancel(ctx)
	}
	limit := defaultTry
	if usual := x.g.loads.usualTime(x.route.Name); usual > 0 {
		limit = max(slowFactor*usual, minTryTime)
	}
	return context.WithTimeout(ctx, limit)
}

func (x *exchange) attemptPlain(ctx context.Context, p placement) (int, http.Header, []byte, error) {
	ctx, cancel := x.tryContext(ctx)
	defer cancel()
	resp, err := x.send(ctx, p, "")
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return 0, nil, nil, &upstreamBroke{err}
	}
	return resp.Status, resp.Header, body, nil
}

// upstreamBroke reports an answer that a backend server did not finish.
type upstreamBroke struct{ err error }

// Error implements error.
func (e *upstreamBroke) Error() string {
	return "the backend server's answer broke off: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *upstreamBroke) Unwrap() error { return e.err }

// mayGoOn reports whether the call may go to another server after the error.
func (x *exchange) mayGoOn(err error) bool {
	var refused *notRun
	if errors.As(err, &refused) {
		return x.runs == 0 || x.route.Repeatable()
	}
	return x.route.Repeatable() && x.runs < max(x.route.Attempts, 1)
}

// giveUp turns the last error into what the caller is told. The outcome is unknown unless nothing was run.
func (x *exchange) giveUp(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &callerGone{err}
	}
	var known *api.Error
	switch {
	case x.runs > 0 && ctx.Err() != nil:
		return api.Errorf(api.CodeTimeout, "no whole answer in time: %v", err)
	case x.runs > 0:
		return api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	case errors.As(err, &known):
		return known
	}
	return api.Errorf(api.CodeUnavailable, "%v", err)
}

// answer passes a backend server's whole answer on.
func (x *exchange) answer(status int, header http.Header, body []byte) {
	x.g.codec.EncodeAnswer(x.w.Header(), header)
	if x.call.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // A caller that has left is noticed by its own connection.
}
