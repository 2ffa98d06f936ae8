package membership

import (
	"slices"
	"time"
)

// originFor returns the origin that the part is about: known, or new. It returns nil when its facts are of no use.
func (n *Node) originFor(now time.Time, id *identity) *origin {
	if id.id == n.identity.ID {
		n.outlive(now, id.epoch)
		return nil
	}
	if id.id == "" || id.epoch <= n.forgot[id.id].epoch {
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
		n.detach(m.origin)
		delete(n.suspects, m.id)
	}
	m.origin = newOrigin(id.id, id.region, id.epoch)
	m.region = id.region
	n.attach(m.origin)
	return m.origin
}

// outlive raises this entry's epoch above that of an earlier run that others still know of.
func (n *Node) outlive(now time.Time, epoch uint64) {
	if epoch > n.me.epoch {
		n.begin(now, epoch+1)
	}
}

// applyPart takes the facts that are newer than those held. Facts above a gap are left for the next exchange.
func (n *Node) applyPart(now time.Time, o *origin, part *originPart) {
	s := &o.streams[part.stream]
	if part.base > s.version {
		return
	}
	version := part.base
	for _, w := range part.facts {
		version += w.delta
		if version <= s.version {
			continue
		}
		if w.key.kind.stream() != part.stream {
			return
		}
		age := time.Duration(min(w.age, maxAge)) * ageUnit
		f := &fact{factKey: w.key, version: version, at: now.Add(-age), body: slices.Clone(w.body)}
		if o.apply(f) != nil {
			return
		}
		n.noteFact(o, f)
	}
}

// noteFact brings what is derived from facts up to date.
func (n *Node) noteFact(o *origin, f *fact) {
	switch f.kind {
	case kindSelf:
		n.verdicts.dirty = true
		n.watching.dirty = true
		if m := n.members[o.id]; m != nil && o.self.address != "" {
			m.address = o.self.address
		}
	case kindAccuse:
		n.verdicts.dirty = true
	case kindFence:
		n.noteFence(o, int(f.sub))
	case kindName:
		n.watching.noteName(o, f.sub)
	}
}

// noteFence raises the highest fencing number of the journal.
func (n *Node) noteFence(o *origin, journal int) {
	f := o.fences[journal]
	if f.number > n.owners[journal].number {
		n.owners[journal] = ownerRecord{number: f.number, entry: o.id, epoch: o.epoch}
	}
}
