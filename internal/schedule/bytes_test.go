package schedule_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

func TestLargeRequestGoesWhereTheFewestBytesAre(t *testing.T) {
	is := is.New(t)
	candidates := []schedule.PlacementCandidate{
		{Slots: 6, RequestBytes: 3 << 20},
		{Slots: 6, RequestBytes: 1 << 20},
		{Slots: 6, RequestBytes: 1<<20 + 50<<10},
		{Slots: 6, Calls: 6},
		{Slots: 6, Suspended: true},
		{Slots: 6, LimitWait: 1},
	}
	is.Equal(schedule.SpreadBytes(candidates, schedule.LargeRequest-1, false, true, nil), []int{0, 1, 2, 3, 4, 5}) // as before
	is.Equal(schedule.SpreadBytes(candidates, schedule.LargeRequest, false, true, nil), []int{1, 2})
	is.Equal(schedule.SpreadBytes(candidates[3:], schedule.LargeRequest, false, true, nil), []int{0, 1, 2}) // none is free
	is.Equal(schedule.SpreadBytes(candidates[:3], 3<<20, false, true, nil), []int{0, 1, 2})                 // no difference beside the request
	is.Equal(schedule.SpreadBytes([]schedule.PlacementCandidate{{Slots: 6, RequestBytes: 1<<20 - 1}, {Slots: 6}}, schedule.LargeRequest, true, true, nil),
		[]int{0, 1}) // an engine's cache is worth more
}

// Guards against a server that runs out of memory because several gateways, each with a late view of the others, send it their large
// requests. Ten gateways place 400 kB for 25 steps each at 20 servers. The loads of others are known ten steps late.
func TestLargeRequestsOfManyGatewaysAreSpread(t *testing.T) {
	const gateways, servers, steps, delay, lasts, size = 10, 20, 400, 10, 25, int64(400 << 10)
	mostAtOneServer := func(spread bool) int64 {
		random := rand.New(rand.NewPCG(1, 2))
		costs := schedule.DefaultPlacementCosts()
		var own, ended [gateways][servers][steps + lasts + 1]int64 // Bytes in flight after a step; ended before it.
		most := int64(0)
		for step := 1; step < steps; step++ {
			for g := range gateways {
				for s := range servers {
					own[g][s][step] = own[g][s][step-1] - ended[g][s][step]
				}
				if random.IntN(2) == 0 {
					continue
				}
				candidates := make([]schedule.PlacementCandidate, servers)
				for s := range servers {
					// Each gateway is connected to two servers of its own and two that all are connected to.
					c := schedule.PlacementCandidate{Slots: 6, Local: true, Connected: s < 2 || s/2 == g+1, RequestBytes: own[g][s][step]}
					for other := range gateways {
						if other != g {
							c.RequestBytes += own[other][s][max(step-delay, 0)]
						}
					}
					candidates[s] = c
				}
				kept := schedule.SpreadBytes(candidates, size, false, false, random)
				if !spread {
					kept = schedule.SpreadBytes(candidates, 0, false, false, random)
				}
				list := make([]schedule.PlacementCandidate, len(kept))
				for i, position := range kept {
					list[i] = candidates[position]
				}
				chosen := kept[costs.BestService(list, random)]
				own[g][chosen][step] += size
				ended[g][chosen][step+lasts] += size
			}
			for s := range servers {
				sum := int64(0)
				for g := range gateways {
					sum += own[g][s][step]
				}
				most = max(most, sum)
			}
		}
		return most
	}
	is := is.New(t)
	mean := size * gateways / 2 * lasts / servers
	spread, before := mostAtOneServer(true), mostAtOneServer(false)
	t.Logf("mean %d kB, most at one server %d kB, by connections alone %d kB", mean>>10, spread>>10, before>>10)
	is.True(spread < 3*mean)
	is.True(before > 5*mean)
}
