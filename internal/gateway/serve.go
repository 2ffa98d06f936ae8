package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// exchange is one call while it is served.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	call     *calls.Call
	view     *fleet.View
	route    *fleet.Route
	service  fleet.Service
	deadline time.Time
	body     []byte // What the backend server gets.
	caller   string // Host that the call came from.

	tried   map[string]bool
	sends   int // Backend servers that the call was sent to.
	runs    int // Of those, servers that may have run it.
	server  string
	placed  placement // The last choice of a server.
	started bool      // The head of the answer has left.
	first   time.Duration
	handed  int           // Output tokens handed to the caller.
	sent    time.Duration // From the arrival to the first send.
	// comeBack is when there is expected to be room for a refused call; 0 when that is not known.
	comeBack time.Duration
}

// serveCall serves one call of a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if !g.conns.begin(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := g.codec.DecodeCall(r)
	if err != nil {
		g.refuse(w, nil, api.Errorf(api.CodeBadRequest, "the call cannot be read: %v", err), 0)
		return
	}
	x := &exchange{g: g, w: w, call: call, caller: callerHost(r), view: g.directory.View(), tried: make(map[string]bool)}
	err = x.serve(r)
	x.finish(err)
}

// serve answers the call. An error means that no answer, or no whole answer, has left.
func (x *exchange) serve(r *http.Request) error {
	config := x.view.Config
	if config == nil {
		return api.Errorf(api.CodeStaleConfig, "no configuration has been read yet")
	}
	path, _, _ := strings.Cut(x.call.Target, "?")
	if x.route = config.Match(x.call.Host, path); x.route == nil {
		return api.Errorf(api.CodeNotFound, "no route of host %q begins path %q in configuration %d", x.call.Host, path, config.Version)
	}
	x.deadline = x.call.Deadline(x.route.Timeout)
	if err := x.readBody(r, config.Limits.BodyBytes); err != nil {
		return err
	}
	if !x.g.suspects.isEmpty() && x.g.suspects.isRefused(fingerprint(x.call, x.caller)) {
		return api.Errorf(api.CodeCrashSuspect, "%d backend servers ended while they ran this request", suspectCrashes)
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.route.Kind == fleet.Stream {
		return x.serveStream(ctx)
	}
	return x.servePlain(ctx)
}

func (x *exchange) readBody(r *http.Request, limit int64) error {
	var reader io.Reader = r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return api.Errorf(api.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", large.Limit)
	case err != nil:
		return &callerGone{err}
	}
	x.call.Body, x.body = body, body
	return nil
}

// callerGone reports that the caller's connection ended.
type callerGone struct{ err error }

// Error implements error.
func (e *callerGone) Error() string { return fmt.Sprintf("the caller left: %v", e.err) }

// Unwrap returns the cause.
func (e *callerGone) Unwrap() error { return e.err }

// brokenAnswer reports an answer that ended after its head had left.
type brokenAnswer struct{ err error }

// Error implements error.
func (e *brokenAnswer) Error() string { return fmt.Sprintf("the answer broke off: %v", e.err) }

// Unwrap returns the cause.
func (e *brokenAnswer) Unwrap() error { return e.err }

// drawTargets returns the services of a route, the first drawn by weight, the others as fallbacks.
func drawTargets(targets []fleet.Target) []string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 {
		return nil
	}
	draw := rand.IntN(total)
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.Weight <= 0 {
			continue
		}
		if draw >= 0 && draw < t.Weight {
			names = append([]string{t.Service}, names...)
		} else {
			names = append(names, t.Service)
		}
		draw -= t.Weight
	}
	return names
}

// send sends the call to the placed server and returns the head of its answer. The error says whether the call may have
// run: a *notRun, or any other.
func (x *exchange) send(ctx context.Context, p placement, resume string) (*upstream.Response, error) {
	x.tried[p.server.ID] = true
	if x.sent == 0 {
		x.sent = time.Since(x.call.Arrived)
	}
	x.server, x.placed = p.server.ID, p
	header := x.g.codec.EncodeCall(x.call, calls.Directives{
		Server: p.server.ID, Left: time.Until(x.deadline), Resume: resume,
	})
	resp, err := x.g.pool.Send(ctx, p.server.Address, &upstream.Request{
		Method:     x.call.Method,
		Target:     x.call.Target,
		Host:       x.call.Host,
		Header:     header,
		Body:       x.body,
		Repeatable: x.route.Repeatable(),
		Deadline:   x.deadline,
		Owns:       x.owns,
	})
	if upstream.IsNotSent(err) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.g.suspects.died(p.server.ID, time.Now())
		}
		return nil, &notRun{err}
	}
	x.sends++
	if err != nil {
		x.runs++
		return nil, err
	}
	answer := x.g.codec.DecodeAnswer(resp.Status, resp.Header)
	if answer.NotRun {
		resp.Discard()
		return nil, &notRun{fmt.Errorf("backend server %s answered %d and has not run the call", p.server.ID, resp.Status)}
	}
	x.runs++
	if resp.Status/100 == 2 && !answer.Sealed {
		resp.Discard()
		return nil, fmt.Errorf("backend server %s did not vouch for its answer", p.server.ID)
	}
	return resp, nil
}

// noteRun notes whether the server may have ended while it ran the call, for the judgement of the call.
func (x *exchange) noteRun(ctx context.Context, p placement, err error) {
	var refused *notRun
	var gone *callerGone
	switch {
	case errors.As(err, &refused), errors.As(err, &gone), ctx.Err() != nil:
	case err != nil:
		x.g.suspects.broke(fingerprint(x.call, x.caller), p.server, time.Now())
	case !x.g.suspects.isEmpty():
		x.g.suspects.served(fingerprint(x.call, x.caller))
	}
}

// callerHost returns the host that a request came from.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// owns reports whether an answer on the connection belongs to the call.
func (x *exchange) owns(status int, header http.Header) bool {
	id := x.g.codec.DecodeAnswer(status, header).CallID
	return id == "" || id == x.call.ID
}

// notRun reports that a backend server has certainly not run the call.
type notRun struct{ err error }

// Error implements error.
func (e *notRun) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *notRun) Unwrap() error { return e.err }

// hangTime is how long a server with free slots must have had a call for its silence to count against it when the time is
// up. At a busy server the call may merely have waited.
const hangTime = time.Second

// judge says what an error tells of the server that gave it.
func judge(ctx context.Context, p placement, err error) outcome {
	var refused *notRun
	var gone *callerGone
	switch {
	case err == nil:
		return outcomeServed
	case errors.As(err, &gone):
		return outcomeNeutral
	case errors.As(err, &refused) && !upstream.IsNotSent(err):
		return outcomeNeutral
	case ctx.Err() != nil && (p.ticket.age() < hangTime || p.calls >= p.server.Slots):
		return outcomeNeutral
	}
	return outcomeFailed
}

// finish answers a call that failed, and writes the line and the metrics of its outcome.
func (x *exchange) finish(err error) {
	elapsed := time.Since(x.call.Arrived)
	kind, route := "unrouted", ""
	if x.route != nil {
		kind, route = x.route.Kind.String(), x.route.Name
	}
	result := "answered"
	var broken *brokenAnswer
	var gone *callerGone
	var failure *api.Error
	switch {
	case err == nil:
	case errors.As(err, &gone):
		result = "caller_gone"
	case errors.As(err, &broken):
		result = "broken_off"
	default:
		failure = api.AsError(err, api.CodeOutcomeUnknown)
		result = "refused_" + strconv.Itoa(int(failure.Code))
	}
	x.g.metrics.outcome(kind, result).Inc()
	x.g.metrics.latency(kind).Update(elapsed.Seconds())
	x.logOutcome(err, result, kind, route, elapsed)
	switch result {
	case "answered":
	case "caller_gone", "broken_off":
		panic(http.ErrAbortHandler)
	default:
		x.g.refuse(x.w, x.route, failure, x.retryAfter(failure.Code))
	}
}

func (x *exchange) logOutcome(err error, result, kind, route string, elapsed time.Duration) {
	level := slog.LevelInfo
	attrs := []slog.Attr{
		slog.String("request", x.call.ID), slog.String("outcome", result), slog.String("kind", kind), slog.String("route", route),
		slog.String("server", x.server), slog.Int("sends", x.sends), slog.Int("runs", x.runs),
		slog.Int64("ms", elapsed.Milliseconds()),
	}
	if x.call.Program != "" {
		attrs = append(attrs, slog.String("program", x.call.Program))
	}
	if x.call.TokenBudget > 0 {
		attrs = append(attrs, slog.Int("token_budget", x.call.TokenBudget), slog.Int("max_output", x.call.MaxOutput), slog.Int("tokens", x.handed),
			slog.String("session", x.call.Session), slog.Int64("finish_in_ms", x.call.FinishIn.Milliseconds()))
	}
	if x.placed.server != nil {
		attrs = append(attrs, slog.String("placed_by", x.placed.by), slog.Int("server_calls", x.placed.calls),
			slog.Int("cached_tokens", x.placed.cached), slog.Int64("servers_revision", x.g.followers[serverFollower].feed.Revision()))
	}
	if away := x.g.store.awayFor(); away > 0 {
		attrs = append(attrs, slog.Int64("store_away_ms", away.Milliseconds()))
	}
	if x.sent > 0 {
		attrs = append(attrs, slog.Int64("sent_ms", x.sent.Milliseconds()))
	}
	if x.first > 0 {
		attrs = append(attrs, slog.Int64("first_event_ms", x.first.Milliseconds()))
	}
	if x.view.Config != nil {
		attrs = append(attrs, slog.Int64("configuration", x.view.Config.Version))
	}
	if err != nil {
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	x.g.log.LogAttrs(context.Background(), level, "call", attrs...)
}

// retryAfter says when a refused caller should come back.
func (x *exchange) retryAfter(code api.Code) time.Duration {
	switch code.Family() {
	case api.FamilyNotRun, api.FamilyOverload:
		switch code {
		case api.CodeBudgetTokens:
			return 0
		case api.CodeOverloaded:
			return retrySpread(max(x.comeBack, baseRetryAfter))
		case api.CodeStoreUnavailable:
			// An outage lasts for seconds: the latest return that callers honour.
			return retrySpread(time.Until(x.deadline) / 4)
		}
		return retrySpread(baseRetryAfter)
	default:
		return 0
	}
}

const baseRetryAfter = 300 * time.Millisecond

// retrySpread draws a time around d, so that callers that were refused together do not come back together.
func retrySpread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.7 + 0.6*rand.Float64()))
}

// refuse answers with an error of the product's own.
func (g *Gateway) refuse(w http.ResponseWriter, _ *fleet.Route, e *api.Error, retryAfter time.Duration) {
	body, err := json.Marshal(e.Body())
	if err != nil {
		body = []byte("{}")
	}
	g.codec.EncodeRefusal(w.Header(), retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderCode, strconv.Itoa(int(e.Code)))
	w.WriteHeader(httpStatus(e.Code))
	_, _ = w.Write(body)
}

// httpStatus returns the status of a refusal. A spent budget has one of its own here. A request that is refused as it has
// crashed servers may be a bystander: its caller may come again when its crashes are forgotten.
func httpStatus(code api.Code) int {
	switch code {
	case api.CodeBudgetTokens:
		return http.StatusPaymentRequired
	case api.CodeCrashSuspect:
		return http.StatusServiceUnavailable
	}
	return code.HTTPStatus()
}
