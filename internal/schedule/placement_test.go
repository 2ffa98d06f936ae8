package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// idleEngines returns n idle engines with 6 slots each.
func idleEngines(n int) []schedule.PlacementCandidate {
	candidates := make([]schedule.PlacementCandidate, n)
	for i := range candidates {
		candidates[i] = schedule.PlacementCandidate{Slots: 6, Local: true}
	}
	return candidates
}

// simulateBurst places turns on 40 engines with 6 slots each while 90% of the slots are in use, as in a burst of a
// load scenario on andesmetra-lima-grown. It returns the share of turns that found no free slot. choose picks an engine.
func simulateBurst(random *rand.Rand, choose func(candidates []schedule.PlacementCandidate, current []int) int) float64 {
	const turns, engineCount, steps = 216, 40, 400
	current := make([]int, engineCount)
	var running []int
	waited := 0
	for step := range steps {
		if len(running) >= turns {
			i := random.IntN(len(running))
			current[running[i]]--
			running = append(running[:i], running[i+1:]...)
		}
		candidates := idleEngines(engineCount)
		i := choose(candidates, current)
		if current[i] >= candidates[i].Slots && step > turns {
			waited++
		}
		current[i]++
		running = append(running, i)
	}
	return float64(waited) / float64(steps-turns)
}

func TestPlacingWithKnownCallsAvoidsFullEnginesInBurst(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlacementCosts()
	random := rand.New(rand.NewPCG(1, 2))
	known := simulateBurst(random, func(candidates []schedule.PlacementCandidate, current []int) int {
		for i := range candidates {
			candidates[i].Calls = current[i]
		}
		return costs.BestEngine(candidates, 1000, true, random)
	})
	atRandom := simulateBurst(random, func(candidates []schedule.PlacementCandidate, _ []int) int { return random.IntN(len(candidates)) })
	is.True(known < atRandom/2) // less than half as many turns wait as with random engines
}

func TestPlacingDoesNotHerdOnStaleLoads(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlacementCosts()
	random := rand.New(rand.NewPCG(3, 4))
	candidates := idleEngines(8)
	for i := range candidates {
		candidates[i].Calls = 3
	}
	candidates[5].Calls = 0 // According to the stale loads, this engine is idle.
	counts := make([]int, len(candidates))
	for range 100 {
		counts[costs.BestEngine(candidates, 1000, false, random)]++
	}
	is.True(counts[5] < 50) // most calls are spread over the others
}

func TestPlacingPrefersEngineWithCachedPromptUntilFull(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlacementCosts()
	random := rand.New(rand.NewPCG(5, 6))
	candidates := idleEngines(20)
	candidates[7].CachedTokens = 4000
	candidates[7].Calls = 4
	is.Equal(costs.BestEngine(candidates, 4500, true, random), 7)
	candidates[7].Calls = 30
	is.True(costs.BestEngine(candidates, 4500, true, random) != 7) // its queue costs more than prefilling the prompt again
}

func TestPlacingAvoidsSuspendedServers(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlacementCosts()
	random := rand.New(rand.NewPCG(7, 8))
	candidates := []schedule.PlacementCandidate{{Slots: 6, Calls: 5}, {Slots: 6, Suspended: true}}
	for range 50 {
		is.Equal(costs.BestService(candidates, random), 0)
	}
	is.Equal(costs.BestService(candidates[1:], random), 0) // a suspended server is used if it is the only one
	is.Equal(costs.BestService(nil, random), -1)
}

func TestEjectRemovesPartlyFailingServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := make([]*schedule.Health, 9)
	for i := range list {
		list[i] = &schedule.Health{}
		list[i].Add(now, 10, 0)
	}
	list[2].Add(now, 0, 6)
	list[4].Add(now, 0, 1) // one failure in eleven calls is not enough
	out := schedule.Eject(list, now)
	for i, ejected := range out {
		is.Equal(ejected, i == 2)
	}
	is.True(!schedule.Eject(list, now.Add(10*time.Second))[2]) // an ejected server is tried again after a while
}

func TestEjectRemovesAtMostOneThird(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := make([]*schedule.Health, 9)
	for i := range list {
		list[i] = &schedule.Health{}
		list[i].Add(now, 1, float64(10+i))
	}
	ejected := 0
	for i, out := range schedule.Eject(list, now) {
		if out {
			ejected++
			is.True(i >= 6) // the servers that fail most
		}
	}
	is.Equal(ejected, 3)
}
