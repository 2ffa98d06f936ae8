package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// assignments holds the calls that this process, as the hub, has placed for other gateways. It is safe for concurrent use.
type assignments struct {
	mu       sync.Mutex
	byMember map[string]*memberCalls // Guarded by mu. By member id.
}

// memberCalls holds the calls of one run of a member.
type memberCalls struct {
	incarnation string             // Of the member.
	tickets     map[string]*ticket // By call id.
}

// add records the ticket of a call that was placed for a run of a member. A ticket of an earlier placement of the call is ended.
func (a *assignments) add(member, incarnation, call string, t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := a.run(member, incarnation)
	if previous := calls.tickets[call]; previous != nil {
		previous.end(outcomeNeutral)
	}
	calls.tickets[call] = t
}

// endEarlierRuns ends the calls of earlier runs of a member: their connections to the servers ended with the process.
func (a *assignments) endEarlierRuns(member, incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byMember[member] != nil {
		a.run(member, incarnation)
	}
}

// run returns the calls of a run of a member. Older gateways do not name their run when they ask for a place: an empty incarnation
// stands for the run that is known, and is replaced by the one that a report names. The caller holds mu.
func (a *assignments) run(member, incarnation string) *memberCalls {
	calls := a.byMember[member]
	if calls != nil && (calls.incarnation == incarnation || incarnation == "") {
		return calls
	}
	if calls != nil && calls.incarnation == "" {
		calls.incarnation = incarnation
		return calls
	}
	if calls != nil {
		for _, t := range calls.tickets {
			t.end(outcomeNeutral)
		}
	}
	if a.byMember == nil {
		a.byMember = make(map[string]*memberCalls)
	}
	calls = &memberCalls{incarnation: incarnation, tickets: make(map[string]*ticket)}
	a.byMember[member] = calls
	return calls
}

// applyProgress updates the tickets of a member's calls. Progress of calls without a ticket is ignored.
func (a *assignments) applyProgress(member string, list []peers.CallProgress) {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := a.byMember[member]
	if calls == nil {
		return
	}
	for _, p := range list {
		t := calls.tickets[p.Call]
		switch {
		case t == nil:
		case p.Ended:
			delete(calls.tickets, p.Call)
			t.observeTurn(p.Times)
			t.end(outcome(p.Outcome))
		case p.Started:
			t.markStarted()
		}
	}
}

// maxAssignmentAge is how long a call counts towards the load of its server if its end is not reported.
const maxAssignmentAge = 10 * time.Second

// sweep ends calls that were placed more than maxAssignmentAge ago.
func (a *assignments) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for member, calls := range a.byMember {
		for call, t := range calls.tickets {
			if now.Sub(t.placedAt) > maxAssignmentAge {
				delete(calls.tickets, call)
				t.end(outcomeNeutral)
			}
		}
		if len(calls.tickets) == 0 {
			delete(a.byMember, member)
		}
	}
}

// placeTurn applies the progress of earlier calls, lends the tokens that the member lacks, and places the turn, waiting for
// capacity at the engine if necessary.
func (s peerService) placeTurn(ctx context.Context, r peers.PlaceRequest) (peers.PlaceResult, error) {
	g := s.g
	g.assignments.applyProgress(r.Member, r.Progress)
	if r.Need > 0 {
		err := g.accounts.Withdraw(ctx, budget.Account(r.Organisation, r.Program), r.Budget, r.Need)
		if errors.Is(err, budget.ErrSpent) {
			return peers.PlaceResult{Spent: true}, nil
		}
		if err != nil {
			return peers.PlaceResult{}, err
		}
	}
	request := placeRequest{
		route: r.Route, failureDomain: r.FailureDomain, prompt: r.Prompt, promptTokens: r.PromptTokens, maxOutput: r.MaxOutput, tried: make(map[string]bool),
		notReported: true, allCallsKnown: true, only: r.Only, origin: r.Origin, requestBytes: r.Bytes,
	}
	request.call, request.needs = r.Call, r.Turn
	for _, id := range r.Tried {
		request.tried[id] = true
	}
	now := time.Now()
	precedence := schedule.Precedence{
		Standing: schedule.Standing(r.Standing), Organisation: r.Organisation, OrganisationPriority: r.OrganisationPriority,
		Priority: r.Priority, Since: now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
	}
	limits := waitLimits{
		holdUntil: now.Add(time.Duration(r.HoldMS) * time.Millisecond),
		giveUpAt:  now.Add(time.Duration(r.PatienceMS) * time.Millisecond),
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-answerMargin).Before(limits.holdUntil) {
		limits.holdUntil = deadline.Add(-answerMargin)
	}
	service, p, err := g.admission.place(ctx, r.Services, request, precedence, limits)
	var tooLong *waitTooLongError
	switch {
	case errors.As(err, &tooLong):
		if g.directory.View().Config.RequiresKeys() {
			g.logRefusal(r, tooLong)
		}
		return peers.PlaceResult{Full: true, WaitMS: max(tooLong.wait.Milliseconds(), 1), BeyondShare: tooLong.beyondShare}, nil
	case errors.Is(err, errAtCapacity):
		return peers.PlaceResult{Full: true}, nil
	case err != nil:
		return peers.PlaceResult{}, nil
	}
	g.assignments.add(r.Member, r.Incarnation, r.Call, p.ticket)
	return peers.PlaceResult{Service: service.Name, Server: p.server.ID, Cached: p.cachedTokens, Calls: p.calls, Urgency: round(p.urgency)}, nil
}

// logRefusal writes the log line of a call that is refused because it would wait too long for capacity.
func (g *Gateway) logRefusal(r peers.PlaceRequest, e *waitTooLongError) {
	g.log.Info("call refused at full engine", "request", r.Call, "for", r.Member, "organisation", r.Organisation, "route", r.Route,
		"standing", r.Standing, "age_ms", r.AgeMS, "patience_ms", r.PatienceMS, "wait_ms", e.wait.Milliseconds(),
		"beyond_share", e.beyondShare, "lead_calls", e.lead)
}

// Progress implements peers.Service. It applies the progress of calls that this process has placed for the member.
func (s peerService) Progress(member string, list []peers.CallProgress) {
	s.g.assignments.applyProgress(member, list)
}

// ReleaseUnused implements peers.Service. It returns the number of unused tokens of the account that this process gives up.
func (s peerService) ReleaseUnused(account string) int { return s.g.accounts.ReleaseUnused(account) }
