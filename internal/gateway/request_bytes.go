package gateway

import (
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// A backend server that holds more bytes of requests than its memory crashes. The bytes of large requests in flight to each server
// are part of the loads that gateways report.

// largeBytes returns the size of the body if it is large, and 0 otherwise.
func largeBytes(body []byte) int64 {
	if len(body) < schedule.LargeRequest {
		return 0
	}
	return int64(len(body))
}

// spreadBytes returns the candidates, and their servers, that may get the large request.
func spreadBytes(
	candidates []schedule.PlacementCandidate, servers []*fleet.BackendServer, engines bool, r placeRequest,
) ([]schedule.PlacementCandidate, []*fleet.BackendServer) {
	var keptCandidates []schedule.PlacementCandidate
	var keptServers []*fleet.BackendServer
	for _, i := range schedule.SpreadBytes(candidates, r.requestBytes, engines, r.allCallsKnown, random{}) {
		keptCandidates, keptServers = append(keptCandidates, candidates[i]), append(keptServers, servers[i])
	}
	return keptCandidates, keptServers
}
