package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// progressQueue holds call progress that is still to be reported to the hubs that placed the calls. Progress is reported to
// the hub that placed the call even if another gateway is the hub by then: otherwise the former hub would still count the
// call if it became the hub again. It is safe for concurrent use.
type progressQueue struct {
	mu    sync.Mutex
	byHub map[string][]peers.CallProgress // Guarded by mu.
}

// maxQueuedProgress bounds what is queued for a hub that cannot be reached. Such a hub drops the calls after
// maxAssignmentAge.
const maxQueuedProgress = 4096

// add queues progress for a hub. It drops the progress if maxQueuedProgress entries are queued for that hub.
func (l *progressQueue) add(hub string, p peers.CallProgress) {
	p.Queued = time.Now()
	l.requeue(hub, []peers.CallProgress{p})
}

// requeue adds progress that could not be reported to the hub, unless the hub has dropped the calls by now.
func (l *progressQueue) requeue(hub string, list []peers.CallProgress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byHub == nil {
		l.byHub = make(map[string][]peers.CallProgress)
	}
	for _, p := range list {
		if len(l.byHub[hub]) < maxQueuedProgress && time.Since(p.Queued) <= maxAssignmentAge {
			l.byHub[hub] = append(l.byHub[hub], p)
		}
	}
}

// take removes and returns the progress to report to the hub.
func (l *progressQueue) take(hub string) []peers.CallProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byHub[hub]
	delete(l.byHub, hub)
	return list
}

// hubs returns the ids of the hubs for which progress is queued.
func (l *progressQueue) hubs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.byHub))
}

// progressInterval is how long progress may wait for a PlaceRequest that carries it, before it is sent separately.
const progressInterval = 30 * time.Millisecond

// progressLoop sends queued progress that no PlaceRequest has carried, until ctx ends.
func (g *Gateway) progressLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, progressInterval)
		g.flushReturns()
		for _, hub := range g.progressQueue.hubs() {
			g.sendProgress(ctx, hub)
		}
	}
}

// sendProgress sends the queued progress to one hub. While the hub does not answer, the progress stays queued: the hub may be
// back, and the hub again, before it drops the calls, and would take its engines for full.
func (g *Gateway) sendProgress(ctx context.Context, hub string) {
	list := g.progressQueue.take(hub)
	member, ok := g.group.Find(hub)
	if !ok {
		g.progressQueue.requeue(hub, list)
		return
	}
	if len(list) == 0 {
		return
	}
	err := g.client.Progress(ctx, member, g.settings.ID, list)
	if err == nil {
		return
	}
	g.progressQueue.requeue(hub, list)
	if g.group.MarkFailed(hub) {
		g.log.Warn("dependency lost", "dependency", "gateway "+hub, "error", err)
	}
}

// recordStart records that the server has processed the prompt, and queues this as progress for the hub.
func (x *exchange) recordStart(p placement) {
	if p.ticket.markStarted() && p.byPeer {
		x.g.progressQueue.add(p.by, peers.CallProgress{Call: x.call.ID, Started: true})
	}
}

// recordOutcome records how the call ended at the server: for the health of the server, and for the crash suspects.
func (x *exchange) recordOutcome(ctx context.Context, p placement, err error) {
	x.recordEnd(p, serverOutcome(ctx, p, err), x.times)
	x.recordPossibleCrash(ctx, p, err)
}

// recordEnd ends the call's ticket at the server, and queues the end as progress for the hub. times are those of a turn, or nil.
// It does nothing if the end was recorded before, while the caller still took events.
func (x *exchange) recordEnd(p placement, o outcome, times *peers.TurnTimes) {
	if !p.ticket.ending.CompareAndSwap(false, true) {
		return
	}
	o, times = x.judgeAnswer(o, times)
	if p.byPeer {
		x.g.progressQueue.add(p.by, peers.CallProgress{Call: x.call.ID, Ended: true, Outcome: int(o), Times: times})
	} else {
		p.ticket.observeTurn(times)
	}
	p.ticket.end(o)
}
