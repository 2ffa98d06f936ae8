package quota

import (
	"cmp"
	"slices"
	"time"
)

// RouteProfile is what is known of the programs that begin on a route.
type RouteProfile struct {
	Route   string
	Calls   float64       // Mean number of calls of a program.
	Time    time.Duration // Mean time from the first to the last call of a program.
	Samples int           // Programs that have been seen to end.
}

const (
	// minSamples is the number of ended programs from which on a profile is used. The first programs that end are the short ones.
	minSamples = 8
	// maxSamples bounds the weight of what was learned before, so that a profile follows a change of the programs.
	maxSamples = 200
	// defaultCalls and defaultTime apply to routes without a profile. They are low, so that no program is refused for want of
	// knowledge: programs make 6 to 40 calls.
	defaultCalls = 10.0
	defaultTime  = 3 * time.Second
	// minLeftShare is the share of a route's mean number of calls that a program is expected to make still, however many it has
	// made.
	minLeftShare = 0.25

	// idleTime is how long after its last call a program counts as ended.
	idleTime = 3 * time.Second
	// forgetTime is how long after its last call a program is forgotten. Before that a program that had only been idle, such as
	// during a long turn, goes on.
	forgetTime = 10 * time.Second
	// finishFactor is the multiple of the time in which a program should finish after which it counts as ended.
	finishFactor = 2
)

// profiles holds the profiles of all routes.
type profiles map[string]*RouteProfile

// add adds the calls and the time of a program that has ended.
func (p profiles) add(route string, calls int, length time.Duration) {
	r := p[route]
	if r == nil {
		r = &RouteProfile{Route: route}
		p[route] = r
	}
	r.Samples = min(r.Samples+1, maxSamples)
	r.Calls += (float64(calls) - r.Calls) / float64(r.Samples)
	r.Time += time.Duration(float64(length-r.Time) / float64(r.Samples))
}

// of returns the number of calls and the time of a program that begins on the route, and whether they have been learned.
func (p profiles) of(route string) (calls float64, length time.Duration, learned bool) {
	if r := p[route]; r != nil && r.Samples >= minSamples {
		return max(r.Calls, 1), max(r.Time, time.Second), true
	}
	return defaultCalls, defaultTime, false
}

// program is one program of an organisation.
type program struct {
	route    string
	admitted bool    // Its calls are granted; false for a program that was refused at its first call.
	whole    bool    // All its calls have been seen.
	sampled  bool    // It has been added to the profiles since its last call.
	refused  bool    // Its last call was refused.
	parked   bool    // Its calls have to wait for those of programs that end earlier.
	calls    int     // Granted calls.
	counted  float64 // Calls that the organisation's demand contains for the program.
	first    time.Time
	last     time.Time // Time of the last call, also if it was refused.
	finishBy time.Time // When it should finish; zero if unknown.
}

// isActive reports whether the program is expected to make further calls.
func (p *program) isActive(now time.Time) bool {
	return p.admitted && now.Sub(p.last) <= idleTime && !p.isTooLate(now)
}

// isTooLate reports whether the time after which the program counts as ended has passed.
func (p *program) isTooLate(now time.Time) bool {
	return !p.finishBy.IsZero() && now.After(p.first.Add(finishFactor*p.finishBy.Sub(p.first)))
}

// left returns the number of calls that the program is expected to make still.
func (p *program) left(known profiles) float64 {
	calls, _, _ := known.of(p.route)
	if !p.whole {
		calls /= 2 // It is not known how many calls it made before.
	}
	return max(calls-float64(p.calls), minLeftShare*calls)
}

// leftWithin returns how many of the calls that the program is expected to make still are expected within the time.
func (p *program) leftWithin(d time.Duration, known profiles) float64 {
	calls, length, _ := known.of(p.route)
	left := p.left(known)
	return min(left, calls*d.Seconds()/length.Seconds())
}

// parkLatest marks the programs whose calls have to wait: calls go to the programs with the fewest calls left, as long as permits
// suffices for what they need within planHorizon.
func parkLatest(now time.Time, active []*program, known profiles, permits float64) {
	slices.SortFunc(active, func(a, b *program) int {
		return cmp.Or(
			cmp.Compare(b2i(a.isLate(now)), b2i(b.isLate(now))),
			cmp.Compare(a.left(known), b.left(known)), a.finishBy.Compare(b.finishBy), a.first.Compare(b.first))
	})
	need := 0.0
	for n, p := range active {
		need += p.leftWithin(planHorizon, known)
		p.parked = n > 0 && need > permits
	}
}

// isLate reports whether the time in which the program should finish has passed.
func (p *program) isLate(now time.Time) bool { return !p.finishBy.IsZero() && now.After(p.finishBy) }

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
