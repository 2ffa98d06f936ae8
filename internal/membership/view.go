package membership

import (
	"slices"
	"time"
)

// State is the state of an entry in a node's view.
type State int

// States of an entry.
const (
	Unknown     State = iota // The entry is listed, but no facts about it have been received.
	Alive                    // No accusation is open.
	Suspected                // Accused of not answering. The entry may still refute that.
	Dead                     // Enough entries of its region asserted its death.
	Unreachable              // No entry of its region was heard from recently, so its current state is not known.
)

// EntryView is what a node knows about another entry.
type EntryView struct {
	ID            string
	Region        string
	FailureDomain string
	Address       string
	Incarnation   string // Empty in state Unknown.
	State         State
	Leaving       bool
	Age           time.Duration // Since this node last heard from the entry itself; negative: never.
}

// SidecarView is what a node knows about a backend server.
type SidecarView struct {
	Status  Status // The newest status that a watcher published.
	Load    Load
	Age     time.Duration // Since its last answer to any watcher, as far as this node knows.
	LoadAge time.Duration // Age of Load; negative: no load was received.
}

// Entry returns the view of another entry. ok is false if the entry is not known.
func (n *Node) Entry(now time.Time, id string) (view EntryView, ok bool) {
	m := n.members[id]
	if m == nil {
		return EntryView{}, false
	}
	return n.view(now, m), true
}

// Entries returns the views of all other entries, sorted by id.
func (n *Node) Entries(now time.Time) []EntryView {
	ids := n.memberIDs(func(*member) bool { return true })
	out := make([]EntryView, 0, len(ids))
	for _, id := range ids {
		out = append(out, n.view(now, n.members[id]))
	}
	return out
}

// view returns the view of the member.
func (n *Node) view(now time.Time, m *member) EntryView {
	v := EntryView{ID: m.id, Region: m.region, Address: m.address, State: n.state(now, m), Age: -1}
	if !m.heardAt.IsZero() {
		v.Age = now.Sub(m.heardAt)
	}
	if m.origin != nil {
		s := &m.origin.self
		v.FailureDomain, v.Incarnation, v.Leaving = s.domain, s.incarnation, s.leaving
	}
	return v
}

// state returns the state of the member. Dead takes precedence over Unreachable, and Unreachable over Suspected.
func (n *Node) state(now time.Time, m *member) State {
	switch {
	case m.origin == nil:
		return Unknown
	case n.liveness.dead(m.origin):
		return Dead
	case m.region != n.identity.Region && n.RegionAge(now, m.region) > n.cfg.SilentAfter:
		return Unreachable
	case n.liveness.accused(m.origin):
		return Suspected
	}
	return Alive
}

// RegionAge returns the time since any entry of this region received a packet directly from the named region, as far as
// this node knows. It is the longest possible duration if that never happened, and 0 for this entry's own region.
func (n *Node) RegionAge(now time.Time, name string) time.Duration {
	if name == n.identity.Region {
		return 0
	}
	r := n.regions[regionKey(name)]
	if r == nil || r.heardAt.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(r.heardAt)
}

// SetFences publishes which journals this entry owns. A journal that was in an earlier call and is missing now counts as
// handed over.
func (n *Node) SetFences(now time.Time, fences []Fence) {
	held := make(map[int]uint64, len(fences))
	for _, f := range fences {
		held[f.Journal] = f.Number
		n.setFence(now, f.Journal, fenceFact{number: f.Number, held: true})
	}
	for journal, f := range n.local.fences {
		if _, ok := held[journal]; !ok && f.held {
			n.setFence(now, journal, fenceFact{number: f.number})
		}
	}
}

// setFence publishes the ownership if it has changed. A fencing number below the published one is ignored.
func (n *Node) setFence(now time.Time, journal int, f fenceFact) {
	known := n.local.fences[journal]
	if f == known || f.number < known.number || journal < 0 || journal >= subkeyLimit {
		return
	}
	n.publish(now, factKey{kind: kindFence, subkey: uint64(journal)}, f.encode())
}

// Owner returns the entry that owns the journal under the highest known fencing number. ok is false if no number is known, or
// if that entry is dead, has been restarted or removed, or has handed the journal over. The number is returned in any case
// and never decreases.
func (n *Node) Owner(now time.Time, journal int) (owner EntryView, number uint64, ok bool) {
	r, known := n.owners[journal]
	if !known {
		return EntryView{}, 0, false
	}
	if r.entry == n.identity.ID {
		f := n.local.fences[journal]
		return EntryView{ID: r.entry, Address: n.identity.Address, State: Alive}, r.number, f.held && f.number == r.number
	}
	m := n.members[r.entry]
	if m == nil || m.origin == nil || m.origin.epoch != r.epoch {
		return EntryView{}, r.number, false
	}
	f := m.origin.fences[journal]
	owner = n.view(now, m)
	return owner, r.number, f.held && f.number == r.number && owner.State != Dead
}

// Sidecar returns the view of a backend server of this region. ok is false if no status of it is known.
func (n *Node) Sidecar(now time.Time, id string) (view SidecarView, ok bool) {
	var evidence, answeredAt, loadAt time.Time
	for _, r := range n.watch.reporters[id] {
		s := r.origin.watchSlots[r.slot]
		if s == nil || s.name != id || !s.hasStatus || n.byKey[r.origin.key] != r.origin {
			continue
		}
		if at := s.evidenceAt(); !ok || at.After(evidence) {
			view.Status, evidence, ok = s.status, at, true
		}
		answeredAt = later(answeredAt, s.confirmedAt)
		if s.loadAt.After(loadAt) {
			view.Load, loadAt = s.load, s.loadAt
		}
	}
	view.Age, view.LoadAge = now.Sub(answeredAt), -1
	if !loadAt.IsZero() {
		view.LoadAge = now.Sub(loadAt)
	}
	return view, ok
}

// Unconfirmed returns the listed backend servers that, as far as this node knows, have not answered any watcher for longer
// than the bound.
func (n *Node) Unconfirmed(now time.Time, bound time.Duration) []string {
	var out []string
	for _, id := range n.watch.sidecars {
		view, ok := n.Sidecar(now, id)
		if !ok || view.Age > bound {
			out = append(out, id)
		}
	}
	return out
}

// maxCrashReports is the maximum number of crash reports that one entry publishes.
const maxCrashReports = 64

// ReportCrash publishes that a request body was being run when backend servers crashed. It replaces an earlier report of
// the same request body. If there are maxCrashReports already, the oldest one is overwritten.
func (n *Node) ReportCrash(now time.Time, c Crash) {
	position := slices.Index(n.crashFingerprints, c.Fingerprint)
	switch {
	case position >= 0:
	case len(n.crashFingerprints) < maxCrashReports:
		position = len(n.crashFingerprints)
		n.crashFingerprints = append(n.crashFingerprints, c.Fingerprint)
	default:
		position = n.nextCrash
		n.crashFingerprints[position] = c.Fingerprint
		n.nextCrash = (n.nextCrash + 1) % maxCrashReports
	}
	key := factKey{kind: kindCrash, subkey: uint64(position)}
	body := c.encode()
	if known := n.local.streams[streamGlobal].facts[key]; known == nil || string(known.body) != string(body) {
		n.publish(now, key, body)
	}
}

// Crashes returns the reports of all entries. The caller must not count a crash twice that several entries report: it has
// the same id in all of them.
func (n *Node) Crashes() []Crash {
	var out []Crash
	for _, o := range n.byKey {
		for key, f := range o.streams[streamGlobal].facts {
			if key.kind != kindCrash {
				continue
			}
			if c, err := decodeCrash(f.body); err == nil {
				out = append(out, c)
			}
		}
	}
	return out
}

// Owners returns the highest known fencing number of each journal, sorted by journal.
func (n *Node) Owners() []Fence {
	out := make([]Fence, 0, len(n.owners))
	for journal, r := range n.owners {
		out = append(out, Fence{Journal: journal, Number: r.number})
	}
	slices.SortFunc(out, func(a, b Fence) int { return a.Journal - b.Journal })
	return out
}
