package entry

import (
	"time"
)

const (
	// membershipPoll is the time between two reads of the membership list.
	membershipPoll = time.Second
	// reapEvery is the time between two looks for programs whose time is over.
	reapEvery = time.Second
)

// run starts the loops. Journals are looked at once the peers that answer are known.
func (e *Entry) run() {
	go func() {
		e.readMembers()
		if err := e.suspects.load(e.ctx); err != nil {
			e.log.Warn("crash suspects cannot be read", "error", err)
		}
		e.peers.beat(e.ctx, ms(e.settings.HeartbeatMS)).Wait()
		go e.followConfig()
		go e.every(membershipPoll, e.readMembers)
		go e.every(ms(e.settings.HeartbeatMS), func() { e.peers.beat(e.ctx, 2*ms(e.settings.HeartbeatMS)) })
		go e.every(reapEvery, e.reap)
		go newGiver(e).run()
		e.ownership.run(e.ctx)
	}()
}

// readMembers takes the membership list.
func (e *Entry) readMembers() {
	asked := time.Now()
	members, err := e.members.Members(e.ctx)
	if err != nil {
		e.log.Warn("membership list cannot be read", "error", err)
	}
	members = e.fleet.withServing(members)
	if len(members) > 0 {
		e.router.update(members)
		e.fleet.update(e.ctx, members)
		e.peers.update(members, e.settings.ID)
		e.tracker.SetPeers(e.peers.ids(), asked)
	}
}

// every runs f at once and then every d until the entry stops.
func (e *Entry) every(d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for e.ctx.Err() == nil {
		f()
		select {
		case <-e.ctx.Done():
		case <-ticker.C:
		}
	}
}

// reap ends programs whose time or idle time is over.
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
				e.log.Warn("program not ended", "program", tree.Root(), "error", err.Message)
			}
		}
	}
}
