package speed_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/speed"
)

const (
	playSlots, playTurns, playOutput = 8, 6, 60 // Slots of an engine, turns of a program, output tokens of a turn.
	playStep                         = 5 * time.Millisecond
	playTime                         = 40 * time.Second
)

// playedProgram makes its turns one after the other. At idle engines of usual speed it takes 5 s.
type playedProgram struct {
	id               string
	begun, due, next time.Time
	turns, prompt    int
	cached           [12]int // By engine.
}

// playedTurn is a turn at an engine.
type playedTurn struct {
	program            *playedProgram
	missing            int
	load               float64
	placed, first, end time.Time // first and end are zero while it waits for a slot.
}

// playedEngine runs as many turns as it has slots, in the order of arrival.
type playedEngine struct {
	factor, prefillRate float64 // Speed as a multiple of the usual one; usual prompt tokens in a millisecond.
	slowness            float64 // What one slowness for all work says of it.
	turns               []*playedTurn
}

// run starts turns in free slots, and returns those that have ended.
func (e *playedEngine) run(now time.Time) (ended []*playedTurn) {
	e.turns = slices.DeleteFunc(e.turns, func(t *playedTurn) bool {
		if t.end.IsZero() || now.Before(t.end) {
			return false
		}
		ended = append(ended, t)
		return true
	})
	for i, t := range e.turns[:min(len(e.turns), playSlots)] {
		if t.end.IsZero() {
			t.first = now.Add(ms(float64(t.missing) / e.prefillRate / e.factor))
			t.end = t.first.Add(ms(playOutput * 10 * (1 + 0.2*float64(i+1)/playSlots) / e.factor))
		}
	}
	return ended
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// playedResult is what the callers got.
type playedResult struct {
	late, worst, lateFirst float64 // Share of programs that were late, that of the worst second, of turns whose first event came after 200 ms.
	turns                  [3]int  // At engines of each speed.
}

// playEngines plays programs whose time is between 1.2 and 4 times the ideal one on twelve engines of 0.6, 1.0 and 1.6 times the usual
// speed, at the share of their capacity, with bursts. learned uses what package speed learns, otherwise the placement uses one
// slowness for each engine, as where speeds are not learned.
func playEngines(load, prefillRate float64, learned bool, seed uint64) (result playedResult) {
	random := rand.New(rand.NewPCG(seed, 7))
	costs := schedule.DefaultPlacementCosts()
	var engines [12]playedEngine
	for i := range engines {
		engines[i].factor, engines[i].prefillRate = []float64{0.6, 1, 1.6}[i%3], prefillRate
	}
	capacity := 12 * 3.2 / 3 * playSlots / 0.7 / playTurns // Programs a second.
	table, programs := speed.NewTable(), speed.NewPrograms()
	typical, turns, programsEnded := 0.0, 0.0, 0.0
	var ended, late [playTime / time.Second]float64 // Programs by the second of their begin.
	begin := time.Unix(1000, 0)
	var open []*playedProgram
	end := func(i int, e *playedEngine, t *playedTurn, now time.Time) {
		p := t.program
		p.next, p.turns = now.Add(80*time.Millisecond), p.turns-1
		second := int(p.begun.Sub(begin).Seconds())
		switch {
		case p.turns > 0:
			open = append(open, p)
		case second >= 8: // Programs and speeds are known by then.
			ended[second]++
			if t.end.After(p.due) {
				late[second]++
			}
		}
		turns++
		if t.first.Sub(t.placed) > 200*time.Millisecond {
			result.lateFirst++
		}
		took := float64(t.end.Sub(t.placed))
		typical += (took - typical) / min(turns, 200)
		e.slowness = max(e.slowness, 1) + (took/typical-max(e.slowness, 1))*0.15
		programs.Ended(now, p.id, "r", playOutput)
		table.ObserveTime("llm", t.end.Sub(t.placed))
		observe := func(kind speed.Kind, took time.Duration, tokens int) {
			log := math.Log(float64(took) / float64(time.Millisecond) / float64(tokens))
			table.Observe(now, speed.Sample{Service: "llm", Server: strconv.Itoa(i), Kind: kind, Log: log, Load: t.load, Count: 1})
		}
		observe(speed.Output, t.end.Sub(t.first), playOutput)
		if t.load < 1 {
			observe(speed.Prefill, t.first.Sub(t.placed), t.missing)
		}
	}
	place := func(p *playedProgram, now time.Time) {
		candidates := make([]schedule.PlacementCandidate, len(engines))
		speeds := table.Lookup(now, "llm")
		for i := range engines {
			e := &engines[i]
			candidates[i] = schedule.PlacementCandidate{Local: true, Slots: playSlots, Calls: len(e.turns), CachedTokens: p.cached[i], Slowness: e.slowness}
			if learned && speeds != nil {
				s := speeds(strconv.Itoa(i), 0)
				candidates[i].PrefillRate, candidates[i].OutputTime, candidates[i].CallTime = s.PrefillRate, s.OutputTime, s.CallTime
			}
		}
		urgency := schedule.Urgency(p.due.Sub(now), programs.Turn(now, p.id, strconv.Itoa(p.turns), "r"), now.After(p.due))
		i := costs.BestEngineForTurn(candidates, schedule.Turn{PromptTokens: p.prompt, OutputTokens: playOutput, Urgency: urgency}, true, random)
		result.turns[i%3]++
		e := &engines[i]
		e.turns = append(e.turns, &playedTurn{program: p, missing: p.prompt - p.cached[i], load: float64(len(e.turns)) / playSlots, placed: now})
		p.cached[i] = p.prompt
		p.prompt += 600
	}
	for now := begin; now.Before(begin.Add(playTime + 30*time.Second)); now = now.Add(playStep) {
		if now.Sub(begin)%(250*time.Millisecond) == 0 {
			table.Refresh(now)
		}
		rate := load * capacity
		if now.Unix()%8 == 5 {
			rate *= 1.5
		}
		if now.Before(begin.Add(playTime)) && random.Float64() < rate*playStep.Seconds() {
			due := now.Add(ms((1.2 + 2.8*random.Float64()) * 5000))
			open = append(open, &playedProgram{id: now.String(), begun: now, next: now, due: due, turns: playTurns, prompt: 2000})
		}
		for i := range engines {
			for _, t := range engines[i].run(now) {
				end(i, &engines[i], t, now)
			}
		}
		open = slices.DeleteFunc(open, func(p *playedProgram) bool {
			if now.Before(p.next) {
				return false
			}
			place(p, now)
			return true
		})
	}
	for i := range ended {
		result.late += late[i]
		programsEnded += ended[i]
		result.worst = max(result.worst, late[i]/max(ended[i], 1))
	}
	result.late, result.lateFirst = result.late/programsEnded, result.lateFirst/turns
	return result
}

// Guards against programs that are late because their turns run at slow engines while fast ones are used for turns that can wait, and
// against first events that come late because too many turns wait for a fast engine.
func TestFewerProgramsAreLateAtEnginesOfThreeSpeeds(t *testing.T) {
	is := is.New(t)
	for _, at := range []struct{ load, prefillRate, limit float64 }{{0.5, 112, 0.5}, {0.7, 112, 0.5}, {0.7, 40, 0.5}, {0.85, 112, 0.5}, {0.85, 40, 1}} {
		var with, without playedResult
		const plays = 3
		for seed := range uint64(plays) {
			for learned, to := range map[bool]*playedResult{true: &with, false: &without} {
				r := playEngines(at.load, at.prefillRate, learned, seed)
				to.late, to.worst, to.lateFirst, to.turns = to.late+r.late/plays, to.worst+r.worst/plays, to.lateFirst+r.lateFirst/plays, r.turns
			}
		}
		t.Logf("%+v: %+v; by one slowness %+v", at, with, without)
		is.True(with.late < without.late*at.limit)
		is.True(with.worst < without.worst)
		is.True(with.lateFirst < without.lateFirst+0.1)
		is.True(with.turns[2] > 2*with.turns[0]) // the ratio of the speeds is 2.7
	}
}
