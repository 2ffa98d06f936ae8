package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/quota"
)

// A call of an organisation with a quota needs a permit before it is sent to a server. The hub issues the permits of all gateways;
// package quota decides which. A turn asks for its permit with the request to place it, other calls with a message of their own. A
// gateway that the hub does not answer has a small share of the quota, and otherwise does not know whether the quota is used up.

// permits gets permits for the calls of this process and, at the hub, issues those of all gateways. It is safe for concurrent use.
type permits struct {
	issuer *quota.Issuer
	// membersRead means that the list of gateways has been read, so that the process knows its share of a quota.
	membersRead atomic.Bool

	mu       sync.Mutex
	gateways quota.GatewayCount            // Guarded by mu.
	waiting  []*permitRequest              // Guarded by mu. Calls that the next message asks for.
	returns  []unusedPermit                // Guarded by mu. Unused permits that the next message returns.
	sending  bool                          // Guarded by mu. A message is in flight: further calls wait for the next one.
	config   *fleet.Config                 // Guarded by mu. Configuration of quotas.
	quotas   map[string]fleet.Organisation // Guarded by mu. By name.
}

// permitRequest is a call that waits for the hub's answer.
type permitRequest struct {
	call   peers.PermitCall
	answer chan permitAnswer // Has room for one answer.
	over   atomic.Bool       // Set once, by who comes first: the answer, or the end of the wait for it.
}

// abandon ends the wait for the answer, and reports whether there is none yet.
func (r *permitRequest) abandon() bool { return r.over.CompareAndSwap(false, true) }

// deliver hands out the answer, and reports whether the call still waited for it.
func (r *permitRequest) deliver(answer permitAnswer) bool {
	if !r.over.CompareAndSwap(false, true) {
		return false
	}
	r.answer <- answer
	return true
}

// permitAnswer is the answer to a request for a permit. Without an answer of the hub, issuer is empty.
type permitAnswer struct {
	peers.Permit
	issuer peers.Member
}

// unused returns what returns the granted permit of the organisation.
func (a permitAnswer) unused(organisation string) unusedPermit {
	return unusedPermit{
		issuer: a.issuer, PermitReturn: peers.PermitReturn{Organisation: organisation, Term: a.Term, AfterUS: a.AfterUS},
	}
}

// unusedPermit is a permit to return to its issuer.
type unusedPermit struct {
	peers.PermitReturn
	issuer peers.Member
}

// callPermit is the state of a call's permit.
type callPermit struct {
	needed bool
	held   bool // The call has got a permit.
	asked  bool // The issuer has told the call to wait and to ask again.
	unused unusedPermit
}

const (
	// hubWait is how long a call waits for a hub if the process's own share is used up.
	hubWait = 300 * time.Millisecond
	// hubRetryInterval is the time between two attempts to reach a hub meanwhile.
	hubRetryInterval = 50 * time.Millisecond
	// maxPermitCalls bounds the calls of one message.
	maxPermitCalls = 256
	// callerWaitShare is the share of its time for which a call waits for a permit. A caller that is refused then still has time to
	// retry.
	callerWaitShare = 1.0 / 3
	// profileInterval is the mean number of digests of which one has the profiles of programs: they change slowly.
	profileInterval = 8
)

// reasonShare is the reason of a refusal that is not the quota's: the organisation has had its share of a plain service that is short
// of capacity.
const reasonShare = "share"

// newPermits returns the permits under the deployment's limits.
func newPermits(s Settings) *permits {
	return &permits{issuer: quota.NewIssuer(quota.Limits{
		Window: time.Duration(s.QuotaWindowS * float64(time.Second)), Excess: s.QuotaExcess, Extra: s.QuotaExtra,
	})}
}

// acquirePermit gets a permit for the call if its organisation has a quota. A turn gets it later, when it is placed.
func (x *exchange) acquirePermit(ctx context.Context) error {
	if x.organisation == nil || !x.organisation.HasQuota() {
		return nil
	}
	x.permit.needed = true
	if x.route.Kind == fleet.Stream {
		return nil
	}
	return x.obtainPermit(ctx)
}

// obtainPermit gets a permit for the call unless it needs none or has one. It waits for one if the quota is not exceeded for long,
// and for a hub if none answers.
func (x *exchange) obtainPermit(ctx context.Context) error {
	for start := time.Now(); x.needsPermit(); {
		answer := x.g.askPermit(ctx, x.permitCall())
		isKnown := answer.issuer.ID != "" && answer.Reason != string(quota.ReasonNoShare)
		if !isKnown && ctx.Err() == nil {
			answer = x.g.ownPermit(x.permitCall())
		}
		switch {
		case !answer.Granted && ctx.Err() != nil:
			return x.finalError(ctx, ctx.Err())
		case answer.Granted || isKnown:
			if err := x.usePermit(ctx, answer); err != nil {
				return err
			}
		case time.Since(start) >= hubWait:
			return x.refusePermit(answer, api.CodeUnavailable)
		default:
			pause.For(ctx, hubRetryInterval)
		}
	}
	return nil
}

// needsPermit reports whether the call needs a permit that it does not have.
func (x *exchange) needsPermit() bool { return x.permit.needed && !x.permit.held }

// permitCall returns the request for the call's permit.
func (x *exchange) permitCall() peers.PermitCall {
	call := peers.PermitCall{
		Organisation: x.organisation.Name, Program: x.call.Program, Route: x.route.Name, Held: x.permit.asked, New: x.beginsProgram(),
		PatienceMS: max(time.Until(x.deadline).Milliseconds(), 0),
	}
	if x.call.FinishIn > 0 || x.call.Overdue {
		call.FinishMS = max(time.Until(x.call.Arrived.Add(x.call.FinishIn)).Milliseconds(), 1)
	}
	return call
}

// beginsProgram reports whether the call may be the first one of its program, as far as this process knows.
func (x *exchange) beginsProgram() bool {
	return x.route.Kind == fleet.Stream && x.call.Previous == "" && x.call.LastEvent == "" &&
		!(x.call.Program != "" && x.call.TokenBudget > 0 && x.g.accounts.Started(x.account()))
}

// usePermit takes over the permit in an answer, after its delay. Without one it waits until the call may ask again, or returns the
// refusal of the call.
func (x *exchange) usePermit(ctx context.Context, answer permitAnswer) error {
	if answer.Granted {
		x.permit.held = true
		x.permit.unused = answer.unused(x.organisation.Name)
		x.g.countPermit("granted")
		if answer.DelayMS > 0 {
			pause.For(ctx, time.Duration(answer.DelayMS)*time.Millisecond)
		}
		return nil
	}
	retry := time.Duration(answer.RetryMS) * time.Millisecond
	waitUntil := x.call.Arrived.Add(time.Duration(float64(x.deadline.Sub(x.call.Arrived)) * callerWaitShare))
	if !answer.Hold || time.Now().Add(retry).After(waitUntil) {
		return x.refusePermit(answer, api.CodeQuota)
	}
	x.permit.asked = true
	pause.For(ctx, retry)
	return nil
}

// refusePermit logs that the call gets no permit and returns the error for the caller.
func (x *exchange) refusePermit(answer permitAnswer, code api.Code) error {
	o := x.organisation
	x.expectedWait = time.Duration(answer.RetryMS) * time.Millisecond
	x.g.countPermit("refused_" + answer.Reason)
	x.g.log.LogAttrs(context.Background(), slog.LevelWarn, "permit refused",
		slog.String("request", x.call.ID), slog.String("organisation", o.Name), slog.String("program", x.call.Program),
		slog.String("reason", answer.Reason), slog.Float64("quota_per_s", o.RatePerSecond), slog.Float64("quota_burst", o.Burst),
		slog.Int("used_in_window", answer.Used), slog.Int64("known_for_ms", answer.AgeMS), slog.Int64("retry_ms", answer.RetryMS),
		slog.String("issuer", answer.issuer.ID), slog.Int64("configuration", x.config.Version),
		slog.Int64("waited_ms", time.Since(x.call.Arrived).Milliseconds()))
	switch {
	case answer.Reason == reasonShare:
		return api.Errorf(api.CodeShare, "organisation %q has had its share of a service that is short of capacity", o.Name)
	case code == api.CodeQuota:
		return api.Errorf(code, "the quota of organisation %q of %g calls a second is used up (%s)", o.Name, o.RatePerSecond, answer.Reason)
	}
	return api.Errorf(code, "no gateway that knows the use of organisation %q's quota answers", o.Name)
}

// returnPermit returns the permit of a call that ran at no server.
func (x *exchange) returnPermit() {
	if !x.permit.held || x.runs > 0 {
		return
	}
	x.g.countPermit("returned")
	p := x.g.permits
	if unused := x.permit.unused; unused.issuer.ID == x.g.settings.ID {
		p.takeBack(unused.PermitReturn)
	} else {
		p.queueReturn(unused)
	}
}

// countPermit counts permits by what became of them. Calls are counted by organisation in redwinggauge_organisation_calls_total.
func (g *Gateway) countPermit(outcome string) {
	g.metrics.set.GetOrCreateCounter(`redwinggauge_permits_total{outcome="` + outcome + `"}`).Inc()
}

// askPermit asks the hub for a permit. The issuer of the answer is empty if there is no answer of a hub.
func (g *Gateway) askPermit(ctx context.Context, call peers.PermitCall) permitAnswer {
	if g.updateIssuer(time.Now()) {
		return permitAnswer{Permit: g.issuePermit(time.Now(), call), issuer: g.group.Self()}
	}
	r := &permitRequest{call: call, answer: make(chan permitAnswer, 1)}
	p := g.permits
	p.mu.Lock()
	p.waiting = append(p.waiting, r)
	mustSend := !p.sending
	p.sending = true
	p.mu.Unlock()
	if mustSend {
		go g.sendPermitRequests()
	}
	select {
	case answer := <-r.answer:
		return answer
	case <-ctx.Done():
		if !r.abandon() {
			return <-r.answer
		}
		return permitAnswer{}
	}
}

// ownPermit asks for a permit from this process's own share of the quota.
func (g *Gateway) ownPermit(call peers.PermitCall) permitAnswer {
	now := time.Now()
	if !g.updateIssuer(now) {
		share := 0.0
		if known, _ := g.group.Followers(now); g.permits.membersRead.Load() {
			share = 1 / float64(g.permits.countGateways(known, 1))
		}
		g.permits.issuer.Alone(now, share)
	}
	return permitAnswer{Permit: g.issuePermit(now, call), issuer: g.group.Self()}
}
