package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// session is a sequence of turns in simulateSessions.
type session struct {
	promptTokens int       // Tokens of the current turn's prompt.
	turnsLeft    int       // Turns that have not run yet.
	cached       [20]int   // Tokens of its prompt that each engine has cached.
	arrival      time.Time // Arrival of its current turn.
}

// sessionEngine prefills one prompt at a time and decodes concurrently.
type sessionEngine struct {
	calls, pending int
	prefillUntil   time.Time
}

// simulateSessions simulates 20 s of sessions of eight turns on 20 engines with 6 slots each, which use 75% of the slots on
// average and more than all slots in bursts, as in the load scenario scale-1 on andesmetra-lima-grown. It returns the
// mean time from a turn's arrival to the end of its prefill, and the mean number of prefilled tokens per turn.
func simulateSessions(costs schedule.PlacementCosts) (wait time.Duration, tokens int) {
	const (
		slots, turns, step = 6, 8, 5 * time.Millisecond
		decodeTime         = 130 * time.Millisecond
		prefillRate        = 112 // Tokens per millisecond.
		thinkTime          = 60 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(9, 10))
	var engines [20]sessionEngine
	var open []*session
	type runningTurn struct {
		engine, tokens  int
		session         *session
		prefillEnd, end time.Time
	}
	var running []runningTurn
	now := time.Unix(1000, 0)
	end := now.Add(20 * time.Second)
	var total time.Duration
	placed, prefilled := 0, 0
	for ; now.Before(end); now = now.Add(step) {
		rate := 0.33 // New sessions per step.
		if now.Unix()%5 == 4 {
			rate *= 1.8
		}
		if random.Float64() < rate {
			open = append(open, &session{promptTokens: 3500, turnsLeft: turns, arrival: now})
		}
		kept := running[:0]
		for _, e := range running {
			engine := &engines[e.engine]
			if e.tokens > 0 && !now.Before(e.prefillEnd) {
				engine.pending -= e.tokens
				e.tokens = 0
			}
			if now.Before(e.end) {
				kept = append(kept, e)
				continue
			}
			engine.calls--
			if e.session.turnsLeft > 0 {
				e.session.arrival = now.Add(thinkTime)
				open = append(open, e.session)
			}
		}
		running = kept
		waiting := open[:0]
		for _, s := range open {
			if now.Before(s.arrival) {
				waiting = append(waiting, s)
				continue
			}
			candidates := make([]schedule.PlacementCandidate, len(engines))
			for i := range candidates {
				candidates[i] = schedule.PlacementCandidate{
					Slots: slots, Calls: engines[i].calls, PendingTokens: engines[i].pending, CachedTokens: max(s.cached[i], 2500), Local: true,
				}
			}
			i := costs.BestEngine(candidates, s.promptTokens, true, random)
			engine := &engines[i]
			missing := s.promptTokens - candidates[i].CachedTokens
			start := now
			if engine.prefillUntil.After(start) {
				start = engine.prefillUntil
			}
			if over := engine.calls + 1 - slots; over > 0 { // The turn waits for a slot first.
				start = start.Add(time.Duration(over) * decodeTime / slots)
			}
			engine.prefillUntil = start.Add(time.Duration(missing) * time.Millisecond / prefillRate)
			engine.calls++
			engine.pending += missing
			running = append(running, runningTurn{i, missing, s, engine.prefillUntil, engine.prefillUntil.Add(decodeTime)})
			total += engine.prefillUntil.Sub(now)
			prefilled += missing
			placed++
			s.cached[i], s.promptTokens, s.turnsLeft = s.promptTokens, s.promptTokens+800, s.turnsLeft-1
		}
		open = waiting
	}
	return total / time.Duration(placed), prefilled / placed
}

func TestSessionsStayWithCachedPrompts(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlacementCosts()
	wait, tokens := simulateSessions(costs)
	cheap := costs
	cheap.MissWeight = 0.5
	cheapWait, cheapTokens := simulateSessions(cheap)
	t.Logf("prefill ends after %v with %d tokens per turn; with a sixth of MissWeight: %v, %d", wait, tokens, cheapWait, cheapTokens)
	is.True(tokens < cheapTokens*3/4) // a quarter of the prefill is saved
	is.True(wait <= cheapWait)        // turns do not wait longer for it
}
