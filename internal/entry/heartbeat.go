package entry

import (
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// peerState returns this entry's state as it is sent in heartbeats to other entries.
func (e *Entry) peerState() api.PeerExchange {
	revision, age := e.tracker.Report(time.Now())
	return api.PeerExchange{
		Entry:          e.settings.ID,
		Incarnation:    e.incarnation,
		Address:        e.settings.Advertise,
		Leaving:        e.draining.Load(),
		ConfigRevision: revision,
		ConfigAgeMS:    ageMS(age),
		Fences:         e.ownership.fences(),
		Programs:       e.programCounts(),
		Suspects:       e.suspects.report(),
	}
}

// baseExchangeRequest returns the parts of a heartbeat that are the same for every sidecar.
func (e *Entry) baseExchangeRequest() api.ExchangeRequest {
	return api.ExchangeRequest{
		Entry:          e.settings.ID,
		Incarnation:    e.incarnation,
		ConfigRevision: e.tracker.Known(),
		Fences:         e.ownership.fences(),
		HoldMS:         e.settings.HoldMS,
		Suspects:       e.suspects.report(),
	}
}

// handleSidecarResponse applies a sidecar's answer to the heartbeat request, or a watcher's report, for which the request
// is empty. The sidecar's older calls are recorded only for ownerships whose fence was in the request, since the sidecar
// did not report calls for others.
func (e *Entry) handleSidecarResponse(id string, request *api.ExchangeRequest, r *api.ExchangeResponse) {
	for _, s := range e.ownership.all() {
		if slices.Contains(request.Fences, s.journal.Fence()) {
			s.recordOlderCalls(id, r.OlderCalls)
		}
	}
	e.router.reportLoad(id, r.Load)
	e.adoptHeldPrefixes(id, r.Held)
	e.mergeSuspects(r.Suspects)
	e.ownership.observeFences(r.Fences)
	e.tracker.Observe(r.ConfigRevision, policy.Source{Kind: policy.SourceWatch})
}
