package gateway

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/streams"
)

const (
	slownessWeight    = 0.15                   // Weight of one call in a server's moving average.
	initialSuspension = 400 * time.Millisecond // After the first failure; doubles with each further one.
	maxSuspension     = 4 * time.Second
	maxPrefixes       = 20000 // Prompt prefixes whose servers are remembered.
	minRouteSamples   = 8     // Calls of a route before its typical time is used.
)

// loads holds the load and health of the backend servers, from this process's own calls and from what other gateways
// report. It is safe for concurrent use.
type loads struct {
	mu                 sync.Mutex
	byID               map[string]*serverLoad          // Guarded by mu.
	typicalTimes       map[string]*average             // Guarded by mu. Average time of a call in seconds, by route.
	prefixes           *schedule.PrefixIndex           // Guarded by mu.
	prefixUse          *schedule.PrefixUse             // Guarded by mu.
	otherLoads         map[string]peers.ServerLoad     // Guarded by mu. Calls that other gateways have in progress, by server.
	unreportedOutcomes map[string]peers.ServerOutcomes // Guarded by mu. Call outcomes not yet reported to the hub, by server.
	ejected            map[string]bool                 // Guarded by mu. Servers that the hub has ejected for failing too many calls.
	costs              schedule.PlacementCosts
	learnSpeeds        bool         // Servers are told apart by speed and by failure domain of the callers. Set before the first call.
	speeds             serverSpeeds // Guarded by mu.
	domains            *domainState // Guarded by mu, but not whether it is nil: only if the settings name a price of traffic between domains.
}

// serverLoad is the load and health of one backend server.
type serverLoad struct {
	born          int64 // Start of the server's run that the other fields describe, in Unix milliseconds; 0 while unknown.
	calls         int
	pendingTokens int // Prompt tokens that the server still has to process.
	// The part of calls and pendingTokens that this process placed itself for its own callers.
	ownCalls, ownPendingTokens int
	domains                    schedule.DomainHealth // Replaces failures, health and suspendedUntil where outcomes count by failure domain.
	// Bytes of large requests among the calls, and the part that this process placed itself for its own callers.
	requestBytes, ownRequestBytes int64
	slowness                      float64 // Time of a call as a multiple of the route's typical time; 0 while unknown.
	failures                      int     // Consecutive failed calls.
	health                        schedule.Health
	suspendedUntil                time.Time
}

// average is a moving average of samples.
type average struct {
	value float64
	count int // Samples so far.
}

func newLoads() *loads {
	return &loads{
		byID:               make(map[string]*serverLoad),
		typicalTimes:       make(map[string]*average),
		unreportedOutcomes: make(map[string]peers.ServerOutcomes),
		prefixes:           schedule.NewPrefixIndex(maxPrefixes),
		prefixUse:          schedule.NewPrefixUse(maxPrefixes),
		costs:              schedule.DefaultPlacementCosts(),
		speeds:             newServerSpeeds(),
	}
}

// ticket represents one call that counts towards the load of a server. end must be called exactly once.
type ticket struct {
	loads         *loads
	server        string
	route         string
	pendingTokens int
	requestBytes  int64 // 0 if the request is not large.
	notReported   bool
	placedAt      time.Time
	promptRead    bool
	ending        atomic.Bool       // The end of the call was recorded by recordEnd.
	domains       peers.DomainCalls // The domains of the caller and of the server; zero if the call does not count there.
	// release returns what the call uses of its engine's capacity; nil for calls that were not admitted to an engine.
	release func(schedule.EngineUsage)
	ticketSpeed
}

// setRelease sets the function that returns what the call uses of its engine's capacity.
func (t *ticket) setRelease(release func(schedule.EngineUsage)) {
	t.loads.mu.Lock()
	defer t.loads.mu.Unlock()
	t.release = release
}

// outcome is the result of a call at a server, as far as it concerns the health of the server.
type outcome int

const (
	outcomeNeutral outcome = iota // Says nothing about the server's health.
	outcomeServed
	outcomeFailed
)

// placeRequest describes a call to place.
type placeRequest struct {
	route         string
	failureDomain string // Of the gateway that serves the caller.
	prompt        []peers.PromptPrefix
	promptTokens  int
	maxOutput     int   // Limit for its output tokens. Only set if callers present keys.
	requestBytes  int64 // Size of the request if it is large, otherwise 0.
	tried         map[string]bool
	origin        *streams.Origin // What began the stream that the call continues; nil if it begins one or none.
	only          string          // Id of the only server that may be chosen, also if it was tried; empty if there is none.
	allCallsKnown bool            // This process knows all calls in progress, so that its loads are current.
	notReported   bool            // Not part of the load that this process reports: placed by the hub, or for another gateway.
	spreadShared  bool            // Prompts that many calls share are spread over several engines.
	sharedTokens  int             // Length of the prefix that is spread, once the call is placed.
	// isConnected reports whether this process has an idle connection to the address that may carry the call; nil if it is not
	// this process that will send the call.
	isConnected func(address string) bool
	// limitWait returns the time until a server may get the call under the limit that it has named; nil if none has named one.
	limitWait func(s *fleet.BackendServer) time.Duration
	speedRequest
}

// mayChoose reports whether the call may be placed at the server.
func (r *placeRequest) mayChoose(s *fleet.BackendServer) bool {
	switch {
	case !r.origin.MayGoOnAt(s):
		return false
	case r.only != "":
		return s.ID == r.only
	}
	return !r.tried[s.ID]
}

// placeAtFirstAvailable places the call at the first of the services that has a server available for it.
func (l *loads) placeAtFirstAvailable(view *fleet.View, services []string, r placeRequest) (fleet.Service, placement, error) {
	r.unequal = l.learnSpeeds
	for _, name := range services {
		service := view.Config.Services[name]
		p, err := l.place(view.Usable(name), service, r)
		if !errors.Is(err, errNoServerAvailable) {
			return service, p, err
		}
	}
	return fleet.Service{}, placement{}, errNoServerAvailable
}

// place chooses one of the servers for the call and counts the call there. It returns errNoServerAvailable if none can be
// chosen.
func (l *loads) place(servers []*fleet.BackendServer, service fleet.Service, r placeRequest) (placement, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]schedule.PlacementCandidate, 0, len(servers))
	eligible := make([]*fleet.BackendServer, 0, len(servers))
	for _, s := range servers {
		l.resetIfRestarted(s)
	}
	cached := l.cachedTokens(r.prompt)
	r.sharedTokens = l.sharedTokens(now, servers, &r)
	ejected := l.eject(servers, now, r.healthDomain())
	prepare := l.prepareSpeeds(now, servers, ejected, service, &r)
	for i, s := range servers {
		if !r.mayChoose(s) {
			continue
		}
		load, others := l.load(s.ID), l.otherLoads[s.ID]
		candidate := schedule.PlacementCandidate{
			Local: s.FailureDomain == r.failureDomain, Slots: s.Slots,
			Calls: load.calls + others.Calls, PendingTokens: load.pendingTokens + others.Pending,
			RequestBytes: load.requestBytes + others.Bytes,
			CachedTokens: cached[s.ID], SharedTokens: max(r.sharedTokens-cached[s.ID], 0), Slowness: load.slowness,
			Suspended: now.Before(load.suspendedUntil) || ejected[i] || l.ejected[s.ID],
			Connected: r.isConnected != nil && r.isConnected(s.Address),
		}
		if r.limitWait != nil {
			candidate.LimitWait = r.limitWait(s)
		}
		prepare(&candidate, i)
		candidates = append(candidates, candidate)
		eligible = append(eligible, s)
	}
	l.setDomainCosts(now, service.Name, &r, candidates, eligible)
	if r.requestBytes > 0 {
		candidates, eligible = spreadBytes(candidates, eligible, service.Engine != nil, r)
	}
	var i int
	var turn schedule.Turn
	if service.Engine != nil {
		turn = l.turn(now, &r)
		i = l.costs.BestEngineForTurn(candidates, turn, r.allCallsKnown, random{})
	} else {
		i = l.costs.BestService(candidates, random{})
	}
	if i < 0 {
		return placement{}, errNoServerAvailable
	}
	p := placement{server: eligible[i], cachedTokens: candidates[i].CachedTokens, calls: candidates[i].Calls, urgency: turn.Urgency}
	ahead := l.load(p.server.ID).pendingTokens
	p.ticket = l.addCallLocked(p.server.ID, r, p.cachedTokens)
	p.ticket.setSpeed(service, p.server, &r, p.calls, ahead)
	l.startDomainCall(p.ticket, service.Name, r.failureDomain, p.server.FailureDomain)
	return p, nil
}

// sharedTokens records the use of the prompt's prefixes, and returns the length of the longest one that more calls a second share
// than a server has slots. It returns 0 unless r.spreadShared. The caller holds mu.
func (l *loads) sharedTokens(now time.Time, servers []*fleet.BackendServer, r *placeRequest) int {
	if !r.spreadShared || len(servers) == 0 {
		return 0
	}
	shared := 0
	for _, prefix := range r.prompt {
		l.prefixUse.Record(now, prefix.Digest)
		if l.prefixUse.Rate(now, prefix.Digest) > float64(servers[0].Slots) {
			shared = prefix.Tokens
		}
	}
	return shared
}

// resetIfRestarted drops what is known of an earlier run of the server, except the counts of its calls, which go down as
// the calls end. The caller holds mu.
func (l *loads) resetIfRestarted(s *fleet.BackendServer) {
	load := l.load(s.ID)
	if load.born == s.Born {
		return
	}
	if load.born != 0 {
		l.prefixes.RemoveServer(s.ID)
		*load = serverLoad{
			calls: load.calls, pendingTokens: load.pendingTokens, ownCalls: load.ownCalls, ownPendingTokens: load.ownPendingTokens,
			requestBytes: load.requestBytes, ownRequestBytes: load.ownRequestBytes,
		}
	}
	load.born = s.Born
}

// addCall counts a call at a server that was chosen before, by the hub or for an earlier attempt. cached is the number of
// its prompt tokens that the server is expected to have cached.
func (l *loads) addCall(server string, r placeRequest, cached int) *ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addCallLocked(server, r, cached)
}

// addCallLocked is addCall for a caller that holds mu.
func (l *loads) addCallLocked(server string, r placeRequest, cached int) *ticket {
	for _, prefix := range r.prompt {
		if prefix.Tokens <= r.sharedTokens {
			l.prefixes.RecordShared(prefix.Digest, server, prefix.Tokens)
		} else {
			l.prefixes.Record(prefix.Digest, server, prefix.Tokens)
		}
	}
	pending := max(r.promptTokens-cached, 0)
	load := l.load(server)
	load.calls++
	load.pendingTokens += pending
	load.requestBytes += r.requestBytes
	if !r.notReported {
		load.ownCalls++
		load.ownPendingTokens += pending
		load.ownRequestBytes += r.requestBytes
	}
	return &ticket{
		loads: l, server: server, route: r.route, pendingTokens: pending, requestBytes: r.requestBytes, notReported: r.notReported, placedAt: time.Now(),
		ticketSpeed: ticketSpeed{domain: r.failureDomain},
	}
}

// random implements schedule.Random with the process's global generator.
type random struct{}

// IntN implements schedule.Random.
func (random) IntN(n int) int { return rand.IntN(n) }

// load returns the entry of a server, and creates it if there is none. The caller holds mu.
func (l *loads) load(id string) *serverLoad {
	s := l.byID[id]
	if s == nil {
		s = &serverLoad{}
		l.byID[id] = s
	}
	return s
}

// promptPrefixes returns all prefixes of the prompt's parts. Each is identified by the digest of its last part: an engine
// that has a part cached has used the parts before it at least as recently.
func promptPrefixes(c *calls.Call) []peers.PromptPrefix {
	prefixes := make([]peers.PromptPrefix, 0, len(c.Prompt))
	tokens := 0
	for _, part := range c.Prompt {
		tokens += part.Tokens
		prefixes = append(prefixes, peers.PromptPrefix{Digest: partDigest(c.Model, part.ID), Tokens: tokens})
	}
	return prefixes
}

// partDigest returns the digest of a prompt part. Models do not share cached parts.
func partDigest(model, id string) uint64 { return xxhash.Sum64String(model + "\x00" + id) }

// recordCache records the prompt parts that an engine has cached.
func (l *loads) recordCache(server string, parts []calls.CachedPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		l.prefixes.Record(partDigest(part.Model, part.ID), server, part.Tokens)
	}
}

// cachedTokens returns, by server id, the length of the prompt's prefix that the server is expected to have cached. The
// caller holds mu.
func (l *loads) cachedTokens(prompt []peers.PromptPrefix) map[string]int {
	out := make(map[string]int)
	for _, prefix := range prompt {
		for _, s := range l.prefixes.Lookup(prefix.Digest) {
			out[s.ServerID] = prefix.Tokens
		}
	}
	return out
}

// markStarted records that the server has processed the prompt, and reports whether it was not recorded before. The first
// time it releases the engine capacity that the prompt used.
func (t *ticket) markStarted() bool {
	t.loads.mu.Lock()
	first, release := !t.promptRead, t.release
	t.markStartedLocked()
	t.loads.mu.Unlock()
	if first && release != nil {
		release(schedule.EngineUsage{PendingTokens: t.pendingTokens})
	}
	return first
}

// markStartedLocked records that the server has processed the prompt, without releasing engine capacity. The caller holds
// loads.mu.
func (t *ticket) markStartedLocked() {
	if !t.promptRead {
		t.promptRead = true
		load := t.loads.load(t.server)
		load.pendingTokens -= t.pendingTokens
		if !t.notReported {
			load.ownPendingTokens -= t.pendingTokens
		}
	}
}

// age returns the time since the call was placed.
func (t *ticket) age() time.Duration { return time.Since(t.placedAt) }

// typicalTime returns the average time of a call of the route, or 0 while there are too few calls to tell.
func (l *loads) typicalTime(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	typical := l.typicalTimes[route]
	if typical == nil || typical.count < minRouteSamples {
		return 0
	}
	return time.Duration(typical.value * float64(time.Second))
}

// end removes the call from the server's load, updates the server's health by the outcome, and releases the capacity that
// the call still uses of its engine.
func (t *ticket) end(o outcome) {
	if release, usage := t.removeCall(o); release != nil {
		release(usage)
	}
}

// removeCall removes the call from the server's load and updates the server's health. It returns the engine capacity that
// the call still used and the function that releases it, or nil if the call was not admitted to an engine.
func (t *ticket) removeCall(o outcome) (release func(schedule.EngineUsage), usage schedule.EngineUsage) {
	l := t.loads
	elapsed := time.Since(t.placedAt).Seconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	usage = schedule.EngineUsage{Calls: 1}
	if !t.promptRead {
		usage.PendingTokens = t.pendingTokens
	}
	t.markStartedLocked()
	load := l.load(t.server)
	load.calls--
	load.requestBytes -= t.requestBytes
	if !t.notReported {
		load.ownCalls--
		load.ownRequestBytes -= t.requestBytes
	}
	if o != outcomeNeutral {
		t.recordOutcome(load, o == outcomeFailed)
		load.domains.Ended(time.Now(), t.domain, o == outcomeFailed)
	}
	l.endDomainCall(t, o)
	switch o {
	case outcomeServed:
		load.failures = 0
		l.updateSlowness(load, t.route, elapsed)
	case outcomeFailed:
		load.suspendedUntil = time.Now().Add(min(initialSuspension<<min(load.failures, 8), maxSuspension))
		load.failures++
	}
	return t.release, usage
}

// recordOutcome counts the call as served or failed in the server's health and, unless notReported, for the next report to
// the hub. The caller holds loads.mu.
func (t *ticket) recordOutcome(load *serverLoad, failed bool) {
	counts := t.loads.unreportedOutcomes[t.server]
	counts.Server = t.server
	if failed {
		counts.Failed++
		load.health.Add(time.Now(), 0, 1)
	} else {
		counts.Served++
		load.health.Add(time.Now(), 1, 0)
	}
	if !t.notReported {
		t.loads.unreportedOutcomes[t.server] = counts
	}
}

// updateSlowness updates the average time of the route, over about the last 200 calls. From the ratio of the call's time to
// that average it updates the slowness of the server. elapsed is in seconds. The caller holds mu.
func (l *loads) updateSlowness(load *serverLoad, route string, elapsed float64) {
	typical := l.typicalTimes[route]
	if typical == nil {
		typical = &average{}
		l.typicalTimes[route] = typical
	}
	typical.count++
	typical.value += (elapsed - typical.value) / float64(min(typical.count, 200))
	if typical.count < minRouteSamples || typical.value <= 0 {
		return
	}
	ratio := elapsed / typical.value
	if load.slowness == 0 {
		load.slowness = 1
	}
	load.slowness += (ratio - load.slowness) * slownessWeight
}

// sweep deletes the entries of servers that are no longer listed and have no calls.
func (l *loads) sweep(view *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.byID {
		if view.Server(id) == nil && load.calls == 0 {
			delete(l.byID, id)
		}
	}
	l.speeds.sweep(view)
}
