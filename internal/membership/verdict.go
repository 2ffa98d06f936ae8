package membership

import "time"

// verdicts says which origins are accused and which are dead. A verdict of death stands until the dead entry refutes it.
type verdicts struct {
	dirty     bool
	standing  map[*origin]*charge
	condemned map[*origin]uint64 // To its refutations at the time.
}

// charge collects the accusations against one origin that it has not refuted.
type charge struct {
	by     []*origin
	deadBy []*origin
}

// dead reports whether the origin is taken for dead.
func (v *verdicts) dead(o *origin) bool {
	at, ok := v.condemned[o]
	return ok && at >= o.self.refutations
}

// accused reports whether anyone suspects the origin or asserts its death.
func (v *verdicts) accused(o *origin) bool { return v.standing[o] != nil || v.dead(o) }

// judge brings the verdicts up to date.
func (n *Node) judge(now time.Time) {
	v := &n.verdicts
	if !v.dirty {
		return
	}
	v.dirty = false
	if v.condemned == nil {
		v.condemned = make(map[*origin]uint64)
	}
	v.standing = n.charges()
	for o := range v.condemned {
		if !v.dead(o) || n.byKey[o.key] != o {
			delete(v.condemned, o)
			n.watching.dirty = true
		}
	}
	for changed := true; changed; {
		changed = false
		for o, c := range v.standing {
			if o != n.me && !v.dead(o) && n.enough(o, c) {
				n.condemn(now, o)
				changed = true
			}
		}
	}
	if n.verdicts.accused(n.me) {
		n.refute(now, n.me.self.refutations+1)
		v.dirty = true
	}
}

func (n *Node) condemn(now time.Time, o *origin) {
	n.verdicts.condemned[o] = o.self.refutations
	n.watching.dirty = true
	if m := n.members[o.id]; m != nil && !m.listed && m.unlistedAt.IsZero() {
		m.unlistedAt = now
	}
}

// charges collects the accusations that stand.
func (n *Node) charges() map[*origin]*charge {
	out := make(map[*origin]*charge)
	for _, by := range n.byKey {
		for key, a := range by.accused {
			o := n.byKey[key]
			if o == nil || o == by || a.withdrawn || a.refutations < o.self.refutations {
				continue
			}
			c := out[o]
			if c == nil {
				c = &charge{}
				out[o] = c
			}
			c.by = append(c.by, by)
			if a.dead {
				c.deadBy = append(c.deadBy, by)
			}
		}
	}
	return out
}

// enough reports whether the assertions of death suffice: from Config.Asserters live entries, or from all of the
// region that are neither dead nor accused.
func (n *Node) enough(o *origin, c *charge) bool {
	asserted := 0
	for _, by := range c.deadBy {
		if by.region == o.region && !n.verdicts.dead(by) {
			asserted++
		}
	}
	if asserted >= n.cfg.Asserters {
		return true
	}
	return asserted > 0 && asserted >= n.observers(o)
}

// observers counts the entries of the origin's region that can judge it.
func (n *Node) observers(o *origin) int {
	count := 0
	for _, other := range n.regionOf(o.region).origins {
		if other != o && (other == n.me || !n.verdicts.accused(other)) {
			count++
		}
	}
	return count
}
