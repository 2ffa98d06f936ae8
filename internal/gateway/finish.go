package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// finish writes the log line and the metrics of the call's outcome. If the call failed it answers with a refusal, or aborts
// the connection if the caller is gone or part of an answer was sent.
func (x *exchange) finish(err error) {
	x.returnPermit()
	elapsed := time.Since(x.call.Arrived)
	kind, route := "unrouted", ""
	if x.route != nil {
		kind, route = x.route.Kind.String(), x.route.Name
	}
	result := "answered"
	var broken *brokenOffError
	var gone *callerGoneError
	var failure *api.Error
	switch {
	case err == nil:
	case errors.As(err, &gone):
		result = "caller_gone"
	case errors.As(err, &broken), x.started: // A panic may come after the head.
		result = "broken_off"
	default:
		failure = api.AsError(err, api.CodeOutcomeUnknown)
		result = "refused_" + strconv.Itoa(int(failure.Code))
	}
	x.g.metrics.outcome(kind, result).Inc()
	x.g.metrics.latency(kind).Update(elapsed.Seconds())
	x.countByOrganisation(result)
	x.logOutcome(err, result, kind, route, elapsed)
	switch result {
	case "answered":
		x.unframed.complete()
	case "caller_gone", "broken_off":
		panic(http.ErrAbortHandler)
	default:
		x.g.refuse(x.w, x.route, failure, x.retryAfter(failure.Code))
	}
}

// minLoggedHead is the time for reading and parsing a head from which it is logged: callers send heads in one piece, so that a process
// with processor time to spare takes far less.
const minLoggedHead = 20 * time.Millisecond

// logOutcome writes the log line of the call.
func (x *exchange) logOutcome(err error, result, kind, route string, elapsed time.Duration) {
	level := slog.LevelInfo
	attrs := []slog.Attr{
		slog.String("request", x.call.ID), slog.String("outcome", result), slog.String("kind", kind), slog.String("route", route),
		slog.String("server", x.server), slog.Int("sends", x.sends), slog.Int("runs", x.runs),
		slog.Int64("ms", elapsed.Milliseconds()),
	}
	if x.organisation != nil {
		attrs = append(attrs, slog.String("organisation", x.organisation.Name))
	}
	if x.call.Program != "" {
		attrs = append(attrs, slog.String("program", x.call.Program))
	}
	if x.call.TokenBudget > 0 {
		attrs = append(attrs, slog.Int("token_budget", x.call.TokenBudget), slog.Int("max_output", x.call.MaxOutput), slog.Int("tokens", x.outputTokens),
			slog.String("session", x.call.Session), slog.Int64("finish_in_ms", x.call.FinishIn.Milliseconds()))
	}
	if x.call.LastEvent != "" {
		attrs = append(attrs, slog.String("last_event", x.call.LastEvent), slog.String("resumes", x.call.Resumes))
	}
	if x.placed.server != nil {
		attrs = append(attrs, slog.String("version", x.placed.server.Version))
		if limit, limited := x.g.limits.Limit(x.placed.server.ID, x.placed.server.Born); limited {
			attrs = append(attrs, slog.Float64("server_limit", limit))
		}
		attrs = append(attrs, slog.String("placed_by", x.placed.by), slog.Int("server_calls", x.placed.calls),
			slog.Int("cached_tokens", x.placed.cachedTokens), slog.Int64("servers_revision", x.g.followers[serverFollowerIndex].feed.Revision()))
	}
	if x.serverState != "" {
		attrs = append(attrs, slog.String("server_state", x.serverState))
	}
	if x.route != nil && !x.g.suspects.isEmpty() {
		if crashes := x.g.suspects.crashesOf(x.fingerprint()); crashes > 0 {
			attrs = append(attrs, slog.String("body", x.fingerprint()), slog.Int("crashes", crashes))
		}
	}
	attrs = append(attrs, x.speedAttrs()...)
	if outage := x.g.store.awayFor(); outage > 0 {
		attrs = append(attrs, slog.Int64("store_away_ms", outage.Milliseconds()))
	}
	if x.headAfter >= minLoggedHead {
		attrs = append(attrs, slog.Int64("head_ms", x.headAfter.Milliseconds()))
	}
	if x.sentAfter > 0 {
		attrs = append(attrs, slog.Int64("sent_ms", x.sentAfter.Milliseconds()))
	}
	if x.firstEventAfter > 0 {
		attrs = append(attrs, slog.Int64("first_event_ms", x.firstEventAfter.Milliseconds()))
	}
	if x.config != nil {
		attrs = append(attrs, slog.Int64("configuration", x.config.Version))
		if x.config.RequiresKeys() {
			attrs = append(attrs, slog.Int64("configuration_age_ms", x.configurationAge.Milliseconds()))
		}
	}
	if err != nil {
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	x.g.log.LogAttrs(context.Background(), level, "call", attrs...)
}

// retryAfter returns the time after which a refused caller should retry; 0 if a retry is of no use.
func (x *exchange) retryAfter(code api.Code) time.Duration {
	switch code.Family() {
	case api.FamilyNotRun, api.FamilyOverload:
		switch code {
		case api.CodeBudgetTokens, api.CodeStreamUnknown, api.CodeDraining: // Another gateway serves a call that this one refuses while it stops.
			return 0
		case api.CodeOverloaded, api.CodeShare:
			return withJitter(max(x.expectedWait, baseRetryAfter))
		case api.CodeQuota:
			return x.expectedWait
		case api.CodeStoreUnavailable:
			// An outage lasts for seconds, so this is the latest retry time that callers respect.
			return withJitter(time.Until(x.deadline) / 4)
		}
		return withJitter(baseRetryAfter)
	default:
		return 0
	}
}

// baseRetryAfter is the retry time of a refusal, before jitter, unless a longer wait is expected or the key-value service is
// unavailable.
const baseRetryAfter = 300 * time.Millisecond

// withJitter returns a random time from 0.7 d to 1.3 d, so that callers that were refused together do not retry together.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.7 + 0.6*rand.Float64()))
}

// refuse answers a call with an error of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, _ *fleet.Route, e *api.Error, retryAfter time.Duration) {
	body, err := json.Marshal(e.Body())
	if err != nil {
		body = []byte("{}")
	}
	g.codec.EncodeRefusal(w.Header(), retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderCode, strconv.Itoa(int(e.Code)))
	g.announceStop(w)
	w.WriteHeader(httpStatus(e.Code))
	_, _ = w.Write(body)
}

// httpStatus returns the HTTP status of a refusal. Two codes have another status here than in package api: a spent budget,
// and a request that is refused because servers crashed while running it. Such a request may not have caused the crashes, so
// its caller may retry it after suspectRetention.
func httpStatus(code api.Code) int {
	switch code {
	case api.CodeBudgetTokens:
		return http.StatusPaymentRequired
	case api.CodeCrashSuspect:
		return http.StatusServiceUnavailable
	}
	return code.HTTPStatus()
}
