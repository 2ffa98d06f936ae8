package schedule_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// floodLoad is a load on the engines of one hub, in which organisations of equal weight send a multiple of their usual demand and
// two kinds of programs come in alternating bursts. At the usual demand of all, 75 % of the engines' slots are busy.
type floodLoad struct {
	slots      int
	demand     []float64 // By organisation.
	lateAt     time.Duration
	newHubAt   time.Duration // When a new hub with empty queues and shares replaces the old one; 0: never.
	priorities []int         // Of the first organisations; 0 for the others.
	arrival    bool          // The queues know of no organisations, and have the order of arrival.
}

// floodCall is a turn of a program.
type floodCall struct {
	organisation, kind, turnsLeft int
	first, counted                bool
	arrived, programEnd           time.Duration
	firstEvent, end               time.Duration
}

// floodEngine prefills prompts one after the other, and queues the calls beyond its slots.
type floodEngine struct {
	queue                   *schedule.FairQueue[*floodCall]
	interval, firstInterval schedule.AdmissionInterval
	usage                   schedule.EngineUsage
	placed                  int
	queued, running         []*floodCall
	prefillEnd              time.Duration
}

// floodResult counts an organisation's programs, those that ended in time, and those whose first event came within the objective.
type floodResult struct{ programs, served, prompt int }

func (r floodResult) servedShare() float64 { return float64(r.served) / float64(r.programs) }
func (r floodResult) promptShare() float64 { return float64(r.prompt) / float64(r.programs) }

var (
	floodPrompt    = [2]int{100, 500} // Uncached tokens of a turn, by kind.
	floodOutput    = [2]int{50, 200}  // Output tokens of a turn.
	floodObjective = [2]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
	floodEpoch     = time.Unix(1000, 0)
)

const (
	floodEngines, floodTurns = 4, 3
	floodDuration            = 12 * time.Second
	floodPatience            = time.Second     // Of a turn.
	floodDeadline            = 4 * time.Second // Of a program.
	floodTokenTime           = 4 * time.Millisecond
	floodPrefillRate         = 40 // Tokens per millisecond.
)

// startHub gives the engines empty queues with shares that start at zero.
func (l floodLoad) startHub(engines []*floodEngine) {
	shares := &schedule.FairShares{}
	if !l.arrival {
		rates := make(map[string]float64)
		for i := range l.demand {
			rates[strconv.Itoa(i)] = 0
		}
		shares.Configure(rates)
	}
	for _, e := range engines {
		e.queue = schedule.NewFairQueue[*floodCall](shares)
		e.interval, e.firstInterval = schedule.AdmissionInterval{}, schedule.AdmissionInterval{}
	}
}

// place queues the call at the engine with the fewest calls. Refused calls are lost.
func (l floodLoad) place(engines []*floodEngine, call *floodCall, now time.Duration) {
	e := slices.MinFunc(engines, func(a, b *floodEngine) int { return a.placed - b.placed })
	p := schedule.Precedence{Organisation: strconv.Itoa(call.organisation), Since: floodEpoch.Add(call.arrived)}
	if call.first {
		p.Standing = schedule.StandingNew
	}
	if call.organisation < len(l.priorities) {
		p.OrganisationPriority = l.priorities[call.organisation]
	}
	cost := schedule.CallCost(floodPrompt[call.kind], floodOutput[call.kind])
	w := e.queue.Push(p, cost, floodEpoch.Add(call.arrived+floodPatience), call)
	refused := e.queue.RefuseLate(floodEpoch.Add(now), w, func(ahead, firstAhead int) (wait time.Duration) {
		if ahead > 0 {
			wait = e.interval.Wait(ahead)
		}
		if firstAhead > 0 {
			wait = max(wait, e.firstInterval.Wait(firstAhead))
		}
		return wait
	})
	e.placed += 1 - len(refused)
}

// admit sends calls to the engine while its limits allow it, and starts those for which it has a slot.
func (e *floodEngine) admit(now time.Duration, slots int) {
	at, limits := floodEpoch.Add(now), schedule.DefaultEngineLimits()
	for w := e.queue.Next(limits, e.usage, slots); w != nil; w = e.queue.Next(limits, e.usage, slots) {
		if now > w.Value.arrived+floodPatience {
			e.queue.Remove(at, w)
			e.placed--
			continue
		}
		e.queue.Admit(at, w)
		e.interval.Admitted(at, e.queue.Len() > 0)
		if w.Value.first {
			e.firstInterval.Admitted(at, e.queue.FirstCalls() > 0)
		}
		e.usage = e.usage.Add(schedule.EngineUsage{Calls: 1, PendingTokens: floodPrompt[w.Value.kind]})
		e.queued = append(e.queued, w.Value)
	}
	for ; len(e.queued) > 0 && len(e.running) < slots; e.queued = e.queued[1:] {
		call := e.queued[0]
		e.prefillEnd = max(e.prefillEnd, now) + time.Duration(floodPrompt[call.kind])*time.Millisecond/floodPrefillRate
		call.firstEvent = e.prefillEnd.Truncate(time.Millisecond) + time.Millisecond
		call.end = call.firstEvent + time.Duration(floodOutput[call.kind])*floodTokenTime
		e.running = append(e.running, call)
	}
}

// run plays the load. It returns the results by organisation, of the programs that can end before the load does, and their sum.
func (l floodLoad) run() (results []floodResult, total floodResult) {
	random := rand.New(rand.NewPCG(3, 4))
	engines := make([]*floodEngine, floodEngines)
	for i := range engines {
		engines[i] = &floodEngine{}
	}
	l.startHub(engines)
	results = make([]floodResult, len(l.demand))
	programTime := floodTurns * float64(floodOutput[0]+floodOutput[1]) / 2 * floodTokenTime.Seconds()
	usual := 0.75 * float64(floodEngines*l.slots) / programTime / float64(len(l.demand)) // Programs a second.
	next := make([]time.Duration, len(l.demand))
	next[len(next)-1] = l.lateAt
	var pausing []*floodCall // Turns that arrive later.
	for now := time.Duration(0); now < floodDuration; now += time.Millisecond {
		if l.newHubAt > 0 && now == l.newHubAt {
			for _, e := range engines {
				for w := e.queue.First(); w != nil; w = e.queue.First() {
					e.queue.Remove(floodEpoch.Add(now), w)
					e.placed--
					pausing = append(pausing, w.Value)
				}
			}
			l.startHub(engines)
		}
		for i, demand := range l.demand {
			for ; next[i] <= now; next[i] += time.Duration(random.ExpFloat64() / (usual * demand) * float64(time.Second)) {
				kind := 0
				if burst := now / (500 * time.Millisecond) % 2; random.Float64() < 0.25+0.5*float64(burst) {
					kind = 1
				}
				counted := now+floodDeadline < floodDuration
				if counted {
					results[i].programs++
				}
				pausing = append(pausing, &floodCall{
					organisation: i, kind: kind, turnsLeft: floodTurns, first: true, counted: counted, arrived: now, programEnd: now + floodDeadline,
				})
			}
		}
		pausing = slices.DeleteFunc(pausing, func(call *floodCall) bool {
			if call.arrived <= now {
				l.place(engines, call, now)
			}
			return call.arrived <= now
		})
		for _, e := range engines {
			e.running = slices.DeleteFunc(e.running, func(call *floodCall) bool {
				r := &results[call.organisation]
				if call.firstEvent == now {
					e.usage.PendingTokens -= floodPrompt[call.kind]
					if call.first && call.counted && now-call.arrived <= floodObjective[call.kind] {
						r.prompt++
					}
				}
				if call.end > now {
					return false
				}
				e.usage.Calls--
				e.placed--
				call.turnsLeft--
				if call.turnsLeft > 0 {
					call.first, call.arrived = false, now+50*time.Millisecond
					pausing = append(pausing, call)
				} else if call.counted && now <= call.programEnd {
					r.served++
				}
				return true
			})
			e.admit(now, l.slots)
		}
	}
	for _, r := range results {
		total = floodResult{total.programs + r.programs, total.served + r.served, total.prompt + r.prompt}
	}
	return results, total
}

// In the order of arrival, a flood takes the capacity of all organisations. Those that stay within their share must be served as
// without the flood, and none may be served less than a quarter as often as all.
func TestOrganisationsGetTheirShareWhileOthersFlood(t *testing.T) {
	for name, l := range map[string]floodLoad{
		"one floods":                {demand: []float64{7, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
		"three flood":               {demand: []float64{3, 5, 7, 1, 1, 1, 1, 1, 1, 1}},
		"small one comes late":      {demand: []float64{7, 7, 5, 1, 1, 1, 1, 1, 1, 0.5}, lateAt: 4 * time.Second},
		"all equal":                 {demand: []float64{2, 2, 2, 2, 2, 2, 2, 2, 2, 2}},
		"new hub":                   {demand: []float64{3, 5, 7, 1, 1, 1, 1, 1, 1, 1}, newHubAt: 4 * time.Second},
		"flood has lowest priority": {demand: []float64{7, 1, 1, 1, 1, 1, 1, 1, 1, 1}, priorities: []int{2, 1}},
		"flood has best priority":   {demand: []float64{7, 1, 1, 1, 1, 1, 1, 1, 1, 1}, priorities: []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
	} {
		for _, slots := range []int{24, 64} {
			t.Run(name+", slots "+strconv.Itoa(slots), func(t *testing.T) {
				is := is.New(t)
				l := l
				l.slots = slots
				results, total := l.run()
				l.arrival = true
				byArrival, totalByArrival := l.run()
				prompt := 0.9
				if l.newHubAt > 0 {
					prompt = 0.75 // Shares start at zero, so calls that arrived before are admitted in the order of arrival.
				}
				worst := func(a, b floodResult) int { return int(1e6 * (a.servedShare() - b.servedShare())) }
				t.Logf("served %.2f, worst organisation %.2f, first events in time %.2f; by arrival %.2f, %.2f, %.2f",
					total.servedShare(), slices.MinFunc(results, worst).servedShare(), total.promptShare(),
					totalByArrival.servedShare(), slices.MinFunc(byArrival, worst).servedShare(), totalByArrival.promptShare())
				for i, r := range results {
					t.Logf("organisation %d: demand %.1f, served %.2f, first events in time %.2f; by arrival %.2f, %.2f", i, l.demand[i],
						r.servedShare(), r.promptShare(), byArrival[i].servedShare(), byArrival[i].promptShare())
					is.True(r.servedShare() >= total.servedShare()/4)
					if l.demand[i] <= 1 {
						is.True(r.servedShare() >= 0.95)   // within its share: served
						is.True(r.promptShare() >= prompt) // within its share: first events in time
					}
				}
			})
		}
	}
}

// fairQueueOf returns a queue for the organisations "a" and "b" of equal weight.
func fairQueueOf() *schedule.FairQueue[string] {
	shares := &schedule.FairShares{}
	shares.Configure(map[string]float64{"a": 0, "b": 0})
	return schedule.NewFairQueue[string](shares)
}

// newProgram returns the precedence of the n-th call to arrive, which is the first of a program.
func newProgram(organisation string, n int) schedule.Precedence {
	return schedule.Precedence{Standing: schedule.StandingNew, Organisation: organisation, Since: floodEpoch.Add(time.Duration(n) * time.Millisecond)}
}

// admitAll admits all calls and returns them in order.
func admitAll(q *schedule.FairQueue[string], at time.Time) (order []string) {
	for w := q.First(); w != nil; w = q.First() {
		q.Admit(at, w)
		order = append(order, w.Value)
	}
	return order
}

// A deployment without organisations must be served in the same order as before there were any.
func TestFairQueueWithoutOrganisationsHasTheOrderOfWaitQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fair := schedule.NewFairQueue[int](&schedule.FairShares{})
		var plain schedule.WaitQueue[int]
		for i := range rapid.IntRange(0, 30).Draw(t, "calls") {
			p := schedule.Precedence{
				Standing: schedule.Standing(rapid.IntRange(0, 2).Draw(t, "standing")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Since: floodEpoch.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "since"))*time.Millisecond + time.Duration(i)),
			}
			if fair.Ahead(p) != plain.Ahead(p) {
				t.Fatal("another number of calls ahead")
			}
			fair.Push(p, 100, time.Time{}, i)
			plain.Push(p, i)
		}
		for w := plain.First(); w != nil; w = plain.First() {
			next := fair.Next(schedule.DefaultEngineLimits(), schedule.EngineUsage{Calls: 30}, 24)
			if next.Value != w.Value {
				t.Fatalf("call %d in place of %d", next.Value, w.Value)
			}
			plain.Remove(w)
			fair.Admit(floodEpoch, next)
		}
	})
}

// An organisation must not get ahead by many calls at once, by cheap or long ones, by calls that left, or by having been idle.
func TestVirtualTimeFollowsAdmittedCost(t *testing.T) {
	is := is.New(t)
	q := fairQueueOf()
	for i := range 4 {
		q.Push(newProgram("a", i), 100, time.Time{}, "a")
	}
	gone := q.Push(newProgram("b", 4), 1e6, time.Time{}, "gone")
	q.Push(newProgram("b", 5), 200, time.Time{}, "b")
	q.Push(newProgram("b", 6), 200, time.Time{}, "b")
	is.True(q.Remove(floodEpoch, gone)) // not charged
	is.True(!q.Remove(floodEpoch, gone))
	is.Equal(admitAll(q, floodEpoch), []string{"a", "b", "a", "a", "b", "a"})
	later := floodEpoch.Add(time.Second)
	for i := range 20 { // a alone gets everything, which gives b, idle meanwhile, no credit
		q.Push(newProgram("a", i), 100, time.Time{}, "a")
	}
	admitAll(q, later)
	for i := range 3 {
		q.Push(newProgram("b", 30+i), 100, time.Time{}, "b")
		q.Push(newProgram("a", 40+i), 100, time.Time{}, "a")
	}
	is.Equal(admitAll(q, later), []string{"b", "b", "a", "b", "a", "a"})
}

// Precedence by priority or by started programs must not starve an organisation.
func TestPrecedenceIsBoundedByShare(t *testing.T) {
	is := is.New(t)
	for _, standing := range []schedule.Standing{schedule.StandingStarted, schedule.StandingNew} {
		q := fairQueueOf()
		small := newProgram("b", 0)
		small.OrganisationPriority = 1
		q.Push(small, 100, time.Time{}, "b")
		ahead := 0
		for ; ahead < 1000; ahead++ {
			p := newProgram("a", ahead)
			p.Standing = standing
			w := q.Push(p, 100, time.Time{}, "a")
			if q.First() != w {
				break
			}
			q.Admit(floodEpoch, w)
		}
		is.True(ahead >= 16 && ahead <= 66) // goes ahead for a time, not for ever
	}
}

// A call that goes ahead makes others wait longer. Of those that are too late then, the ones of the organisation that is furthest
// ahead of its share are refused; the others are in time without them.
func TestLateCallsOfOrganisationAheadOfItsShareAreRefused(t *testing.T) {
	is := is.New(t)
	q := fairQueueOf()
	wait := func(ahead, _ int) time.Duration { return time.Duration(ahead+1) * 100 * time.Millisecond }
	for i := range 3 { // charged: a is ahead
		p := newProgram("a", i)
		p.Standing = schedule.StandingStarted
		q.Push(p, 100, time.Time{}, "a")
	}
	q.Push(newProgram("b", 0), 100, time.Time{}, "b")
	admitAll(q, floodEpoch)
	giveUpAt := floodEpoch.Add(450 * time.Millisecond)
	for i := range 3 {
		w := q.Push(newProgram("a", i), 100, floodEpoch.Add(350*time.Millisecond), "a"+strconv.Itoa(i))
		is.Equal(len(q.RefuseLate(floodEpoch, w, wait)), 0)
	}
	last := newProgram("b", 9)
	last.OrganisationPriority = 1
	q.Push(last, 100, giveUpAt, "b")
	arriving := newProgram("b", 10)
	arriving.Standing = schedule.StandingStarted
	refused := q.RefuseLate(floodEpoch, q.Push(arriving, 100, giveUpAt, "started"), wait)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Call.Value, "a2")
	is.Equal(refused[0].Wait, 400*time.Millisecond)
	is.True(refused[0].BeyondShare)
	is.Equal(admitAll(q, floodEpoch), []string{"started", "a0", "a1", "b"})
}
