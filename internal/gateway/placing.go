package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
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
	for _, name := range services {
		service := x.view.Config.Services[name]
		if p, ok := x.g.loads.place(x.view.Usable(name), service, r); ok {
			x.service = service
			p.by = x.g.settings.ID
			return p, nil
		}
	}
	return placement{}, api.Errorf(api.CodeUnavailable, "no backend server of route %q takes the call; %d were asked", x.route.Name, x.sends)
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
	if hub := s.g.group.Hub(); hub.ID != s.g.settings.ID {
		p, done, err := s.placeByHub(ctx, hub, services, r)
		if done {
			return p, err
		}
	}
	if err := s.reserve(ctx); err != nil {
		return placement{}, err
	}
	r.current = s.g.isHub()
	return s.place(services, r)
}

// placeByHub lets the hub place the turn. done is false when the hub could not be asked.
func (s *stream) placeByHub(ctx context.Context, hub peers.Member, services []string, r placeRequest) (p placement, done bool, err error) {
	request := peers.PlaceRequest{
		Member: s.g.settings.ID, FailureDomain: r.domain, Call: s.call.ID, Route: r.route, Services: services,
		Prompt: r.prompt, PromptTokens: r.promptTokens, Progress: s.g.progress.take(),
	}
	for id := range s.tried {
		request.Tried = append(request.Tried, id)
	}
	if s.hasBudget() && s.reserved == nil {
		request.Program, request.Budget = s.call.Program, s.call.TokenBudget
		request.Need = s.g.accounts.Need(s.call.Program, s.most())
	}
	result, err := s.g.client.Place(ctx, hub, request)
	switch {
	case result.Spent:
		return p, true, api.Errorf(api.CodeBudgetTokens, "the program's token budget of %d is spent, says gateway %s", s.call.TokenBudget, hub.ID)
	case ctx.Err() != nil:
		if result.Server != "" {
			s.g.progress.add(peers.CallProgress{Call: s.call.ID, Ended: true})
		}
		return p, true, ctx.Err()
	case errors.Is(err, peers.ErrSilent):
		s.g.group.Fail(hub.ID)
		return p, false, nil
	case err != nil || result.Failure != "":
		return p, false, nil
	}
	if request.Need > 0 {
		s.g.accounts.Deposit(s.call.Program, request.Need)
	}
	if s.hasBudget() && s.reserved == nil {
		s.reserved = s.g.accounts.Take(s.call.Program, s.most())
		if s.reserved == nil {
			s.g.progress.add(peers.CallProgress{Call: s.call.ID, Ended: true})
			return p, false, nil // Another turn of the program took the tokens.
		}
	}
	server := s.view.Server(result.Server)
	if server == nil {
		if result.Server != "" {
			s.g.progress.add(peers.CallProgress{Call: s.call.ID, Ended: true})
		}
		return p, false, nil
	}
	s.service = s.view.Config.Services[result.Service]
	r.shared = true
	ticket := s.g.loads.count(server.ID, r, result.Cached)
	return placement{server: server, ticket: ticket, cached: result.Cached, calls: result.Calls, hub: true, by: hub.ID}, true, nil
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
		err := g.accounts.Lend(ctx, r.Program, r.Budget, r.Need)
		if errors.Is(err, budget.ErrSpent) {
			return peers.PlaceResult{Spent: true}, nil
		}
		if err != nil {
			return peers.PlaceResult{}, err
		}
	}
	request := placeRequest{
		route: r.Route, domain: r.FailureDomain, prompt: r.Prompt, promptTokens: r.PromptTokens, tried: make(map[string]bool),
		current: true, shared: true,
	}
	for _, id := range r.Tried {
		request.tried[id] = true
	}
	view := g.directory.View()
	if view.Config == nil {
		return peers.PlaceResult{}, nil
	}
	for _, name := range r.Services {
		if p, ok := g.loads.place(view.Usable(name), view.Config.Services[name], request); ok {
			g.assigned.add(r.Member, r.Call, p.ticket)
			return peers.PlaceResult{Service: name, Server: p.server.ID, Cached: p.cached, Calls: p.calls}, nil
		}
	}
	return peers.PlaceResult{}, nil
}

// Progress implements peers.Service.
func (s peerService) Progress(member string, list []peers.CallProgress) {
	s.g.assigned.progress(member, list)
}

// progressLog collects what the hub is still to be told. It is safe for concurrent use.
type progressLog struct {
	mu   sync.Mutex
	list []peers.CallProgress // Guarded by mu.
}

// maxProgress bounds what is kept while no hub is reached; the hub forgets calls by itself.
const maxProgress = 4096

func (l *progressLog) add(p peers.CallProgress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < maxProgress {
		l.list = append(l.list, p)
	}
}

func (l *progressLog) take() []peers.CallProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.list
	l.list = nil
	return list
}

// progressInterval is how long the end of a call may wait for a request that takes it along.
const progressInterval = 30 * time.Millisecond

// progressLoop tells the hub of calls when no request has taken it along.
func (g *Gateway) progressLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, progressInterval)
		hub := g.group.Hub()
		list := g.progress.take()
		if len(list) == 0 || hub.ID == g.settings.ID {
			continue
		}
		if err := g.client.Progress(ctx, hub, g.settings.ID, list); err != nil && g.group.Fail(hub.ID) {
			g.log.Warn("dependency lost", "dependency", "gateway "+hub.ID, "error", err)
		}
	}
}

// started notes that the server has read the prompt.
func (x *exchange) noteStart(p placement) {
	if p.ticket.started() && p.hub {
		x.g.progress.add(peers.CallProgress{Call: x.call.ID, Started: true})
	}
}

// noteEnd notes how the call ended at the server.
func (x *exchange) noteEnd(p placement, o outcome) {
	p.ticket.end(o)
	if p.hub {
		x.g.progress.add(peers.CallProgress{Call: x.call.ID, Ended: true, Outcome: int(o)})
	}
}

// Surrender implements peers.Service.
func (s peerService) Surrender(program string) int { return s.g.accounts.Surrender(program) }
