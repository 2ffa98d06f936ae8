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

var floodEpoch = time.Unix(1000, 0)

// floodLoad is a load on four engines of one hub: organisations of equal weight send a multiple of their usual demand, at which all
// together keep 75 % of the slots busy. Small and large programs of three turns come in alternating bursts.
type floodLoad struct {
	slots            int
	demand           []float64 // By organisation.
	priorities       []int     // Of the first organisations; 0 for the others.
	lateAt, newHubAt time.Duration
}

// floodCall is a turn. An engine prefills prompts one after the other.
type floodCall struct {
	organisation, turnsLeft, prompt    int
	counted                            bool
	arrived, programEnd                time.Duration
	output, objective, firstEvent, end time.Duration
}

type floodEngine struct {
	queue           *schedule.FairQueue[*floodCall]
	usage           schedule.EngineUsage
	placed          int
	queued, running []*floodCall
	prefillEnd      time.Duration
}

// floodResult counts programs, those that ended in time, and those whose first event came within 200 ms (large: 400 ms).
type floodResult struct{ programs, served, prompt int }

// startHub gives the engines queues whose shares start at zero.
func startHub(engines []*floodEngine) {
	shares := &schedule.FairShares{}
	shares.Configure(map[string]float64{})
	for _, e := range engines {
		e.queue = schedule.NewFairQueue[*floodCall](shares)
	}
}

// place queues the call at the engine with the fewest calls. Callers of turns wait 1 s. A refused call is lost.
func (l floodLoad) place(engines []*floodEngine, call *floodCall, now time.Duration) {
	p := newProgram(strconv.Itoa(call.organisation), int(call.arrived.Milliseconds()))
	if call.turnsLeft < 3 {
		p.Standing = schedule.StandingStarted
	}
	if call.organisation < len(l.priorities) {
		p.OrganisationPriority = l.priorities[call.organisation]
	}
	e := slices.MinFunc(engines, func(a, b *floodEngine) int { return a.placed - b.placed })
	w := e.queue.Push(p, schedule.CallCost(call.prompt, int(call.output.Milliseconds()/4)), p.Since.Add(time.Second), call)
	e.placed += 1 - len(e.queue.RefuseLate(floodEpoch.Add(now), w, noLimit))
}

// admit sends calls to the engine, and starts those for which it has a slot.
func (e *floodEngine) admit(now time.Duration, slots int) {
	limits := schedule.DefaultEngineLimits()
	for w := e.queue.Next(limits, e.usage, slots); w != nil; w = e.queue.Next(limits, e.usage, slots) {
		if now > w.Value.arrived+time.Second {
			e.queue.Remove(floodEpoch.Add(now), w)
			e.placed--
			continue
		}
		e.queue.Admit(floodEpoch.Add(now), w)
		e.usage = e.usage.Add(schedule.EngineUsage{Calls: 1, PendingTokens: w.Value.prompt})
		e.queued = append(e.queued, w.Value)
	}
	for ; len(e.queued) > 0 && len(e.running) < slots; e.queued = e.queued[1:] {
		call := e.queued[0]
		e.prefillEnd = max(e.prefillEnd, now) + time.Duration(call.prompt)*time.Millisecond/40
		call.firstEvent = e.prefillEnd.Truncate(time.Millisecond) + time.Millisecond
		call.end = call.firstEvent + call.output
		e.running = append(e.running, call)
	}
}

// run plays 12 s and returns the results by organisation, of programs that arrive in the first 8 s, and their sum.
func (l floodLoad) run() (results []floodResult, total floodResult) {
	random := rand.New(rand.NewPCG(3, 4))
	engines := []*floodEngine{{}, {}, {}, {}}
	startHub(engines)
	results = make([]floodResult, len(l.demand))
	usual := 0.75 * float64(len(engines)*l.slots) / 1.5 / float64(len(l.demand)) // Programs a second; each takes 1.5 s of a slot.
	next := make([]time.Duration, len(l.demand))
	next[len(next)-1] = l.lateAt
	var arriving []*floodCall
	for now := time.Duration(0); now < 12*time.Second; now += time.Millisecond {
		if l.newHubAt > 0 && now == l.newHubAt {
			for _, e := range engines {
				for w := e.queue.First(); w != nil; w = e.queue.First() {
					e.queue.Remove(floodEpoch.Add(now), w)
					e.placed--
					arriving = append(arriving, w.Value)
				}
			}
			startHub(engines)
		}
		for i, demand := range l.demand {
			for ; next[i] <= now; next[i] += time.Duration(random.ExpFloat64() / (usual * demand) * float64(time.Second)) {
				call := &floodCall{organisation: i, turnsLeft: 3, prompt: 100, output: 200 * time.Millisecond, objective: 200 * time.Millisecond}
				if random.Float64() < 0.25+0.5*float64(now/(500*time.Millisecond)%2) {
					call.prompt, call.output, call.objective = 500, 800*time.Millisecond, 400*time.Millisecond
				}
				call.arrived, call.programEnd, call.counted = now, now+4*time.Second, now < 8*time.Second
				if call.counted {
					results[i].programs++
				}
				arriving = append(arriving, call)
			}
		}
		arriving = slices.DeleteFunc(arriving, func(call *floodCall) bool {
			if call.arrived <= now {
				l.place(engines, call, now)
			}
			return call.arrived <= now
		})
		for _, e := range engines {
			e.running = slices.DeleteFunc(e.running, func(call *floodCall) bool {
				if call.firstEvent == now {
					e.usage.PendingTokens -= call.prompt
					if call.turnsLeft == 3 && call.counted && now <= call.arrived+call.objective {
						results[call.organisation].prompt++
					}
				}
				if call.end > now {
					return false
				}
				e.usage.Calls--
				e.placed--
				if call.turnsLeft--; call.turnsLeft > 0 {
					call.arrived = now + 50*time.Millisecond
					arriving = append(arriving, call)
				} else if call.counted && now <= call.programEnd {
					results[call.organisation].served++
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
	one, three := []float64{7, 1, 1, 1, 1, 1, 1, 1, 1, 1}, []float64{3, 5, 7, 1, 1, 1, 1, 1, 1, 1}
	for name, l := range map[string]floodLoad{
		"one floods":                {demand: one},
		"three flood":               {demand: three},
		"small one comes late":      {demand: []float64{7, 7, 5, 1, 1, 1, 1, 1, 1, 0.5}, lateAt: 4 * time.Second},
		"all equal":                 {demand: []float64{2, 2, 2, 2, 2, 2, 2, 2, 2, 2}},
		"new hub":                   {demand: three, newHubAt: 4 * time.Second},
		"flood has lowest priority": {demand: one, priorities: []int{2, 1}},
		"flood has best priority":   {demand: one, priorities: []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
	} {
		for _, slots := range []int{24, 64} {
			t.Run(name+", slots "+strconv.Itoa(slots), func(t *testing.T) {
				is := is.New(t)
				l.slots = slots
				results, total := l.run()
				share := func(n, of int) float64 { return float64(n) / float64(of) }
				inTime := 0.9
				if l.newHubAt > 0 {
					inTime = 0.75 // Shares start at zero, so calls that waited before are admitted in the order of arrival.
				}
				for i, r := range results {
					t.Logf("organisation %d: demand %.1f, served %.2f, first events in time %.2f", i, l.demand[i],
						share(r.served, r.programs), share(r.prompt, r.programs))
					is.True(share(r.served, r.programs) >= share(total.served, total.programs)/4)
					if l.demand[i] <= 1 {
						is.True(share(r.served, r.programs) >= 0.95)   // within its share: served
						is.True(share(r.prompt, r.programs) >= inTime) // within its share: first events in time
					}
				}
			})
		}
	}
}

// noLimit is the wait for the limit of an engine that names none.
func noLimit(int) time.Duration { return 0 }

// newProgram returns the precedence of the first call of a program that arrives after n ms.
func newProgram(organisation string, n int) schedule.Precedence {
	return schedule.Precedence{Standing: schedule.StandingNew, Organisation: organisation, Since: floodEpoch.Add(time.Duration(n) * time.Millisecond)}
}

// fairQueue returns a queue in which organisations have equal weights.
func fairQueue() *schedule.FairQueue[string] {
	shares := &schedule.FairShares{}
	shares.Configure(map[string]float64{})
	return schedule.NewFairQueue[string](shares)
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
		is := is.New(t)
		fair := schedule.NewFairQueue[int](&schedule.FairShares{})
		var plain schedule.WaitQueue[int]
		for i := range rapid.IntRange(0, 30).Draw(t, "calls") {
			p := newProgram("", 100*i+rapid.IntRange(0, 1000).Draw(t, "since"))
			p.Standing = schedule.Standing(rapid.IntRange(0, 2).Draw(t, "standing"))
			p.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			is.Equal(fair.Ahead(p), plain.Ahead(p))
			p.Since = p.Since.Add(time.Duration(i)) // no two are equal
			fair.Push(p, 100, time.Time{}, i)
			plain.Push(p, i)
		}
		for w := plain.First(); w != nil; w = plain.First() {
			next := fair.Next(schedule.DefaultEngineLimits(), schedule.EngineUsage{Calls: 30}, 24)
			is.Equal(next.Value, w.Value)
			plain.Remove(w)
			fair.Admit(floodEpoch, next)
		}
	})
}

// An organisation must not get ahead by many calls at once, by costly ones, by calls that left, or by having been idle.
func TestVirtualTimeFollowsAdmittedCost(t *testing.T) {
	is := is.New(t)
	q := fairQueue()
	for i := range 4 {
		q.Push(newProgram("a", i), 100, time.Time{}, "a")
	}
	gone := q.Push(newProgram("b", 4), 1e6, time.Time{}, "gone")
	q.Push(newProgram("b", 5), 200, time.Time{}, "b")
	q.Push(newProgram("b", 6), 200, time.Time{}, "b")
	is.True(q.Remove(floodEpoch, gone)) // not charged
	is.True(!q.Remove(floodEpoch, gone))
	is.Equal(admitAll(q, floodEpoch), []string{"a", "b", "a", "a", "b", "a"})
	for i := range 20 { // a alone gets everything, and b, which is idle, gains nothing by that
		q.Push(newProgram("a", i), 100, time.Time{}, "a")
	}
	later := floodEpoch.Add(time.Second)
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
		q := fairQueue()
		small := newProgram("b", 0)
		small.OrganisationPriority = 1
		waiting := q.Push(small, 100, time.Time{}, "b")
		ahead := 0
		for ; ahead < 1000; ahead++ {
			p := newProgram("a", ahead)
			p.Standing = standing
			q.Push(p, 100, time.Time{}, "a")
			first := q.First()
			if first == waiting {
				break
			}
			q.Admit(floodEpoch, first)
		}
		is.True(ahead >= 16 && ahead <= 66) // goes ahead for a time, not for ever
	}
}

// A call that goes ahead makes others wait longer. Of those that are too late then, the ones of the organisation that is furthest
// ahead of its share are refused; the others are in time without them.
func TestLateCallsOfOrganisationAheadOfItsShareAreRefused(t *testing.T) {
	is := is.New(t)
	q := fairQueue()
	started := newProgram("a", 0)
	started.Standing = schedule.StandingStarted
	q.Push(newProgram("b", 0), 100, time.Time{}, "")
	q.Push(started, 300, time.Time{}, "")
	admitAll(q, floodEpoch) // charged: a is ahead
	q.Interval.Admitted(floodEpoch, true)
	q.Interval.Admitted(floodEpoch.Add(100*time.Millisecond), false)
	for i := range 3 {
		w := q.Push(newProgram("a", i), 100, floodEpoch.Add(350*time.Millisecond), "a"+strconv.Itoa(i))
		is.Equal(len(q.RefuseLate(floodEpoch, w, noLimit)), 0)
	}
	giveUpAt := floodEpoch.Add(450 * time.Millisecond)
	last := newProgram("b", 9)
	last.OrganisationPriority = 1
	q.Push(last, 100, giveUpAt, "b")
	started.Organisation = "b"
	refused := q.RefuseLate(floodEpoch, q.Push(started, 100, giveUpAt, "started"), noLimit)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Call.Value, "a2")
	is.Equal(refused[0].Wait, 400*time.Millisecond)
	is.True(refused[0].BeyondShare)
	is.Equal(admitAll(q, floodEpoch), []string{"started", "a0", "a1", "b"})
}
