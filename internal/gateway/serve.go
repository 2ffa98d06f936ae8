package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/liveness"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// exchange is the state of one call while it is served.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	call    *calls.Call
	config  *fleet.Config // In force at the arrival. It applies to the whole call.
	route   *fleet.Route
	service fleet.Service
	// organisation is the one whose key the caller presents; nil if there is none.
	organisation *fleet.Organisation
	// configurationAge is the age of the knowledge by which the key was decided, see organisation.Knowledge.Age.
	configurationAge time.Duration
	permit           callPermit
	deadline         time.Time
	body             []byte        // Body sent to the backend server.
	bodyFingerprint  string        // See fingerprint; empty until it is needed.
	caller           string        // Host part of the caller's address.
	headAfter        time.Duration // From the read of the first bytes of the request until its head had been parsed.
	buffers          *buffers.Account

	tried           map[string]bool // Ids of the backend servers that were chosen for the call, also those that it did not reach.
	unsettled       bool            // The call is being sent, and counts as neither sent nor run yet.
	sends           int             // Times that the call was sent to a backend server.
	runs            int             // Of those, the times that the server may have run it.
	server          string          // Id of the server of the latest attempt.
	placed          placement       // The latest placement that was used.
	started         bool            // The head of the answer has been sent to the caller.
	unframed        *unframedAnswer // Of a stream; nil if the caller finds its end by itself.
	firstEventAfter time.Duration   // Time from the arrival to the head of the answer of a stream; 0 before it.
	outputTokens    int             // Output tokens sent to the caller.
	sentAfter       time.Duration   // Time from the arrival to the first send; 0 before it.
	// expectedWait is the time after which the engine is expected to have capacity for a refused call; 0 if unknown.
	expectedWait time.Duration
	status       int              // Status of the latest server's answer; 0 before it.
	serverState  string           // What the list of servers said of a server that got the call although it takes no new ones; or empty.
	times        *peers.TurnTimes // Of the latest attempt of a turn; nil if they are not measured.
	domainBytes  *vm.Counter      // Of the failure domains of this process and of the latest attempt's server; nil if they are the same.
}

// serveCall serves one call of a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	headAfter := sinceBegun(r)
	call, err := g.codec.DecodeCall(r)
	if err != nil {
		g.refuse(w, nil, api.Errorf(api.CodeBadRequest, "cannot decode the call: %v", err), 0)
		return
	}
	x := &exchange{
		g: g, w: w, call: call, caller: callerHost(r), headAfter: headAfter, config: g.directory.View().Config, tried: make(map[string]bool),
		buffers: g.buffers.NewAccount(), unframed: newUnframedAnswer(r),
	}
	defer x.buffers.Release()
	err = x.guarded(func() error { return x.serve(r) })
	x.finish(err)
}

// serve answers the call. An error means that no answer, or only part of one, was sent.
func (x *exchange) serve(r *http.Request) error {
	if err := x.resolve(r.Context()); err != nil {
		return err
	}
	x.deadline = x.call.Deadline(x.route.Timeout)
	if err := x.readBody(r, x.config.Limits.BodyBytes); err != nil {
		return err
	}
	if err := x.checkStop(); err != nil {
		return err
	}
	if err := x.checkSuspect(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if err := x.acquirePermit(ctx); err != nil {
		return err
	}
	if x.route.Kind == fleet.Stream {
		return x.serveStream(ctx)
	}
	return x.servePlain(ctx)
}

// readBody reads the caller's body, up to limit bytes (0: unlimited). It refuses the call if the process holds too much.
func (x *exchange) readBody(r *http.Request, limit int64) error {
	var reader io.Reader = r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, r.Body, limit)
	}
	body, err := x.receiveBody(reader, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, buffers.ErrExhausted):
		return api.Errorf(api.CodeOverloaded, "%v", err)
	case errors.As(err, &tooLarge):
		return api.Errorf(api.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", tooLarge.Limit)
	case err != nil:
		return &callerGoneError{err}
	}
	x.call.Body, x.body = body, body
	return nil
}

// callerGoneError reports that the caller's connection ended.
type callerGoneError struct{ err error }

// Error implements error.
func (e *callerGoneError) Error() string { return fmt.Sprintf("the caller disconnected: %v", e.err) }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

// brokenOffError reports an answer that failed after its head had been sent to the caller.
type brokenOffError struct{ err error }

// Error implements error.
func (e *brokenOffError) Error() string { return fmt.Sprintf("the answer broke off: %v", e.err) }

// Unwrap returns the cause.
func (e *brokenOffError) Unwrap() error { return e.err }

// orderTargets returns the services of a route: first one chosen at random by weight, then the others as fallbacks. Targets
// without weight are left out.
func orderTargets(targets []fleet.Target) []string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 {
		return nil
	}
	offset := rand.IntN(total)
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.Weight <= 0 {
			continue
		}
		if offset >= 0 && offset < t.Weight {
			names = append([]string{t.Service}, names...)
		} else {
			names = append(names, t.Service)
		}
		offset -= t.Weight
	}
	return names
}

// send sends the call to the placed server and returns the head of its answer. A *notRunError means that the call has
// certainly not run; after any other error it may have.
func (x *exchange) send(ctx context.Context, p placement, resume string) (*upstream.Response, error) {
	x.tried[p.server.ID] = true
	if x.sentAfter == 0 {
		x.sentAfter = time.Since(x.call.Arrived)
	}
	x.server, x.placed, x.status, x.times = p.server.ID, p, 0, nil
	if err := x.checkSend(p); err != nil {
		return nil, &notRunError{err}
	}
	header := x.g.codec.EncodeCall(x.call, calls.Directives{
		Server: p.server.ID, TimeLeft: time.Until(x.deadline), Resume: resume,
		KeysInUse: x.config.RequiresKeys(), Organisation: x.organisationName(),
	})
	sentAt := time.Now()
	resp, err := x.g.pool.Send(ctx, p.server.Address, &upstream.Request{
		Method:     x.call.Method,
		Target:     x.call.Target,
		Host:       x.call.Host,
		Header:     header,
		Body:       x.body,
		Repeatable: x.route.Repeatable(),
		Deadline:   x.deadline,
		BeforeWrite: func() error {
			err := x.checkSend(p)
			x.unsettled = x.unsettled || err == nil
			return err
		},
		Matches:     x.isAnswerToCall,
		OnMalformed: x.g.brokenAnswer(p.server, x.call.ID),
	})
	x.unsettled = false
	if upstream.IsNotSent(err) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.g.suspects.recordUnreachable(p.server.ID, time.Now())
		}
		return nil, &notRunError{err}
	}
	x.sends++
	x.countDomainCall(p.server)
	if err != nil {
		x.runs++
		return nil, err
	}
	x.status = resp.Status
	answer := x.g.codec.DecodeAnswer(resp.Status, resp.Header)
	x.g.recordLimit(p.server, answer, sentAt)
	x.g.recordLeaving(p.server, answer, resp.Status)
	if answer.NotRun {
		if resp.Status == http.StatusServiceUnavailable && x.service.Engine == nil && x.config.RequiresKeys() {
			x.g.loads.recordRejected(p.server.ID)
		}
		resp.Abort()
		return nil, &notRunError{fmt.Errorf("backend server %s answered %d without running the call", p.server.ID, resp.Status)}
	}
	x.runs++
	if resp.Status/100 == 2 && !answer.Sealed {
		resp.Abort()
		return nil, fmt.Errorf("the answer of backend server %s has no seal", p.server.ID)
	}
	if err := x.checkCoding(resp); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}

// checkSend returns an error if the call must not be sent to the placed server, by what is known right now. That may have changed
// since the call arrived or was placed: it may have waited, or another gateway may have placed it.
func (x *exchange) checkSend(p placement) error {
	if err := x.checkStop(); err != nil {
		return err
	}
	if err := x.checkSuspect(); err != nil {
		return err
	}
	if err := x.checkWithdrawn(p); err != nil {
		return err
	}
	return x.checkLeaving(p)
}

// recordPossibleCrash records for the crash suspects whether the server may have ended while it ran the call, or has served
// it.
func (x *exchange) recordPossibleCrash(ctx context.Context, p placement, err error) {
	var refused *notRunError
	var gone *callerGoneError
	switch {
	case errors.As(err, &refused), errors.As(err, &gone), errors.Is(err, buffers.ErrExhausted), isPanic(err):
	case err != nil:
		x.recordBrokenCall(p, err, ctx.Err() != nil || upstream.IsAbandoned(err))
	case x.status/100 != 2: // A failure does not show that the server has run the call.
	default:
		if x.service.Engine == nil { // Prompts are rarely the same.
			x.g.suspects.rememberServed(x.fingerprint(), time.Now())
		}
		if x.g.suspects.isEmpty() {
			return
		}
		if crashes := x.g.suspects.recordServed(x.fingerprint()); crashes > 0 {
			x.g.log.Info("crashes of request taken back", "request", x.call.ID, "body", x.fingerprint(), "server", p.server.ID,
				"born", p.server.Born, "status", x.status, "crashes", crashes)
		}
	}
}

// recordBrokenCall records that the call ended at the server without a whole answer, and checks whether the server has ended.
// abandoned means that this process ended the call.
func (x *exchange) recordBrokenCall(p placement, err error, abandoned bool) {
	g, server := x.g, p.server
	level := slog.LevelInfo
	if abandoned {
		level = slog.LevelDebug
	}
	g.log.Log(context.Background(), level, "call broke off at its server", "request", x.call.ID, "body", x.fingerprint(),
		"server", server.ID, "born", server.Born, "abandoned", abandoned, "error", err)
	g.suspects.recordBrokenCall(brokenCall{
		fingerprint: x.fingerprint(), server: server.ID, born: server.Born, at: time.Now(), abandoned: abandoned,
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.suspects.recordState(server.ID, liveness.Ended, g.directory.View(), time.Now())
		return
	}
	g.liveness.Check(server.Address, !abandoned, func(state liveness.State) {
		g.suspects.recordState(server.ID, state, g.directory.View(), time.Now())
	})
}

// callerHost returns the host part of the caller's address.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// isAnswerToCall reports whether an answer on the connection belongs to the call. Late answers to earlier calls on the same
// connection name another call, or none.
func (x *exchange) isAnswerToCall(h upstream.Head) bool {
	id := x.g.codec.DecodeAnswer(h.Status, h.Header).CallID
	if id == x.call.ID || id == "" && h.First {
		return true
	}
	x.g.log.Info("answer to another call skipped", "request", x.call.ID, "server", x.server, "status", h.Status, "answer_to", id)
	return false
}

// notRunError reports that a backend server has certainly not run the call.
type notRunError struct{ err error }

// Error implements error.
func (e *notRunError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *notRunError) Unwrap() error { return e.err }

// minHangTime is how long a server with free slots must have had a call for a missed deadline to count as its failure. At a
// server without free slots the call may only have waited.
const minHangTime = time.Second

// serverOutcome returns what the result of a call tells about the health of the server.
func serverOutcome(ctx context.Context, p placement, err error) outcome {
	var refused *notRunError
	var gone *callerGoneError
	switch {
	case err == nil:
		return outcomeServed
	case errors.As(err, &gone), isPanic(err):
		return outcomeNeutral
	case errors.As(err, &refused) && !upstream.IsUnreachable(err), errors.Is(err, buffers.ErrExhausted):
		return outcomeNeutral
	case ctx.Err() != nil && (p.ticket.age() < minHangTime || p.calls >= p.server.Slots):
		return outcomeNeutral
	}
	return outcomeFailed
}
