package gateway

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	slownessWeight   = 0.15                   // Weight of one call in a server's average.
	suspensionStep   = 400 * time.Millisecond // Suspension after the first failure; doubles with each further one.
	maxSuspension    = 4 * time.Second
	maxPrefixes      = 20000 // Prompt parts whose servers are remembered.
	minRoutineSample = 8     // Calls of a route before its usual time is believed.
)

// loads is what this process knows of the backend servers from its own calls. It is safe for concurrent use.
type loads struct {
	mu       sync.Mutex
	byID     map[string]*serverLoad          // Guarded by mu.
	usual    map[string]*average             // Guarded by mu. Time of a call by route.
	prefixes *schedule.PrefixIndex           // Guarded by mu.
	others   map[string]peers.ServerLoad     // Guarded by mu. What other gateways have under way, by server.
	outcomes map[string]peers.ServerOutcomes // Guarded by mu. What the hub has still to be told.
	ejected  map[string]bool                 // Guarded by mu. Servers that the hub would give no calls.
	costs    schedule.PlacementCosts
}

// serverLoad is one backend server.
type serverLoad struct {
	born    int64 // Start of the run that the rest is known of.
	calls   int
	pending int // Prompt tokens that it has still to read.
	// Of those, what this process has placed by itself for its callers.
	ownCalls, ownPending int
	slowness             float64 // Its time for a call as a multiple of the usual; 0 before the first call.
	failures             int     // In a row.
	health               schedule.Health
	suspended            time.Time
}

type average struct {
	value float64
	count int
}

func newLoads() *loads {
	return &loads{
		byID:     make(map[string]*serverLoad),
		usual:    make(map[string]*average),
		outcomes: make(map[string]peers.ServerOutcomes),
		prefixes: schedule.NewPrefixIndex(maxPrefixes),
		costs:    schedule.DefaultPlacementCosts(),
	}
}

// ticket counts one call at a server. end must be called once.
type ticket struct {
	loads   *loads
	server  string
	route   string
	pending int
	shared  bool
	began   time.Time
	read    bool
	// release gives up what the call uses of its engine; nil for calls that were not admitted to one.
	release func(schedule.EngineUsage)
}

// admit notes how what the call uses of its engine is given up.
func (t *ticket) admit(release func(schedule.EngineUsage)) {
	t.loads.mu.Lock()
	defer t.loads.mu.Unlock()
	t.release = release
}

// outcome says how a call at a server ended, for the judgement of the server.
type outcome int

const (
	outcomeNeutral outcome = iota // Says nothing of the server.
	outcomeServed
	outcomeFailed
)

// placeRequest describes a call to place.
type placeRequest struct {
	route        string
	domain       string // Failure domain of the gateway that serves the caller.
	prompt       []peers.PromptPrefix
	promptTokens int
	tried        map[string]bool
	current      bool // This process knows of all calls under way.
	shared       bool // Placed for another gateway, or by the hub: not part of what this process reports.
}

// placeAtFirst places the call at the first of the services that has a server left for it.
func (l *loads) placeAtFirst(view *fleet.View, services []string, r placeRequest) (fleet.Service, placement, error) {
	for _, name := range services {
		service := view.Config.Services[name]
		p, err := l.place(view.Usable(name), service, r)
		if !errors.Is(err, errNoServer) {
			return service, p, err
		}
	}
	return fleet.Service{}, placement{}, errNoServer
}

// place chooses one of the servers for the call and counts the call there. It returns errNoServer when none is left.
func (l *loads) place(servers []*fleet.BackendServer, service fleet.Service, r placeRequest) (placement, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	places := make([]schedule.PlacementCandidate, 0, len(servers))
	listed := make([]*fleet.BackendServer, 0, len(servers))
	for _, s := range servers {
		l.recognise(s)
	}
	cached := l.cached(r.prompt)
	ejected := l.eject(servers, now)
	for i, s := range servers {
		if r.tried[s.ID] {
			continue
		}
		load, others := l.load(s.ID), l.others[s.ID]
		places = append(places, schedule.PlacementCandidate{
			Local: s.FailureDomain == r.domain, Slots: s.Slots,
			Calls: load.calls + others.Calls, PendingTokens: load.pending + others.Pending,
			CachedTokens: cached[s.ID], Slowness: load.slowness,
			Suspended: now.Before(load.suspended) || ejected[i] || l.ejected[s.ID],
		})
		listed = append(listed, s)
	}
	var i int
	if service.Engine != nil {
		i = l.costs.BestEngine(places, r.promptTokens, r.current, random{})
	} else {
		i = l.costs.BestService(places, random{})
	}
	if i < 0 {
		return placement{}, errNoServer
	}
	p := placement{server: listed[i], cached: places[i].CachedTokens, calls: places[i].Calls}
	p.ticket = l.countLocked(p.server.ID, r, p.cached)
	return p, nil
}

// recognise drops what is known of a former run of the server, but for its calls, which end by themselves. The caller holds mu.
func (l *loads) recognise(s *fleet.BackendServer) {
	load := l.load(s.ID)
	if load.born == s.Born {
		return
	}
	if load.born != 0 {
		l.prefixes.RemoveServer(s.ID)
		*load = serverLoad{
			calls: load.calls, pending: load.pending, ownCalls: load.ownCalls, ownPending: load.ownPending,
		}
	}
	load.born = s.Born
}

// count counts a call at a server that another process chose.
func (l *loads) count(server string, r placeRequest, cached int) *ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countLocked(server, r, cached)
}

func (l *loads) countLocked(server string, r placeRequest, cached int) *ticket {
	for _, d := range r.prompt {
		l.prefixes.Record(d.Digest, server, d.Tokens)
	}
	pending := max(r.promptTokens-cached, 0)
	load := l.load(server)
	load.calls++
	load.pending += pending
	if !r.shared {
		load.ownCalls++
		load.ownPending += pending
	}
	return &ticket{loads: l, server: server, route: r.route, pending: pending, shared: r.shared, began: time.Now()}
}

// random is the process's source of randomness.
type random struct{}

// IntN implements schedule.Random.
func (random) IntN(n int) int { return rand.IntN(n) }

// load returns the state of a server. The caller holds mu.
func (l *loads) load(id string) *serverLoad {
	s := l.byID[id]
	if s == nil {
		s = &serverLoad{}
		l.byID[id] = s
	}
	return s
}

// promptPrefixes returns the prompt's leading parts, each number of them by its last one: an engine that holds a part has
// used the parts before it at least as lately.
func promptPrefixes(c *calls.Call) []peers.PromptPrefix {
	prefixes := make([]peers.PromptPrefix, 0, len(c.Prompt))
	tokens := 0
	for _, part := range c.Prompt {
		tokens += part.Tokens
		prefixes = append(prefixes, peers.PromptPrefix{Digest: partDigest(c.Model, part.ID), Tokens: tokens})
	}
	return prefixes
}

func partDigest(model, id string) uint64 { return xxhash.Sum64String(model + "\x00" + id) }

// noteCache notes the parts that an engine holds.
func (l *loads) noteCache(server string, parts []calls.CachedPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		l.prefixes.Record(partDigest(part.Model, part.ID), server, part.Tokens)
	}
}

// cached returns the leading prompt tokens that servers are believed to hold. The caller holds mu.
func (l *loads) cached(prompt []peers.PromptPrefix) map[string]int {
	out := make(map[string]int)
	for _, d := range prompt {
		for _, s := range l.prefixes.Lookup(d.Digest) {
			out[s.ServerID] = d.Tokens
		}
	}
	return out
}

// started notes that the server has read the prompt, and reports whether that is news.
func (t *ticket) started() bool {
	t.loads.mu.Lock()
	news, release := !t.read, t.release
	t.startedLocked()
	t.loads.mu.Unlock()
	if news && release != nil {
		release(schedule.EngineUsage{PendingTokens: t.pending})
	}
	return news
}

func (t *ticket) startedLocked() {
	if !t.read {
		t.read = true
		load := t.loads.load(t.server)
		load.pending -= t.pending
		if !t.shared {
			load.ownPending -= t.pending
		}
	}
}

// age returns how long ago the call was placed.
func (t *ticket) age() time.Duration { return time.Since(t.began) }

// usualTime returns the usual time of a call of the route, or 0 when it is not known yet.
func (l *loads) usualTime(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual := l.usual[route]
	if usual == nil || usual.count < minRoutineSample {
		return 0
	}
	return time.Duration(usual.value * float64(time.Second))
}

// end takes the call off the server and judges the server by its outcome.
func (t *ticket) end(o outcome) {
	if release, use := t.takeOff(o); release != nil {
		release(use)
	}
}

// takeOff takes the call off the server, and returns what it still used of its engine and how to give that up.
func (t *ticket) takeOff(o outcome) (release func(schedule.EngineUsage), use schedule.EngineUsage) {
	l := t.loads
	elapsed := time.Since(t.began).Seconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	use = schedule.EngineUsage{Calls: 1}
	if !t.read {
		use.PendingTokens = t.pending
	}
	t.startedLocked()
	load := l.load(t.server)
	load.calls--
	if !t.shared {
		load.ownCalls--
	}
	if o != outcomeNeutral {
		t.note(load, o == outcomeFailed)
	}
	switch o {
	case outcomeServed:
		load.failures = 0
		l.judge(load, t.route, elapsed)
	case outcomeFailed:
		load.suspended = time.Now().Add(min(suspensionStep<<min(load.failures, 8), maxSuspension))
		load.failures++
	}
	return t.release, use
}

// note counts how the call ended. The caller holds mu.
func (t *ticket) note(load *serverLoad, failed bool) {
	have := t.loads.outcomes[t.server]
	have.Server = t.server
	if failed {
		have.Failed++
		load.health.Add(time.Now(), 0, 1)
	} else {
		have.Served++
		load.health.Add(time.Now(), 1, 0)
	}
	if !t.shared {
		t.loads.outcomes[t.server] = have
	}
}

// judge compares the time of a call with the usual time of its route. The caller holds mu.
func (l *loads) judge(load *serverLoad, route string, elapsed float64) {
	usual := l.usual[route]
	if usual == nil {
		usual = &average{}
		l.usual[route] = usual
	}
	usual.count++
	usual.value += (elapsed - usual.value) / float64(min(usual.count, 200))
	if usual.count < minRoutineSample || usual.value <= 0 {
		return
	}
	ratio := elapsed / usual.value
	if load.slowness == 0 {
		load.slowness = 1
	}
	load.slowness += (ratio - load.slowness) * slownessWeight
}

// sweep forgets servers that are no longer listed.
func (l *loads) sweep(view *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.byID {
		if view.Server(id) == nil && load.calls == 0 {
			delete(l.byID, id)
		}
	}
}
