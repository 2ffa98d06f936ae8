package schedule

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/load"
)

// Parameters of a discrete-event model of engines. Each has slots, one prefill unit, a decode rate per sequence and a prefix
// cache.
const (
	modelSlots       = 8
	modelPrefill     = 8000.0  // Tokens per second.
	modelDecode      = 40.0    // Tokens per second of one sequence.
	modelCache       = 160_000 // Tokens.
	modelImport      = 40_000  // Tokens per second when a prefix is imported.
	modelReportEvery = 0.2     // Seconds.
	modelEntries     = 3
)

// modelPolicy holds the policies that the model runs under.
type modelPolicy struct {
	route     string
	settings  RouteSettings
	queue     QueueSettings
	holds     *HoldSettings // If nil, engines keep prefixes until they need the memory.
	admission *Admission    // If nil, nothing is refused; otherwise only new programs are.
	export    bool          // Prefixes of paused programs are exported when they are evicted.
}

// modelProgram is a program or sub-agent with its progress.
type modelProgram struct {
	load.Program
	key                   string
	entry, priority       int
	root, parent          *modelProgram
	next, waiting, issued int // Index of the next turn, events to wait for before it, and calls sent.
	context               int // Tokens of the shared prefix, prompts and outputs so far.
	attained              uint64
	arrival               float64      // Seconds.
	lastEngine            *modelEngine // Engine of the last call.
}

// modelPrefix is a cached prefix. It covers a number of prompt tokens. Of these, its own tokens take memory and the others
// belong to its parent. Calls that use it and prefixes that extend it pin it, so that it cannot be evicted.
type modelPrefix struct {
	key                  string
	parent               *modelPrefix
	tokens, covers, pins int
	idleSince            float64 // Time in seconds of the last memory accounting.
	paused               bool    // Its program is waiting for a tool.
}

// modelEngine is one engine.
type modelEngine struct {
	queue         *Queue
	calls         map[string]*modelProgram
	cache         map[string]*modelPrefix
	exported      map[string]int // Tokens of exported prefixes.
	used, running int
	prefillFreeAt float64 // Time at which the prefill unit is free.
	callTime      time.Duration
}

// modelEvent runs at a time in seconds.
type modelEvent struct {
	at  float64
	run func()
}

// model simulates programs on engines under a policy. Its times are in seconds.
type model struct {
	modelPolicy
	now                          float64
	events                       []modelEvent // Sorted by time, the earliest last.
	programs, underway           int
	router                       *Router
	random                       *rand.Rand
	engines                      []*modelEngine
	entries                      []*Snapshot
	prefixIndexes                []*PrefixIndex // One per entry.
	pauses                       *PauseStats
	costs                        *ClassCosts
	latency                      map[string][]float64
	lowerBounds                  []float64 // Minimal latencies of the programs.
	refused                      map[string]int
	held, wasted, computed, sent float64 // Token-seconds of memory; prompt tokens computed and sent.
}

func newModel(p modelPolicy, engines int) *model {
	m := &model{modelPolicy: p, random: rand.New(rand.NewPCG(3, 7)), pauses: NewPauseStats(32), costs: NewClassCosts(32), latency: map[string][]float64{}, refused: map[string]int{}}
	m.router, _ = NewRouter(p.route, p.settings)
	for entry := range modelEntries {
		servers := make([]BackendServer, engines)
		for i := range servers {
			servers[i] = BackendServer{ID: strconv.Itoa(i), Service: "m", FailureDomain: strconv.Itoa(i % modelEntries)}
		}
		m.entries = append(m.entries, NewSnapshot(servers))
		m.prefixIndexes = append(m.prefixIndexes, NewPrefixIndex(1024))
		m.after(modelReportEvery*float64(entry)/modelEntries, func() { m.report(entry) })
	}
	for range engines {
		q, _ := NewQueue(p.queue)
		m.engines = append(m.engines, &modelEngine{queue: q, calls: map[string]*modelProgram{}, cache: map[string]*modelPrefix{}, exported: map[string]int{}, callTime: 5 * time.Second})
	}
	return m
}

func (m *model) clock() time.Time { return testNow.Add(seconds(m.now)) }

func (m *model) after(delay float64, run func()) {
	e := modelEvent{m.now + delay, run}
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b modelEvent) int {
		if a.at > b.at {
			return -1
		}
		return 1
	})
	m.events = slices.Insert(m.events, i, e)
}

func (m *model) add(shape load.Program, arrival float64) {
	p := m.newProgram(shape)
	p.root, p.context, p.arrival = p, p.SharedPrefixTokens, arrival
	p.entry = m.programs % modelEntries
	if p.Class == load.ClassDrafting {
		p.priority = 1
	}
	m.underway++
	m.after(arrival, func() { m.call(p) })
}

func (m *model) newProgram(shape load.Program) *modelProgram {
	m.programs++
	return &modelProgram{Program: shape, key: strconv.Itoa(m.programs)}
}

func (m *model) run() {
	for m.underway > 0 {
		last := len(m.events) - 1
		e := m.events[last]
		m.events = m.events[:last]
		m.now = e.at
		e.run()
	}
}

func (m *model) report(entry int) {
	for i, e := range m.engines {
		queued := e.queue.Tokens() + int(max(0, e.prefillFreeAt-m.now)*modelPrefill)
		m.entries[entry].Server(strconv.Itoa(i)).SetLoad(api.Load{Healthy: true, Running: e.running, Queued: e.queue.Len(), Slots: modelSlots, QueuedTokens: queued, PrefillRate: modelPrefill, DecodeRate: modelDecode}, m.clock())
	}
	m.after(modelReportEvery, func() { m.report(entry) })
}

// call routes the program's next call and queues it.
func (m *model) call(p *modelProgram) {
	p.issued++
	prompt := p.context + p.Turns[p.next].PromptTokens
	req := Request{Service: "m", PromptTokens: prompt, ExpectedOutput: 200, FailureDomain: strconv.Itoa(p.entry), Now: m.clock(), Cached: m.prefixIndexes[p.entry].Lookup(xxhash.Sum64String(p.SharedPrefix))}
	if p.lastEngine != nil {
		req.Cached = []CachedPrefix{{strconv.Itoa(slices.Index(m.engines, p.lastEngine)), p.context}}
	}
	choice, err := m.router.Route(m.entries[p.entry], &req, m.random)
	if err != nil {
		panic(err)
	}
	missing := prompt - choice.CachedTokens
	choice.Server.RecordSent(missing)
	at, _ := strconv.Atoi(choice.Server.ID)
	e := m.engines[at]
	if m.holds != nil && p.lastEngine != nil && p.lastEngine != e {
		m.release(p.lastEngine, p.key) // The prefix on the previous engine is no longer needed.
	}
	wait := e.queue.EstimateWait(p.priority, Capacity{Slots: modelSlots, Running: e.running, PrefillRate: modelPrefill, CallTime: e.callTime})
	if m.admission != nil && p.root.attained == 0 && !m.admission.AdmitCost(p.priority, 0, wait, m.costs.Factor(p.Class)) {
		m.refused[p.Class]++
		m.underway--
		return
	}
	e.calls[p.key] = p
	e.queue.Push(Item{CallID: p.key, Root: p.root.key, Priority: p.priority, Attained: p.root.attained, PromptTokens: missing, Enqueued: m.clock()})
	m.start(e)
}

func (m *model) start(e *modelEngine) {
	for e.running < modelSlots {
		item, ok := e.queue.Pop()
		if !ok {
			return
		}
		p := e.calls[item.CallID]
		turn := p.Turns[p.next]
		prompt := p.context + turn.PromptTokens
		prefix, covered, imported := m.pin(e, p, prompt+turn.OutputTokens)
		began := m.now
		e.running++
		e.prefillFreeAt = max(e.prefillFreeAt, m.now) + float64(prompt-covered)/modelPrefill + float64(imported)/modelImport
		m.computed += float64(prompt - covered)
		m.sent += float64(prompt)
		m.after(e.prefillFreeAt-m.now+float64(turn.OutputTokens)/modelDecode, func() { m.finish(e, p, prefix, began) })
	}
}

// pin allocates memory for a call. It returns the call's prefix, the tokens that need no prefill, and how many of those are
// imported.
func (m *model) pin(e *modelEngine, p *modelProgram, total int) (prefix *modelPrefix, covered, imported int) {
	prefix = m.prefix(e, p.key)
	if prefix.parent == nil && p.SharedPrefix != "" {
		prefix.parent = m.prefix(e, p.SharedPrefix)
		prefix.parent.pins++
		covered = min(prefix.parent.covers, p.SharedPrefixTokens)
		if grown := p.SharedPrefixTokens - prefix.parent.covers; grown > 0 {
			e.used += grown
			prefix.parent.tokens += grown
			prefix.parent.covers += grown
		}
		m.prefixIndexes[p.entry].Record(xxhash.Sum64String(p.SharedPrefix), strconv.Itoa(slices.Index(m.engines, e)), p.SharedPrefixTokens)
	}
	covered = max(covered, prefix.covers)
	imported = max(0, e.exported[p.key]-covered)
	delete(e.exported, p.key)
	prefix.pins++
	owned := total
	if prefix.parent != nil {
		owned -= prefix.parent.covers
	}
	e.used += owned - prefix.tokens
	prefix.tokens, prefix.covers = owned, total
	m.evict(e)
	return prefix, covered + imported, imported
}

// prefix returns the prefix with the key and adds an empty one if the engine does not have it.
func (m *model) prefix(e *modelEngine, key string) *modelPrefix {
	if e.cache[key] == nil {
		e.cache[key] = &modelPrefix{key: key}
	}
	m.accountMemory(e.cache[key], false)
	return e.cache[key]
}

// accountMemory accounts for the memory that the prefix has held since the last accounting.
func (m *model) accountMemory(p *modelPrefix, wasted bool) {
	held := float64(p.tokens) * (m.now - p.idleSince)
	p.idleSince = m.now
	m.held += held
	if wasted {
		m.wasted += held
	}
}

func (m *model) release(e *modelEngine, key string) {
	p := e.cache[key]
	if p == nil || p.pins > 0 {
		return
	}
	m.accountMemory(p, true)
	e.used -= p.tokens
	delete(e.cache, key)
	if p.parent != nil {
		p.parent.pins--
	}
}

// evict frees memory until the rest fits into the cache.
func (m *model) evict(e *modelEngine) {
	for e.used > modelCache {
		var victim *modelPrefix
		for _, p := range e.cache {
			if p.pins == 0 && (victim == nil || p.idleSince < victim.idleSince || p.idleSince == victim.idleSince && p.key < victim.key) {
				victim = p
			}
		}
		if victim == nil {
			return
		}
		if m.export && victim.paused {
			e.exported[victim.key] = victim.covers
		}
		m.release(e, victim.key)
	}
}

func (m *model) finish(e *modelEngine, p *modelProgram, prefix *modelPrefix, began float64) {
	m.accountMemory(prefix, false)
	prefix.pins--
	e.running--
	e.callTime += seconds((m.now - began - e.callTime.Seconds()) / 16)
	turn := p.Turns[p.next]
	p.context, p.lastEngine = prefix.covers, e
	p.root.attained += uint64(p.context)
	p.next++
	m.start(e)
	if p.next == len(p.Turns) {
		m.end(p)
		return
	}
	if m.holds != nil {
		m.pause(e, p, prefix, turn)
	}
	p.waiting = len(turn.SubAgents) + 1
	for _, shape := range turn.SubAgents {
		b := m.newProgram(shape)
		b.entry, b.root, b.parent, b.priority = p.entry, p.root, p, p.priority
		b.SharedPrefix, b.SharedPrefixTokens, b.context = p.key, p.context, p.context
		m.prefixIndexes[p.entry].Record(xxhash.Sum64String(p.key), strconv.Itoa(slices.Index(m.engines, e)), p.context)
		m.call(b)
	}
	m.after(turn.Pause.Seconds(), func() { m.resume(p) })
}

func (m *model) resume(p *modelProgram) {
	if p.waiting--; p.waiting == 0 {
		m.call(p)
	}
}

func (m *model) end(p *modelProgram) {
	for _, e := range m.engines {
		if m.holds != nil {
			delete(e.exported, p.key)
			m.release(e, p.key)
		}
	}
	if p.parent != nil {
		m.resume(p.parent)
		return
	}
	m.underway--
	m.costs.Observe(p.Class, p.priority, p.attained)
	m.latency[p.Class] = append(m.latency[p.Class], m.now-p.arrival)
}

// pause applies the hold decision to a program whose tool starts to run.
func (m *model) pause(e *modelEngine, p *modelProgram, prefix *modelPrefix, turn load.Turn) {
	m.pauses.Observe(turn.Tool, turn.Pause)
	in := HoldInput{Tokens: p.context, PrefillRate: modelPrefill, CacheUsed: e.used, CacheCapacity: modelCache, Pause: m.pauses.Forecast(turn.Tool)}
	if m.export {
		in.ExportTime = seconds(2 * float64(p.context) / modelImport)
	}
	prefix.paused = true
	issued := p.issued
	m.after(m.holds.Decide(in).Hold.Seconds(), func() {
		if p.issued == issued && m.export {
			e.exported[p.key] = p.context
		}
		if p.issued == issued {
			m.release(e, p.key)
		}
	})
}
