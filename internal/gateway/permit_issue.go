package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/quota"
)

// countGateways returns the number of gateways among which a quota is divided.
func (p *permits) countGateways(known, following int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gateways.Update(known, following)
}

// updateIssuer reports whether this process is the hub. If it is, it issues permits from the part of each quota that belongs to the
// gateways that follow it.
func (g *Gateway) updateIssuer(now time.Time) bool {
	hub := g.group.Hub().ID
	g.permits.issuer.ObserveHub(now, hub)
	if hub != g.settings.ID {
		return false
	}
	share := 0.0
	known, following := g.group.Followers(now)
	counted := g.permits.countGateways(known, following)
	if g.permits.membersRead.Load() {
		share = float64(following) / float64(counted)
	}
	g.permits.issuer.Lead(now, share)
	return true
}

// followHub records that the hub has answered: this process has issued its own permits until now at most.
func (g *Gateway) followHub(now time.Time) {
	known, _ := g.group.Followers(now)
	g.permits.countGateways(known, known)
	g.permits.issuer.Follow(now)
}

// mergeRegistered adds the registered members, of which there is one at least if the list could be read: this process.
func (g *Gateway) mergeRegistered(members []peers.Member) {
	g.group.Merge(time.Now(), peers.SourceRegistration, members...)
	if len(members) > 0 {
		g.permits.membersRead.Store(true)
	}
}

// learnPrograms takes over what the hub has learned of programs.
func (g *Gateway) learnPrograms(list []peers.ProgramProfile) {
	if len(list) == 0 {
		return
	}
	known := make([]quota.RouteProfile, len(list))
	for i, r := range list {
		known[i] = quota.RouteProfile{Route: r.Route, Calls: r.Calls, Time: time.Duration(r.TimeMS) * time.Millisecond, Samples: r.Samples}
	}
	g.permits.issuer.Learn(known)
}

// learnedPrograms returns what this process has learned of programs, for one digest of profileInterval.
func (g *Gateway) learnedPrograms() []peers.ProgramProfile {
	if rand.IntN(profileInterval) > 0 {
		return nil
	}
	var list []peers.ProgramProfile
	for _, r := range g.permits.issuer.Profiles() {
		list = append(list, peers.ProgramProfile{Route: r.Route, Calls: r.Calls, TimeMS: r.Time.Milliseconds(), Samples: r.Samples})
	}
	return list
}

// quota returns the quota of an organisation in the configuration. It reports false if the organisation is unknown.
func (p *permits) quota(config *fleet.Config, name string) (fleet.Organisation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != config {
		p.config, p.quotas = config, make(map[string]fleet.Organisation)
		if config != nil {
			for _, o := range config.Organisations {
				p.quotas[o.Name] = o
			}
		}
	}
	o, known := p.quotas[name]
	return o, known
}

// issuePermit decides about a call by what this process knows. A call of an organisation that only another gateway knows yet has
// to ask again.
func (g *Gateway) issuePermit(now time.Time, call peers.PermitCall) peers.Permit {
	o, known := g.permits.quota(g.directory.View().Config, call.Organisation)
	if !known {
		return peers.Permit{Reason: string(quota.ReasonNoShare), Hold: true, RetryMS: hubRetryInterval.Milliseconds()}
	}
	if !o.HasQuota() {
		return peers.Permit{Granted: true}
	}
	if !call.Held {
		if granted, retryAfter := g.mayUseRoute(call.Program, call.Organisation, call.Route, !call.New && call.Program != ""); !granted {
			return peers.Permit{Reason: reasonShare, RetryMS: max(roundUp(retryAfter), 1)}
		}
	}
	d := g.permits.issuer.Decide(now, quota.Quota{RatePerSecond: o.RatePerSecond, Burst: o.Burst}, quota.Call{
		Organisation: call.Organisation, Program: call.Program, Route: call.Route, New: call.New, Held: call.Held,
		FinishIn: time.Duration(call.FinishMS) * time.Millisecond, Patience: time.Duration(call.PatienceMS) * time.Millisecond,
	})
	if d.Granted {
		return peers.Permit{Granted: true, DelayMS: roundUp(d.Delay), Term: d.Permit.Term, AfterUS: d.Permit.After.Microseconds()}
	}
	return peers.Permit{Reason: string(d.Reason), RetryMS: max(roundUp(d.Retry), 1), Hold: d.Hold, Used: int(d.Used), AgeMS: d.Age.Milliseconds()}
}

// roundUp returns the time in milliseconds, rounded up: a call that came earlier would find no permit.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// takeBack takes back a permit that this process has issued and that was not used.
func (p *permits) takeBack(r peers.PermitReturn) {
	p.issuer.Return(time.Now(), r.Organisation, quota.Permit{Term: r.Term, After: time.Duration(r.AfterUS) * time.Microsecond})
}

// Permits implements peers.Service. Only the hub issues permits: two processes that each issue the permits of all gateways would
// exceed the quotas together.
func (s peerService) Permits(r peers.PermitRequest) peers.PermitResult {
	now := time.Now()
	if !s.g.updateIssuer(now) {
		return peers.PermitResult{NotHub: true}
	}
	for _, p := range r.Returns {
		s.g.permits.takeBack(p)
	}
	result := peers.PermitResult{Permits: make([]peers.Permit, len(r.Calls))}
	for i, call := range r.Calls {
		result.Permits[i] = s.g.issuePermit(now, call)
	}
	return result
}

// maxPlaceDelay is how long the hub delays placing a turn until its permit is valid. A turn with a longer delay asks for its place
// after it.
const maxPlaceDelay = 50 * time.Millisecond

// Place implements peers.Service. It issues the turn's permit if it needs one. The turn is placed only if it may be sent soon.
func (s peerService) Place(ctx context.Context, r peers.PlaceRequest) (peers.PlaceResult, error) {
	if r.Permit == nil {
		return s.placeTurn(ctx, r)
	}
	s.g.assignments.applyProgress(r.Member, r.Progress)
	r.Progress = nil
	if now := time.Now(); s.g.updateIssuer(now) {
		permit := s.g.issuePermit(now, *r.Permit)
		if !permit.Granted || permit.DelayMS > maxPlaceDelay.Milliseconds() {
			return peers.PlaceResult{Permit: &permit}, nil
		}
		pause.For(ctx, time.Duration(permit.DelayMS)*time.Millisecond)
		permit.DelayMS = 0
		result, err := s.placeTurn(ctx, r)
		result.Permit = &permit
		return result, err
	}
	return peers.PlaceResult{}, nil
}
