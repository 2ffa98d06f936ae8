package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
)

const maxAnswerBytes = 8 << 20 // Of an answer that is held until it is complete.

// servePlain serves a call whose answer is a single body, not a stream. If a server did not run the call, another one is
// tried. A call that may have run is sent again only if its route allows that.
func (x *exchange) servePlain(ctx context.Context) error {
	for {
		p, err := x.placePlain(ctx)
		if err != nil {
			return x.finalError(ctx, err)
		}
		ended := x.watchCall(p)
		var status int
		var header http.Header
		var body []byte
		err = x.guarded(func() (err error) {
			status, header, body, err = x.attemptPlain(ctx, p)
			return err
		})
		ended(err)
		x.recordOutcome(ctx, p, err)
		if err == nil {
			return x.writeAnswer(status, header, body)
		}
		if ctx.Err() != nil || !x.mayRetry(err) {
			return x.finalError(ctx, err)
		}
	}
}

const (
	slowFactor         = 6                      // Multiple of the route's typical time after which another server is tried.
	minAttemptTime     = 400 * time.Millisecond // Shorter attempts would abandon servers that are only busy.
	defaultAttemptTime = time.Second            // While the route's typical time is unknown.
	minAttemptsLeft    = 2                      // Attempts that the route must still allow for an attempt to be limited in time.
)

// attemptContext returns the context of one attempt. It has a time limit if the call may be sent to another server after it.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !x.route.Repeatable() || x.runs+minAttemptsLeft > x.route.Attempts {
		return context.WithCancel(ctx)
	}
	limit := defaultAttemptTime
	if typical := x.g.loads.typicalTime(x.route.Name); typical > 0 {
		limit = max(slowFactor*typical, minAttemptTime)
	}
	return context.WithTimeout(ctx, limit)
}

// attemptPlain sends the call to the placed server and reads the whole answer.
func (x *exchange) attemptPlain(ctx context.Context, p placement) (int, http.Header, []byte, error) {
	ctx, cancel := x.attemptContext(ctx)
	defer cancel()
	resp, err := x.send(ctx, p, "")
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswerBytes, x.buffers)
	if err != nil {
		return 0, nil, nil, &upstreamBrokeOffError{err}
	}
	x.countDomainBytes(len(body))
	return resp.Status, resp.Header, body, nil
}

// upstreamBrokeOffError reports an answer that a backend server did not complete.
type upstreamBrokeOffError struct{ err error }

// Error implements error.
func (e *upstreamBrokeOffError) Error() string {
	return "the backend server's answer broke off: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *upstreamBrokeOffError) Unwrap() error { return e.err }

// mayRetry reports whether the call may be sent to another server after the error.
func (x *exchange) mayRetry(err error) bool {
	var refused *notRunError
	switch {
	case isRefusal(err):
		return false
	case errors.As(err, &refused):
		return x.runs == 0 || x.route.Repeatable()
	case errors.Is(err, buffers.ErrExhausted): // The next answer would need as much.
		return false
	}
	return x.route.Repeatable() && x.runs < max(x.route.Attempts, 1)
}

// finalError converts the last error into the error for the caller. Unless the call has certainly not run, it says that the
// outcome is unknown, or that the time is over.
func (x *exchange) finalError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &callerGoneError{err}
	}
	var known *api.Error
	switch {
	case x.runs > 0 && ctx.Err() != nil:
		return api.Errorf(api.CodeTimeout, "no complete answer before the deadline: %v", err)
	case x.runs > 0:
		return api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	case errors.As(err, &known):
		return known
	}
	return api.Errorf(api.CodeUnavailable, "%v", err)
}

// writeAnswer sends a backend server's complete answer to the caller. It fails only if the call was ended as the slowest.
func (x *exchange) writeAnswer(status int, header http.Header, body []byte) error {
	x.g.codec.EncodeAnswer(x.w.Header(), header)
	if x.call.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.g.announceStop(x.w)
	x.w.WriteHeader(status)
	x.started = true
	return x.writeBody(body)
}
