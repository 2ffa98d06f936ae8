package membership

import (
	"slices"
	"time"
)

// originFor returns the origin with the identity, and creates it if necessary. A newer run of an entry replaces the known
// one. It returns nil if facts with this identity must be ignored because they are of an outdated run, of an entry that was
// removed, or of this entry. An identity of this entry may be of an earlier run, which the current run then supersedes.
func (n *Node) originFor(now time.Time, id *runIdentity) *origin {
	if id.id == n.identity.ID {
		n.supersede(now, id.epoch)
		return nil
	}
	if id.id == "" || id.epoch <= n.tombstones[id.id].epoch {
		return nil
	}
	m := n.members[id.id]
	if m == nil {
		m = &member{id: id.id, region: id.region}
		n.members[id.id] = m
	}
	if m.origin != nil && m.origin.epoch >= id.epoch {
		if m.origin.epoch > id.epoch {
			return nil
		}
		return m.origin
	}
	if m.origin != nil {
		n.removeOrigin(m.origin)
		delete(n.suspicions, m.id)
	}
	m.origin = newOrigin(id.id, id.region, id.epoch)
	m.region = id.region
	n.addOrigin(m.origin)
	return m.origin
}

// supersede starts a new run with a higher epoch if other entries know an earlier run of this entry whose epoch is higher
// than the current one. Otherwise they would ignore the facts of the current run.
func (n *Node) supersede(now time.Time, epoch uint64) {
	if epoch > n.local.epoch {
		n.startRun(now, epoch+1)
	}
}

// applyBlock applies the facts of the block that are newer than those held. If the block starts above the held version, so
// that facts in between are missing, it is ignored: a later exchange brings them all. It stops at the first invalid fact.
func (n *Node) applyBlock(now time.Time, o *origin, block *factBlock) {
	s := &o.streams[block.stream]
	if block.base > s.version {
		return
	}
	version := block.base
	for _, w := range block.facts {
		version += w.delta
		if version <= s.version {
			continue
		}
		if w.key.kind.stream() != block.stream {
			return
		}
		age := time.Duration(min(w.age, maxAgeUnits)) * ageUnit
		f := &fact{factKey: w.key, version: version, at: now.Add(-age), body: slices.Clone(w.body)}
		if o.apply(f) != nil {
			return
		}
		n.updateDerived(o, f)
	}
}

// updateDerived updates the state of the node that depends on facts of the same kind.
func (n *Node) updateDerived(o *origin, f *fact) {
	switch f.kind {
	case kindSelf:
		n.liveness.dirty = true
		n.watch.dirty = true
		if m := n.members[o.id]; m != nil && o.self.address != "" {
			m.address = o.self.address
		}
	case kindAccuse:
		n.liveness.dirty = true
	case kindFence:
		n.updateOwner(o, int(f.subkey))
	case kindName:
		n.watch.indexSlot(o, f.subkey)
	}
}

// updateOwner records the origin as the journal's owner if its fencing number is the highest so far.
func (n *Node) updateOwner(o *origin, journal int) {
	f := o.fences[journal]
	if f.number > n.owners[journal].number {
		n.owners[journal] = ownerRecord{number: f.number, entry: o.id, epoch: o.epoch}
	}
}
