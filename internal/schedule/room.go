package schedule

import "time"

// EngineUse is what calls use of an engine.
type EngineUse struct {
	Calls  int
	Tokens int // Prompt tokens that the engine has still to read.
}

// Plus returns the sum.
func (u EngineUse) Plus(v EngineUse) EngineUse {
	return EngineUse{u.Calls + v.Calls, u.Tokens + v.Tokens}
}

// Minus returns the difference.
func (u EngineUse) Minus(v EngineUse) EngineUse {
	return EngineUse{u.Calls - v.Calls, u.Tokens - v.Tokens}
}

// EngineRoom bounds what an engine is given at once. What is beyond waits in a Line, where the order can still change.
type EngineRoom struct {
	SlotsShare float64 // Calls as a multiple of the engine's slots.
	Extra      int     // Calls beyond those, which bridge the time until the end of a call is known.
	Tokens     int     // Prompt tokens to be read from which no further call is given.
}

// DefaultEngineRoom returns the bounds in force.
func DefaultEngineRoom() EngineRoom {
	return EngineRoom{SlotsShare: 1.25, Extra: 1, Tokens: 8000}
}

// Allows reports whether an engine with the slots that is used so far gets a further call.
func (r EngineRoom) Allows(used EngineUse, slots int) bool {
	return used.Calls == 0 || float64(used.Calls) < float64(slots)*r.SlotsShare+float64(r.Extra) && used.Tokens < r.Tokens
}

// LinePace estimates how long calls wait in an engine's line.
type LinePace struct {
	interval time.Duration // Average time between two admissions while calls waited; 0 before the first.
	last     time.Time     // Last admission after which calls waited; zero while none does.
}

// paceWeight is the weight of one interval in the average: about the last ten admissions count.
const paceWeight = 0.1

// Admitted notes an admission. waiting says that further calls wait.
func (p *LinePace) Admitted(now time.Time, waiting bool) {
	if !p.last.IsZero() {
		interval := now.Sub(p.last)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	}
	p.last = time.Time{}
	if waiting {
		p.last = now
	}
}

// Wait returns how long a call with so many calls ahead of it is expected to wait, 0 while that is not known.
func (p *LinePace) Wait(ahead int) time.Duration { return time.Duration(ahead+1) * p.interval }
