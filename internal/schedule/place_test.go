package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// engines returns n idle engines with 6 slots each.
func engines(n int) []schedule.Place {
	places := make([]schedule.Place, n)
	for i := range places {
		places[i] = schedule.Place{Slots: 6, Local: true}
	}
	return places
}

// burst plays a second of turns against 40 engines of 6 slots at 90% of their slots, as in a burst of
// andesmetra-lima-grown, and returns the share of turns that found no free slot. choose picks an engine.
func burst(random *rand.Rand, choose func(places []schedule.Place, current []int) int) float64 {
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
		places := engines(engineCount)
		i := choose(places, current)
		if current[i] >= places[i].Slots && step > turns {
			waited++
		}
		current[i]++
		running = append(running, i)
	}
	return float64(waited) / float64(steps-turns)
}

func TestPlacingWithAllCallsInViewAvoidsFullEnginesInABurst(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlaceCosts()
	random := rand.New(rand.NewPCG(1, 2))
	known := burst(random, func(places []schedule.Place, current []int) int {
		for i := range places {
			places[i].Calls = current[i]
		}
		return costs.BestEngine(places, 1000, true, random)
	})
	blind := burst(random, func(places []schedule.Place, _ []int) int { return random.IntN(len(places)) })
	is.True(known < blind/2) // callers wait less than half as often as with engines drawn by lot
}

func TestPlacingDoesNotHerdOnOldLoads(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlaceCosts()
	random := rand.New(rand.NewPCG(3, 4))
	places := engines(8)
	for i := range places {
		places[i].Calls = 3
	}
	places[5].Calls = 0 // All gateways believe that this engine is idle.
	counts := make([]int, len(places))
	for range 100 {
		counts[costs.BestEngine(places, 1000, false, random)]++
	}
	is.True(counts[5] < 50) // most callers are spread over the others
}

func TestPlacingPrefersTheHolderOfThePromptUntilItIsFull(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlaceCosts()
	random := rand.New(rand.NewPCG(5, 6))
	places := engines(20)
	places[7].CachedTokens = 4000
	places[7].Calls = 4
	is.Equal(costs.BestEngine(places, 4500, true, random), 7)
	places[7].Calls = 30
	is.True(costs.BestEngine(places, 4500, true, random) != 7) // its queue costs more than reading the prompt again
}

func TestPlacingPassesOverSuspendedServersWhileOthersAreLeft(t *testing.T) {
	is := is.New(t)
	costs := schedule.DefaultPlaceCosts()
	random := rand.New(rand.NewPCG(7, 8))
	places := []schedule.Place{{Slots: 6, Calls: 5}, {Slots: 6, Suspended: true}}
	for range 50 {
		is.Equal(costs.BestService(places, random), 0)
	}
	is.Equal(costs.BestService(places[1:], random), 0) // the last one is used all the same
	is.Equal(costs.BestService(nil, random), -1)
}

func TestEjectLeavesOutServersThatFailPartOfTheirCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := make([]*schedule.Health, 9)
	for i := range list {
		list[i] = &schedule.Health{}
		list[i].Add(now, 10, 0)
	}
	list[2].Add(now, 0, 6)
	list[4].Add(now, 0, 1) // one failure in eleven calls is no verdict
	out := schedule.Eject(list, now)
	for i, ejected := range out {
		is.Equal(ejected, i == 2)
	}
	is.True(!schedule.Eject(list, now.Add(10*time.Second))[2]) // a server that gets no calls is tried again
}

func TestEjectNeverEmptiesAService(t *testing.T) {
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
			is.True(i >= 6) // those that fail most
		}
	}
	is.Equal(ejected, 3)
}
