package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// The hub places the turns of all gateways, because it knows all calls in progress. Engines have few slots, and another
// gateway's reports of its calls would be older than most calls last. A gateway that cannot reach the hub places turns by
// its own knowledge.

// placement is the choice of a server for a call.
type placement struct {
	server       *fleet.BackendServer
	ticket       *ticket
	cachedTokens int     // Prompt tokens that the server is expected to have cached.
	calls        int     // Calls that the server was expected to have in progress.
	byPeer       bool    // Chosen by another gateway, the hub, to which the call's progress must be reported.
	by           string  // Id of the gateway that chose the server.
	urgency      float64 // Of a turn, where engines are told apart by speed; otherwise 0.
	pinned       bool    // No other server may continue the stream.
}

// servers returns a view of the servers that are known now, with the configuration by which the call is served. The call may have
// waited since its arrival.
func (x *exchange) servers() *fleet.View { return x.g.directory.View().WithConfig(x.config) }

// place chooses a server of one of the services by the loads that this process knows.
func (x *exchange) place(services []string, r placeRequest) (placement, error) {
	service, p, err := x.g.loads.placeAtFirstAvailable(x.servers(), services, r)
	if err != nil {
		return placement{}, x.placementError(err)
	}
	return x.recordLocalPlacement(service, p), nil
}

// recordLocalPlacement records that this process chose the service and the server.
func (x *exchange) recordLocalPlacement(service fleet.Service, p placement) placement {
	x.service = service
	p.by = x.g.settings.ID
	return p
}

// placementError converts the reason why no server was chosen into the error for the caller.
func (x *exchange) placementError(err error) error {
	if errors.Is(err, errNoServerAvailable) {
		return api.Errorf(api.CodeUnavailable, "no backend server of route %q is available for the call; it was sent %d times", x.route.Name, x.sends)
	}
	return err
}

// placePlain places a call whose answer is a single body, not a stream. The hub places it if one of the servers has named a limit,
// which holds for the calls of all gateways; otherwise this process does.
func (x *exchange) placePlain(ctx context.Context) (placement, error) {
	services := orderTargets(x.route.Targets)
	r := placeRequest{route: x.route.Name, failureDomain: x.g.settings.FailureDomain, tried: x.tried, requestBytes: largeBytes(x.body)}
	if x.g.isAnyLimited(x.servers(), services) {
		return x.placeThroughHub(ctx, services, r, x.precedence(), noTokens{})
	}
	r.isConnected = func(address string) bool { return x.g.pool.IsConnected(address, x.route.Repeatable()) }
	return x.place(services, r)
}

// precedence returns what decides the position of a call of a plain service in the queue of a server.
func (x *exchange) precedence() schedule.Precedence {
	result := x.basePrecedence(schedule.StandingStarted)
	if x.call.Overdue {
		result.Standing = schedule.StandingLate
	}
	return result
}

// basePrecedence returns the precedence of the call with the standing, by its organisation, route and arrival.
func (x *exchange) basePrecedence(standing schedule.Standing) schedule.Precedence {
	result := schedule.Precedence{Standing: standing, Priority: x.route.Priority, Since: x.call.Arrived}
	if x.organisation != nil {
		result.Organisation, result.OrganisationPriority = x.organisation.Name, x.organisation.Priority
	}
	return result
}

// placeTurn places a turn and reserves its tokens in its program's budget.
func (s *stream) placeTurn(ctx context.Context) (placement, error) {
	services := s.origin.Services(orderTargets(s.route.Targets))
	r := placeRequest{
		route: s.route.Name, failureDomain: s.g.settings.FailureDomain, tried: s.tried, origin: s.origin,
		prompt: promptPrefixes(s.call), promptTokens: s.call.PromptTokens, requestBytes: largeBytes(s.body),
		speedRequest: s.turnRequest(),
	}
	if s.config.RequiresKeys() {
		r.maxOutput = s.maxTokens()
	}
	if s.resumeAt != nil {
		if now := s.g.directory.View().Server(s.resumeAt.ID); now != nil && !s.origin.MayGoOnAt(now) {
			return placement{}, s.placementError(errNoServerAvailable)
		}
		if !s.g.limiter.IsLimited(s.resumeAt.ID, s.resumeAt.Born) {
			r.notReported = true
			return placement{server: s.resumeAt, ticket: s.g.loads.addCall(s.resumeAt.ID, r, s.call.PromptTokens), by: s.g.settings.ID, pinned: true}, nil
		}
		r.only = s.resumeAt.ID
	}
	p, err := s.placeThroughHub(ctx, services, r, s.precedence(), s)
	p.pinned = r.only != ""
	return p, err
}

// precedence returns what decides the turn's position in the queue of an engine.
func (s *stream) precedence() schedule.Precedence {
	result := s.basePrecedence(schedule.StandingNew)
	switch {
	case s.call.Overdue:
		result.Standing = schedule.StandingLate
	case s.started || s.call.Previous != "" || s.hasBudget() && s.g.accounts.Started(s.account()):
		result.Standing = schedule.StandingStarted
	}
	return result
}

// tokenHolder reserves the tokens of a call in the budget of the call's program.
type tokenHolder interface {
	// reserve reserves the tokens from those that this process holds, or from the key-value service.
	reserve(ctx context.Context) error
	// addNeed adds to a request to the hub which tokens the hub is to lend.
	addNeed(request *peers.PlaceRequest)
	// acceptLoan takes over the tokens that the hub has lent, and reserves those of the call. It returns errTokensTaken if they do
	// not suffice.
	acceptLoan(request *peers.PlaceRequest) error
	// ignoreHeld makes addNeed ask for all tokens of the call, as others may take those that this process holds.
	ignoreHeld()
}

// noTokens is the tokenHolder of calls that use no tokens.
type noTokens struct{}

func (noTokens) reserve(context.Context) error        { return nil }
func (noTokens) addNeed(*peers.PlaceRequest)          {}
func (noTokens) acceptLoan(*peers.PlaceRequest) error { return nil }
func (noTokens) ignoreHeld()                          {}

// placeThroughHub has the hub place the call, or places it by the loads that this process knows while there is no hub. The
// call waits until a server has capacity for it, at most until its admissionDeadline.
func (x *exchange) placeThroughHub(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, tokens tokenHolder,
) (placement, error) {
	waiting, done := x.waitForServer(ctx)
	defer done()
	for {
		p, err := x.placeOnce(waiting, services, r, precedence, tokens)
		if err != nil && waiting.Err() != nil && ctx.Err() == nil {
			return placement{}, x.checkStop()
		}
		mayAskAgain := errors.Is(err, errAtCapacity) || errors.Is(err, errTokensTaken)
		if !mayAskAgain || !time.Now().Before(x.admissionDeadline()) {
			return p, x.queueError(precedence, err)
		}
		if errors.Is(err, errTokensTaken) {
			tokens.ignoreHeld()
		}
	}
}

// placeOnce is one attempt of placeThroughHub. It returns errAtCapacity or errTokensTaken if another one may succeed.
func (x *exchange) placeOnce(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, tokens tokenHolder,
) (placement, error) {
	hub := x.g.group.Hub()
	if hub.ID != x.g.settings.ID {
		p, err := x.placeByHub(ctx, hub, services, r, precedence, tokens)
		if !errors.Is(err, errHubUnusable) {
			return p, err
		}
		return x.placeWithoutHub(ctx, services, r, precedence, tokens)
	}
	r.allCallsKnown = true
	if err := x.obtainPermit(ctx); err != nil {
		return placement{}, err
	}
	deadline := x.admissionDeadline()
	return x.placeByAdmission(ctx, services, r, precedence, tokens, waitLimits{holdUntil: deadline, giveUpAt: deadline})
}

// placeWithoutHub places the call by the loads that this process knows. Servers that have named a limit get only this process's
// share of it: the call may wait for that as long as the hub would let it, after which the hub is asked again.
func (x *exchange) placeWithoutHub(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, tokens tokenHolder,
) (placement, error) {
	if err := x.obtainPermit(ctx); err != nil {
		return placement{}, err
	}
	if x.g.isAnyLimited(x.servers(), services) {
		hold := time.Now().Add(min(maxPlaceHold, time.Until(x.admissionDeadline())))
		return x.placeByAdmission(ctx, services, r, precedence, tokens, waitLimits{holdUntil: hold})
	}
	if err := tokens.reserve(ctx); err != nil {
		return placement{}, err
	}
	return x.place(services, r)
}

// placeByAdmission reserves the call's tokens and places it by the admission of this process.
func (x *exchange) placeByAdmission(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, tokens tokenHolder, limits waitLimits,
) (placement, error) {
	if err := tokens.reserve(ctx); err != nil {
		return placement{}, err
	}
	service, p, err := x.g.admission.place(ctx, services, r, precedence, limits)
	if err != nil {
		return placement{}, err
	}
	return x.recordLocalPlacement(service, p), nil
}

// admissionShare is the fraction of a caller's total wait that a call may spend waiting for capacity at the servers. A
// caller that is refused then still has time to retry.
const admissionShare = 0.5

// admissionDeadline returns the time until which the call waits for capacity at the servers. A call that may have run waits
// until its deadline: the caller cannot retry it, so no time has to be left for that.
func (x *exchange) admissionDeadline() time.Time {
	if x.runs > 0 {
		return x.deadline
	}
	return x.call.Arrived.Add(time.Duration(float64(x.deadline.Sub(x.call.Arrived)) * admissionShare))
}

// queueError converts the reason why a call was not placed into the error for the caller.
func (x *exchange) queueError(precedence schedule.Precedence, err error) error {
	var tooLong *waitTooLongError
	code := api.CodeOverloaded
	switch {
	case errors.As(err, &tooLong):
		x.expectedWait = tooLong.wait
		if tooLong.beyondShare {
			code = api.CodeShare
		}
	case !errors.Is(err, errAtCapacity):
		return x.placementError(err)
	}
	return api.Errorf(code, "%v; the call of route %q has waited %d ms (standing %d, priority %d)",
		err, x.route.Name, time.Since(precedence.Since).Milliseconds(), precedence.Standing, precedence.Priority)
}

var (
	// errHubUnusable reports that the hub did not place a turn and that this process must place it.
	errHubUnusable = errors.New("the hub did not place the call")
	// errTokensTaken reports that another turn of the program took the tokens that this turn needed besides the lent ones.
	errTokensTaken = errors.New("another turn of the program took the tokens")
)

const (
	// maxPlaceHold is how long the hub may delay its answer to a request to place a turn. Together with the time to lend
	// tokens it stays below the time after which the hub is considered unresponsive.
	maxPlaceHold = 300 * time.Millisecond
	// answerMargin is the time that the hub leaves for sending its answer before the request's deadline.
	answerMargin = 200 * time.Millisecond
)

// placeByHub has the hub place the call and takes over tokens that the hub lends for it. It returns errAtCapacity if the hub
// may be asked again.
func (x *exchange) placeByHub(
	ctx context.Context, hub peers.Member, services []string, r placeRequest, precedence schedule.Precedence, tokens tokenHolder,
) (placement, error) {
	request := x.newPlaceRequest(hub.ID, services, r, precedence)
	tokens.addNeed(&request)
	result, err := x.g.client.Place(ctx, hub, request)
	if err != nil { // The hub may have placed the call all the same.
		x.g.progressQueue.requeue(hub.ID, append(request.Progress, peers.CallProgress{Call: x.call.ID, Ended: true, Queued: time.Now()}))
	}
	if err == nil {
		if err := x.acceptPermit(ctx, hub, &request, &result); err != nil {
			if result.Permit == nil && (result.Server != "" || result.Full) {
				// A hub of an earlier build has lent the tokens. If they do not suffice, the call reserves others where it is placed.
				_ = tokens.acceptLoan(&request)
			}
			return placement{}, err
		}
	}
	switch {
	case result.Spent:
		return placement{}, api.Errorf(api.CodeBudgetTokens, "the program's token budget of %d is spent, says gateway %s", x.call.TokenBudget, hub.ID)
	case err != nil && ctx.Err() != nil:
		return placement{}, ctx.Err()
	case errors.Is(err, peers.ErrNoAnswer):
		x.g.group.MarkFailed(hub.ID)
		return placement{}, errHubUnusable
	case err != nil || result.Failure != "":
		return placement{}, errHubUnusable
	}
	return x.acceptPlacement(ctx, hub, result, r, tokens.acceptLoan(&request))
}

// acceptPlacement uses the server that the hub has chosen. If the call cannot use it, it reports the call to the hub as
// ended, so that the hub no longer counts it, and returns an error. loanErr is why the tokens do not suffice.
func (x *exchange) acceptPlacement(ctx context.Context, hub peers.Member, result peers.PlaceResult, r placeRequest, loanErr error) (placement, error) {
	server := x.g.directory.View().Server(result.Server)
	err := ctx.Err()
	switch {
	case err != nil:
	case result.Full && result.WaitMS > 0:
		err = &waitTooLongError{wait: time.Duration(result.WaitMS) * time.Millisecond, beyondShare: result.BeyondShare}
	case result.Full:
		err = errAtCapacity
	case loanErr != nil:
		err = loanErr
	case server == nil, !r.origin.MayGoOnAt(server): // This process does not know the server, or knows another run of it.
		err = errHubUnusable
	}
	if err != nil {
		if result.Server != "" {
			x.g.progressQueue.add(hub.ID, peers.CallProgress{Call: x.call.ID, Ended: true})
		}
		return placement{}, err
	}
	x.service = x.config.Services[result.Service]
	r.notReported = true
	ticket := x.g.loads.addCall(server.ID, r, result.Cached)
	return placement{server: server, ticket: ticket, cachedTokens: result.Cached, calls: result.Calls, byPeer: true, by: hub.ID, urgency: result.Urgency}, nil
}

// newPlaceRequest returns the request that asks the hub to place the call. It carries the queued progress of earlier calls.
func (x *exchange) newPlaceRequest(hub string, services []string, r placeRequest, precedence schedule.Precedence) peers.PlaceRequest {
	timeLeft := time.Until(x.admissionDeadline())
	request := peers.PlaceRequest{
		Organisation: precedence.Organisation, OrganisationPriority: precedence.OrganisationPriority,
		Standing: int(precedence.Standing), Priority: precedence.Priority, AgeMS: time.Since(precedence.Since).Milliseconds(),
		HoldMS: max(min(maxPlaceHold, timeLeft), 0).Milliseconds(), PatienceMS: max(timeLeft, 0).Milliseconds(),
		Member: x.g.settings.ID, Incarnation: x.g.group.Self().Incarnation, FailureDomain: r.failureDomain, Call: x.call.ID, Route: r.route, Services: services, Only: r.only, Origin: r.origin,
		Prompt: r.prompt, PromptTokens: r.promptTokens, MaxOutput: r.maxOutput, Bytes: r.requestBytes, Progress: x.g.progressQueue.take(hub),
		Turn: r.needs,
	}
	if x.needsPermit() {
		call := x.permitCall()
		request.Permit = &call
	}
	for id := range x.tried {
		request.Tried = append(request.Tried, id)
	}
	return request
}

// addNeed implements tokenHolder.
func (s *stream) addNeed(request *peers.PlaceRequest) {
	if !s.hasBudget() || s.reservation != nil {
		return
	}
	request.Program, request.Budget = s.call.Program, s.call.TokenBudget
	request.Need = s.maxTokens()
	if !s.ignoreHeldTokens {
		request.Need = s.g.accounts.Shortfall(s.account(), s.maxTokens())
	}
}

// acceptLoan implements tokenHolder.
func (s *stream) acceptLoan(request *peers.PlaceRequest) error {
	if !s.hasBudget() || s.reservation != nil {
		return nil
	}
	s.reservation = s.g.accounts.DepositAndReserve(s.account(), request.Need, s.maxTokens())
	if s.reservation == nil {
		return errTokensTaken
	}
	return nil
}

// ignoreHeld implements tokenHolder.
func (s *stream) ignoreHeld() { s.ignoreHeldTokens = true }
