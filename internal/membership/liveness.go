package membership

import "time"

// livenessState records which origins are accused and which are declared dead. An origin remains dead until it refutes.
type livenessState struct {
	dirty        bool                         // The fields below must be recomputed.
	open         map[*origin]*openAccusations // By the accused origin.
	declaredDead map[*origin]uint64           // Values: refutation counter of the origin when it was declared dead.
}

// openAccusations are the accusations against one origin that are neither withdrawn nor refuted.
type openAccusations struct {
	accusedBy      []*origin // Origins that suspect it or assert its death.
	assertedDeadBy []*origin // Those that assert its death.
}

// dead reports whether the origin is declared dead and has not refuted that.
func (l *livenessState) dead(o *origin) bool {
	refutations, ok := l.declaredDead[o]
	return ok && refutations >= o.self.refutations
}

// accused reports whether any entry suspects the origin or asserts its death, or it is declared dead.
func (l *livenessState) accused(o *origin) bool { return l.open[o] != nil || l.dead(o) }

// updateLiveness recomputes which origins are accused and dead if facts have changed. Declaring an origin dead reduces the
// number of entries that must assert other deaths, so this step is repeated until nothing changes. If this entry is
// accused, it refutes that.
func (n *Node) updateLiveness(now time.Time) {
	l := &n.liveness
	if !l.dirty {
		return
	}
	l.dirty = false
	if l.declaredDead == nil {
		l.declaredDead = make(map[*origin]uint64)
	}
	l.open = n.collectAccusations()
	for o := range l.declaredDead {
		if !l.dead(o) || n.byKey[o.key] != o {
			delete(l.declaredDead, o)
			n.watch.dirty = true
		}
	}
	for changed := true; changed; {
		changed = false
		for o, accusations := range l.open {
			if o != n.local && !l.dead(o) && n.deathAsserted(o, accusations) {
				n.declareDead(now, o)
				changed = true
			}
		}
	}
	if n.liveness.accused(n.local) {
		n.refute(now, n.local.self.refutations+1)
		l.dirty = true
	}
}

// declareDead marks the origin dead. For an entry that was never on the membership list, Config.ForgetAfter starts now.
func (n *Node) declareDead(now time.Time, o *origin) {
	n.liveness.declaredDead[o] = o.self.refutations
	n.watch.dirty = true
	if m := n.members[o.id]; m != nil && !m.listed && m.unlistedAt.IsZero() {
		m.unlistedAt = now
	}
}

// collectAccusations returns the accusations that are neither withdrawn nor refuted, by the accused origin.
func (n *Node) collectAccusations() map[*origin]*openAccusations {
	out := make(map[*origin]*openAccusations)
	for _, by := range n.byKey {
		for key, a := range by.accusations {
			o := n.byKey[key]
			if o == nil || o == by || a.withdrawn || a.refutations < o.self.refutations {
				continue
			}
			accusations := out[o]
			if accusations == nil {
				accusations = &openAccusations{}
				out[o] = accusations
			}
			accusations.accusedBy = append(accusations.accusedBy, by)
			if a.dead {
				accusations.assertedDeadBy = append(accusations.assertedDeadBy, by)
			}
		}
	}
	return out
}

// deathAsserted reports whether enough entries of the origin's region that are not dead assert its death: Config.Asserters
// of them, or as many as there are observers if these are fewer.
func (n *Node) deathAsserted(o *origin, accusations *openAccusations) bool {
	asserted := 0
	for _, by := range accusations.assertedDeadBy {
		if by.region == o.region && !n.liveness.dead(by) {
			asserted++
		}
	}
	if asserted >= n.cfg.Asserters {
		return true
	}
	return asserted > 0 && asserted >= n.observerCount(o)
}

// observerCount returns the number of other entries of the origin's region that are not accused. This entry always counts.
func (n *Node) observerCount(o *origin) int {
	count := 0
	for _, other := range n.regionOf(o.region).origins {
		if other != o && (other == n.local || !n.liveness.accused(other)) {
			count++
		}
	}
	return count
}
