package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// session is one line of turns of the load below.
type session struct {
	prompt int       // Tokens of the present turn's prompt.
	left   int       // Turns still to run.
	cached [20]int   // Tokens of its prompt that each engine holds.
	at     time.Time // When its present turn arrives.
}

// sessionEngine reads prompts one after the other, and decodes beside that.
type sessionEngine struct {
	calls, pending int
	readUntil      time.Time
}

// playSessions plays 20 s of sessions of eight turns at 20 engines of 6 slots, at an average of 75% of their slots and with
// bursts beyond them, as on andesmetra-lima-grown scale-1. It returns the mean time from a turn's arrival to the end of its
// prompt's reading, and the tokens read of a turn.
func playSessions(costs schedule.PlaceCosts) (wait time.Duration, tokens int) {
	const (
		slots, turns, step = 6, 8, 5 * time.Millisecond
		decode             = 130 * time.Millisecond
		readRate           = 112 // Tokens in a millisecond.
		think              = 60 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(9, 10))
	var engines [20]sessionEngine
	var open []*session
	type event struct {
		engine, tokens int
		session        *session
		read, end      time.Time
	}
	var running []event
	now := time.Unix(1000, 0)
	end := now.Add(20 * time.Second)
	var total time.Duration
	placed, read := 0, 0
	for ; now.Before(end); now = now.Add(step) {
		rate := 0.33 // Sessions in a step.
		if now.Unix()%5 == 4 {
			rate *= 1.8
		}
		if random.Float64() < rate {
			open = append(open, &session{prompt: 3500, left: turns, at: now})
		}
		kept := running[:0]
		for _, e := range running {
			engine := &engines[e.engine]
			if e.tokens > 0 && !now.Before(e.read) {
				engine.pending -= e.tokens
				e.tokens = 0
			}
			if now.Before(e.end) {
				kept = append(kept, e)
				continue
			}
			engine.calls--
			if e.session.left > 0 {
				e.session.at = now.Add(think)
				open = append(open, e.session)
			}
		}
		running = kept
		waiting := open[:0]
		for _, s := range open {
			if now.Before(s.at) {
				waiting = append(waiting, s)
				continue
			}
			places := make([]schedule.Place, len(engines))
			for i := range places {
				places[i] = schedule.Place{
					Slots: slots, Calls: engines[i].calls, PendingTokens: engines[i].pending, CachedTokens: max(s.cached[i], 2500), Local: true,
				}
			}
			i := costs.BestEngine(places, s.prompt, true, random)
			engine := &engines[i]
			missing := s.prompt - places[i].CachedTokens
			start := now
			if engine.readUntil.After(start) {
				start = engine.readUntil
			}
			if over := engine.calls + 1 - slots; over > 0 { // It waits for a slot first.
				start = start.Add(time.Duration(over) * decode / slots)
			}
			engine.readUntil = start.Add(time.Duration(missing) * time.Millisecond / readRate)
			engine.calls++
			engine.pending += missing
			running = append(running, event{i, missing, s, engine.readUntil, engine.readUntil.Add(decode)})
			total += engine.readUntil.Sub(now)
			read += missing
			placed++
			s.cached[i], s.prompt, s.left = s.prompt, s.prompt+800, s.left-1
		}
		open = waiting
	}
	return total / time.Duration(placed), read / placed
}

func TestSessionsStayWhereTheirPromptsAre(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlaceCosts()
	wait, tokens := playSessions(costs)
	cheap := costs
	cheap.MissWeight = 0.5
	cheapWait, cheapTokens := playSessions(cheap)
	t.Logf("prompt read after %v with %d tokens a turn; with misses at a sixth: %v, %d", wait, tokens, cheapWait, cheapTokens)
	is.True(tokens < cheapTokens*3/4) // a quarter of the reading is saved
	is.True(wait <= cheapWait)        // and no caller pays for it
}
