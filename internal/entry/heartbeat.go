package entry

import (
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// peerState is this entry's heartbeat to other entries.
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

// exchangeRequest is the part of a heartbeat that is equal for every sidecar.
func (e *Entry) exchangeRequest() api.ExchangeRequest {
	return api.ExchangeRequest{
		Entry:          e.settings.ID,
		Incarnation:    e.incarnation,
		ConfigRevision: e.tracker.Known(),
		Fences:         e.ownership.fences(),
		HoldMS:         e.settings.HoldMS,
		Suspects:       e.suspects.report(),
	}
}

// sidecarAnswered takes what a sidecar said beyond its load.
func (e *Entry) sidecarAnswered(id string, asked *api.ExchangeRequest, r *api.ExchangeResponse) {
	for _, s := range e.ownership.all() {
		if slices.Contains(asked.Fences, s.journal.Fence()) {
			s.noteOlder(id, r.OlderCalls)
		}
	}
	e.router.report(id, r.Load)
	e.adoptHeld(id, r.Held)
	e.learnSuspects(r.Suspects)
	e.ownership.observe(r.Fences)
	e.tracker.Observe(r.ConfigRevision, policy.Source{Kind: policy.SourceWatch})
}
