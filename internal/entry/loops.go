package entry

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/guard"
)

const (
	// membershipInterval is the time between two reads of the membership list.
	membershipInterval = time.Second
	// reapInterval is the time between two checks for programs whose time limit has passed.
	reapInterval = time.Second
)

// startLoops starts the background loops. Journals are taken only after the first heartbeats to the peers, so that the
// peers that answer are known.
func (e *Entry) startLoops() {
	go func() {
		e.refreshMembers()
		if err := e.suspects.load(e.ctx); err != nil {
			e.log.Warn("crash suspects cannot be read", "error", err)
		}
		e.peers.sendHeartbeats(e.ctx, ms(e.settings.HeartbeatMS)).Wait()
		go guard.Loop(e.ctx, e.log, "followConfig", func(context.Context) { e.followConfig() })
		go e.runEvery(membershipInterval, e.refreshMembers)
		go e.runEvery(ms(e.settings.HeartbeatMS), func() { e.peers.sendHeartbeats(e.ctx, 2*ms(e.settings.HeartbeatMS)) })
		go e.runEvery(reapInterval, e.reap)
		go guard.Loop(e.ctx, e.log, "orders", func(context.Context) { newOrderDispatcher(e).run() })
		e.ownership.run(e.ctx)
	}()
}

// refreshMembers reads the membership list and applies it. If it cannot be read or is empty, the last one stays in use.
func (e *Entry) refreshMembers() {
	requestedAt := time.Now()
	members, err := e.membership.Members(e.ctx)
	if err != nil {
		e.log.Warn("membership list cannot be read", "error", err)
	}
	members = e.fleet.withServing(members)
	if len(members) > 0 {
		e.router.update(members)
		e.fleet.update(e.ctx, members)
		e.peers.update(members, e.settings.ID)
		e.tracker.SetPeers(e.peers.ids(), requestedAt)
	}
}

// runEvery runs f immediately and then at every interval of d until the entry stops.
func (e *Entry) runEvery(d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for e.ctx.Err() == nil {
		_ = guard.Run(e.log, "loop", f) // Logged; the next run may succeed.
		select {
		case <-e.ctx.Done():
		case <-ticker.C:
		}
	}
}

// reap ends programs whose time limit or idle timeout has passed. It also removes expired tombstones and evicts histories
// beyond HistoryBytes from memory. Each owned journal gets an equal share of HistoryBytes.
func (e *Entry) reap() {
	now := time.Now().UnixMilli()
	shards := e.ownership.all()
	for _, s := range shards {
		s.store.ExpireTombstones(now)
		s.store.Evict(e.settings.HistoryBytes / len(shards))
		for _, tree := range s.store.Trees() {
			reason := tree.ExpiryReason(now)
			if reason == "" {
				continue
			}
			if err := e.endProgram(s, tree.Root(), reason); err != nil {
				e.log.Warn("overdue program not ended", "program", tree.Root(), "error", err.Message)
			}
		}
	}
}
