package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Turns are placed by the hub, which knows of all calls under way: engines have few slots, and what a gateway would know
// of the others' calls is older than most calls last. A gateway that reaches no hub places by what it knows itself.

// placement is the choice of a server for a call.
type placement struct {
	server *fleet.BackendServer
	ticket *ticket
	cached int    // Prompt tokens that it is believed to hold.
	calls  int    // Calls that it was believed to run.
	hub    bool   // Chosen by the hub, which is told of the call's progress.
	by     string // Gateway that chose.
}

// place chooses a server of one of the services, by what this process knows.
func (x *exchange) place(services []string, r placeRequest) (placement, error) {
	service, p, err := x.g.loads.placeAtFirst(x.view, services, r)
	if err != nil {
		return placement{}, x.unplaced(err)
	}
	return x.placedHere(service, p), nil
}

// placedHere notes that this process chose the service and the server.
func (x *exchange) placedHere(service fleet.Service, p placement) placement {
	x.service = service
	p.by = x.g.settings.ID
	return p
}

// unplaced turns the reason for which no server was chosen into what the caller is told.
func (x *exchange) unplaced(err error) error {
	if errors.Is(err, errNoServer) {
		return api.Errorf(api.CodeUnavailable, "no backend server of route %q takes the call; %d were asked", x.route.Name, x.sends)
	}
	return err
}

// placePlain places a call of a plain service.
func (x *exchange) placePlain() (placement, error) {
	return x.place(drawTargets(x.route.Targets), placeRequest{
		route: x.route.Name, domain: x.g.settings.FailureDomain, tried: x.tried,
	})
}

// placeTurn places a turn and holds its tokens in its program's budget.
func (s *stream) placeTurn(ctx context.Context) (placement, error) {
	services := drawTargets(s.route.Targets)
	r := placeRequest{
		route: s.route.Name, domain: s.g.settings.FailureDomain, tried: s.tried,
		prompt: promptPrefixes(s.call), promptTokens: s.call.PromptTokens,
	}
	if s.again != nil {
		r.shared = true
		return placement{server: s.again, ticket: s.g.loads.count(s.again.ID, r, s.call.PromptTokens), by: s.g.settings.ID}, nil
	}
	claim := s.claim()
	for {
		hub := s.g.group.Hub()
		if hub.ID == s.g.settings.ID {
			return s.placeAsHub(ctx, services, r, claim)
		}
		p, err := s.placeByHub(ctx, hub, services, r, claim)
		switch {
		case errors.Is(err, errHubUnusable):
			return s.placeAlone(ctx, services, r)
		case errors.Is(err, errTokensTaken) && time.Now().Before(s.admissionLimit()):
			s.needsAll = true
		case !errors.Is(err, errEnginesFull):
			return p, s.unplacedTurn(claim, err)
		case !time.Now().Before(s.admissionLimit()):
			return p, s.unplacedTurn(claim, err)
		}
	}
}

// admissionShare is the part of a caller's wait for which a turn waits for room at the engines. A caller that is refused
// then still has time for its further tries.
const admissionShare = 0.5

// admissionLimit returns the time until which the turn waits for room at the engines. A stream that goes on has no further
// tries to leave time for.
func (s *stream) admissionLimit() time.Time {
	if s.runs > 0 {
		return s.deadline
	}
	return s.call.Arrived.Add(time.Duration(float64(s.deadline.Sub(s.call.Arrived)) * admissionShare))
}

// claim returns the turn's claim to a place at an engine.
func (s *stream) claim() schedule.Precedence {
	c := schedule.Precedence{Standing: schedule.StandingNew, Priority: s.route.Priority, Since: s.call.Arrived}
	switch {
	case s.call.Overdue:
		c.Standing = schedule.StandingLate
	case s.started || s.call.Previous != "" || s.hasBudget() && s.g.accounts.Started(s.call.Program):
		c.Standing = schedule.StandingStarted
	}
	return c
}

// unplacedTurn turns the reason for which a turn was not placed into what the caller is told.
func (s *stream) unplacedTurn(claim schedule.Precedence, err error) error {
	var noRoom *noRoomError
	switch {
	case errors.As(err, &noRoom):
		s.comeBack = noRoom.wait
	case !errors.Is(err, errEnginesFull):
		return s.unplaced(err)
	}
	return api.Errorf(api.CodeOverloaded, "%v; the turn of route %q has waited for %d ms (standing %d, priority %d)",
		err, s.route.Name, time.Since(claim.Since).Milliseconds(), claim.Standing, claim.Priority)
}

// placeAlone places the turn by what this process knows itself.
func (s *stream) placeAlone(ctx context.Context, services []string, r placeRequest) (placement, error) {
	if err := s.reserve(ctx); err != nil {
		return placement{}, err
	}
	return s.place(services, r)
}

// placeAsHub places a turn of one of the hub's own callers.
func (s *stream) placeAsHub(ctx context.Context, services []string, r placeRequest, claim schedule.Precedence) (placement, error) {
	if err := s.reserve(ctx); err != nil {
		return placement{}, err
	}
	limit := s.admissionLimit()
	service, p, err := s.g.admission.place(ctx, services, r, claim, waitLimits{hold: limit, giveUp: limit})
	if err != nil {
		return placement{}, s.unplacedTurn(claim, err)
	}
	return s.placedHere(service, p), nil
}

var (
	// errHubUnusable reports that the hub did not place a turn, and that another way is to be taken.
	errHubUnusable = errors.New("the hub places no calls for this process")
	// errTokensTaken reports that another turn of the program took the tokens that were lent for this one.
	errTokensTaken = errors.New("another turn of the program took the tokens")
)

const (
	// maxPlaceHold is how long the hub holds a request for a place. With the time for a grant of tokens it stays below the
	// time after which the hub counts as silent.
	maxPlaceHold = 300 * time.Millisecond
	// answerMargin is the time that the hub leaves for its answer before it counts as silent.
	answerMargin = 200 * time.Millisecond
)

// placeByHub lets the hub place the turn. It returns errEnginesFull when the hub is to be asked again.
func (s *stream) placeByHub(
	ctx context.Context, hub peers.Member, services []string, r placeRequest, claim schedule.Precedence,
) (placement, error) {
	request := s.placeRequest(hub.ID, services, r, claim)
	result, err := s.g.client.Place(ctx, hub, request)
	if err != nil {
		s.g.progress.putBack(hub.ID, request.Progress)
	}
	switch {
	case result.Spent:
		return placement{}, api.Errorf(api.CodeBudgetTokens, "the program's token budget of %d is spent, says gateway %s", s.call.TokenBudget, hub.ID)
	case err != nil && ctx.Err() != nil:
		return placement{}, ctx.Err()
	case errors.Is(err, peers.ErrSilent):
		s.g.group.Fail(hub.ID)
		return placement{}, errHubUnusable
	case err != nil || result.Failure != "":
		return placement{}, errHubUnusable
	}
	if s.hasBudget() && s.reserved == nil {
		s.reserved = s.g.accounts.DepositAndReserve(s.call.Program, request.Need, s.most())
	}
	return s.takePlace(ctx, hub, result, r)
}

// takePlace takes over the place that the hub has chosen, or gives it back.
func (s *stream) takePlace(ctx context.Context, hub peers.Member, result peers.PlaceResult, r placeRequest) (placement, error) {
	server := s.view.Server(result.Server)
	err := ctx.Err()
	switch {
	case err != nil:
	case result.Full && result.WaitMS > 0:
		err = &noRoomError{time.Duration(result.WaitMS) * time.Millisecond}
	case result.Full:
		err = errEnginesFull
	case s.hasBudget() && s.reserved == nil:
		err = errTokensTaken
	case server == nil: // Not known here.
		err = errHubUnusable
	}
	if err != nil {
		if result.Server != "" {
			s.g.progress.add(hub.ID, peers.CallProgress{Call: s.call.ID, Ended: true})
		}
		return placement{}, err
	}
	s.service = s.view.Config.Services[result.Service]
	r.shared = true
	ticket := s.g.loads.count(server.ID, r, result.Cached)
	return placement{server: server, ticket: ticket, cached: result.Cached, calls: result.Calls, hub: true, by: hub.ID}, nil
}

// placeRequest describes the turn to the hub.
func (s *stream) placeRequest(hub string, services []string, r placeRequest, claim schedule.Precedence) peers.PlaceRequest {
	patience := time.Until(s.admissionLimit())
	request := peers.PlaceRequest{
		Standing: int(claim.Standing), Priority: claim.Priority, AgeMS: time.Since(claim.Since).Milliseconds(),
		HoldMS: max(min(maxPlaceHold, patience), 0).Milliseconds(), PatienceMS: max(patience, 0).Milliseconds(),
		Member: s.g.settings.ID, FailureDomain: r.domain, Call: s.call.ID, Route: r.route, Services: services,
		Prompt: r.prompt, PromptTokens: r.promptTokens, Progress: s.g.progress.take(hub),
	}
	for id := range s.tried {
		request.Tried = append(request.Tried, id)
	}
	if s.hasBudget() && s.reserved == nil {
		request.Program, request.Budget = s.call.Program, s.call.TokenBudget
		request.Need = s.most()
		if !s.needsAll {
			request.Need = s.g.accounts.Shortfall(s.call.Program, s.most())
		}
	}
	return request
}

// assignments are the calls that the hub has placed for others. It is safe for concurrent use.
type assignments struct {
	mu       sync.Mutex
	byMember map[string]map[string]*ticket // Guarded by mu. By member and call.
}

func (a *assignments) add(member, call string, t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byMember == nil {
		a.byMember = make(map[string]map[string]*ticket)
	}
	if a.byMember[member] == nil {
		a.byMember[member] = make(map[string]*ticket)
	}
	if old := a.byMember[member][call]; old != nil {
		old.end(outcomeNeutral)
	}
	a.byMember[member][call] = t
}

func (a *assignments) progress(member string, list []peers.CallProgress) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range list {
		t := a.byMember[member][p.Call]
		switch {
		case t == nil:
		case p.Ended:
			delete(a.byMember[member], p.Call)
			t.end(outcome(p.Outcome))
		case p.Started:
			t.started()
		}
	}
}

// maxAssignment is how long a call counts of which no end was heard.
const maxAssignment = 10 * time.Second

// sweep ends the calls of members that have not told of them for too long.
func (a *assignments) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for member, calls := range a.byMember {
		for call, t := range calls {
			if now.Sub(t.began) > maxAssignment {
				delete(calls, call)
				t.end(outcomeNeutral)
			}
		}
		if len(calls) == 0 {
			delete(a.byMember, member)
		}
	}
}

// Place implements peers.Service.
func (s peerService) Place(ctx context.Context, r peers.PlaceRequest) (peers.PlaceResult, error) {
	g := s.g
	g.assigned.progress(r.Member, r.Progress)
	if r.Need > 0 {
		err := g.accounts.Withdraw(ctx, r.Program, r.Budget, r.Need)
		if errors.Is(err, budget.ErrSpent) {
			return peers.PlaceResult{Spent: true}, nil
		}
		if err != nil {
			return peers.PlaceResult{}, err
		}
	}
	request := placeRequest{
		route: r.Route, domain: r.FailureDomain, prompt: r.Prompt, promptTokens: r.PromptTokens, tried: make(map[string]bool),
		shared: true,
	}
	for _, id := range r.Tried {
		request.tried[id] = true
	}
	now := time.Now()
	claim := schedule.Precedence{
		Standing: schedule.Standing(r.Standing), Priority: r.Priority, Since: now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
	}
	limits := waitLimits{
		hold:   now.Add(time.Duration(r.HoldMS) * time.Millisecond),
		giveUp: now.Add(time.Duration(r.PatienceMS) * time.Millisecond),
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-answerMargin).Before(limits.hold) {
		limits.hold = deadline.Add(-answerMargin)
	}
	service, p, err := g.admission.place(ctx, r.Services, request, claim, limits)
	var noRoom *noRoomError
	switch {
	case errors.As(err, &noRoom):
		return peers.PlaceResult{Full: true, WaitMS: max(noRoom.wait.Milliseconds(), 1)}, nil
	case errors.Is(err, errEnginesFull):
		return peers.PlaceResult{Full: true}, nil
	case err != nil:
		return peers.PlaceResult{}, nil
	}
	g.assigned.add(r.Member, r.Call, p.ticket)
	return peers.PlaceResult{Service: service.Name, Server: p.server.ID, Cached: p.cached, Calls: p.calls}, nil
}

// Progress implements peers.Service.
func (s peerService) Progress(member string, list []peers.CallProgress) {
	s.g.assigned.progress(member, list)
}

// progressLog collects what hubs are still to be told of the calls that they have placed. A call is told of to the hub that
// has placed it, also when another is the hub by then: it would count the call on when it is the hub again. It is safe for
// concurrent use.
type progressLog struct {
	mu    sync.Mutex
	byHub map[string][]peers.CallProgress // Guarded by mu.
}

// maxProgress bounds what is kept for a hub that is not reached; it forgets calls by itself.
const maxProgress = 4096

func (l *progressLog) add(hub string, p peers.CallProgress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byHub == nil {
		l.byHub = make(map[string][]peers.CallProgress)
	}
	if len(l.byHub[hub]) < maxProgress {
		l.byHub[hub] = append(l.byHub[hub], p)
	}
}

// putBack returns what did not reach the hub.
func (l *progressLog) putBack(hub string, list []peers.CallProgress) {
	for _, p := range list {
		l.add(hub, p)
	}
}

// take returns what the hub is to be told.
func (l *progressLog) take(hub string) []peers.CallProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byHub[hub]
	delete(l.byHub, hub)
	return list
}

// hubs returns the hubs that are to be told something.
func (l *progressLog) hubs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.byHub))
}

// progressInterval is how long the end of a call may wait for a request that takes it along.
const progressInterval = 30 * time.Millisecond

// progressLoop tells hubs of calls when no request has taken it along.
func (g *Gateway) progressLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, progressInterval)
		for _, hub := range g.progress.hubs() {
			g.tellProgress(ctx, hub)
		}
	}
}

// tellProgress tells one hub. A former hub that does not answer is told nothing more: it forgets the calls by itself.
func (g *Gateway) tellProgress(ctx context.Context, hub string) {
	list := g.progress.take(hub)
	member, ok := g.group.Find(hub)
	if !ok || len(list) == 0 {
		return
	}
	err := g.client.Progress(ctx, member, g.settings.ID, list)
	if err == nil {
		return
	}
	if g.group.Hub().ID == hub {
		g.progress.putBack(hub, list)
	}
	if g.group.Fail(hub) {
		g.log.Warn("dependency lost", "dependency", "gateway "+hub, "error", err)
	}
}

// started notes that the server has read the prompt.
func (x *exchange) noteStart(p placement) {
	if p.ticket.started() && p.hub {
		x.g.progress.add(p.by, peers.CallProgress{Call: x.call.ID, Started: true})
	}
}

// noteOutcome judges the server and the call by how the call ended there.
func (x *exchange) noteOutcome(ctx context.Context, p placement, err error) {
	x.noteEnd(p, judge(ctx, p, err))
	x.noteRun(ctx, p, err)
}

// noteEnd notes how the call ended at the server.
func (x *exchange) noteEnd(p placement, o outcome) {
	p.ticket.end(o)
	if p.hub {
		x.g.progress.add(p.by, peers.CallProgress{Call: x.call.ID, Ended: true, Outcome: int(o)})
	}
}

// Surrender implements peers.Service.
func (s peerService) Surrender(program string) int { return s.g.accounts.ReleaseUnused(program) }
