package schedule

import "slices"

// LargeRequest is the size from which requests count towards the bytes in flight to a server, and are placed by them. A server that
// holds more bytes of requests than its memory crashes; requests of a usual size never add up to that.
const LargeRequest = 64 << 10

// cacheWorth is how many more bytes than another an engine may hold and still get a large request: elsewhere the prompt would have
// to be processed again.
const cacheWorth = 1 << 20

// lateSamples is the number of random servers among which a process chooses that knows the bytes of others late: if all chose the
// same server by the same late view, they would fill it. In the simulation of the tests the fullest server holds 2.4 times the mean
// with two samples, 3.4 times with all servers, and 7.5 times if bytes do not count.
const lateSamples = 2

// SpreadBytes returns the positions of the candidates that may get a request of the given size, by the bytes of large requests that
// are in flight to them: all for a request that is not large, otherwise those with the fewest bytes, of a sample unless all bytes in
// flight are known (current). Servers that are suspended, at their limit or without a free slot do not count unless there is no other.
// Candidates that differ by less than the request itself are equal.
//
// It answers a few large requests among many small ones, for which a server looks idle by its calls while it is full by its memory.
func SpreadBytes(candidates []PlacementCandidate, size int64, engines, current bool, random Random) []int {
	all := allPositions(candidates)
	if size < LargeRequest {
		return all
	}
	var free []int
	for _, i := range all {
		if c := &candidates[i]; !c.Suspended && c.LimitWait == 0 && c.Calls < c.Slots {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		free = all
	}
	if len(free) == 0 {
		return nil
	}
	slack := size
	if engines {
		slack = max(slack, cacheWorth)
	}
	if !current {
		free = sample(free, lateSamples, random)
	}
	fewest := candidates[free[0]].RequestBytes
	for _, i := range free {
		fewest = min(fewest, candidates[i].RequestBytes)
	}
	return slices.DeleteFunc(free, func(i int) bool { return candidates[i].RequestBytes >= fewest+slack })
}
