package gateway

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/crashstore"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	suspectPrefix        = keyPrefix + "suspects/"
	suspectStoreInterval = 100 * time.Millisecond // Between checks for crashes to store.
	suspectReadInterval  = time.Second            // While other gateways do not answer the hub. They may follow another one.
)

// AllRecords implements crashstore.Memory.
func (s *suspects) AllRecords() []schedule.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Records()
}

// MergeStored implements crashstore.Memory.
func (s *suspects) MergeStored(records []schedule.CrashRecord) { s.merge(records, "store") }

// suspectStoreLoop stores the crash records while this process is the hub, until ctx ends. A gateway reads the stored ones when it
// starts, when it becomes the hub, and regularly while it is the hub of a part of the gateways only.
func (g *Gateway) suspectStoreLoop(ctx context.Context) {
	s := crashstore.New(suspectPrefix, g.suspects, g.store, g.batcher, g.log)
	var readAt time.Time
	wasHub := false
	for ctx.Err() == nil {
		isHub := g.isHub()
		isDue := isHub && g.group.Len() > len(g.group.Others())+1 && time.Since(readAt) > suspectReadInterval
		if readAt.IsZero() || isHub && !wasHub || isDue {
			fresh := ports.Stale
			if isHub {
				fresh = ports.Linearizable
			}
			if err := s.Read(ctx, fresh); err != nil {
				g.log.Debug("crash records not read", "error", err)
				g.store.pauseAfterFailure(ctx)
				continue
			}
			readAt = time.Now()
		}
		wasHub = isHub
		if isHub && g.store.outage() == nil {
			s.Write(ctx)
		}
		pause.For(ctx, suspectStoreInterval)
	}
}
