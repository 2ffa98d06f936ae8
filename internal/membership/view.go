package membership

import (
	"slices"
	"time"
)

// State is what a node takes an entry for.
type State int

// States of an entry.
const (
	Unknown     State = iota // Listed, and never heard of.
	Alive                    // No accusation stands.
	Suspected                // Accused of silence; it may still refute.
	Dead                     // Enough entries of its region assert its death.
	Unreachable              // Nothing was heard of its region lately: nothing is known of it.
)

// EntryView is what a node knows of an entry.
type EntryView struct {
	ID            string
	Region        string
	FailureDomain string
	Address       string
	Incarnation   string // Empty while unknown.
	State         State
	Leaving       bool
	Age           time.Duration // Since a packet came from the entry itself; negative: never.
}

// SidecarView is what a node knows of a backend server.
type SidecarView struct {
	Status  Status // The newest word of any watcher.
	Load    Load
	Age     time.Duration // Since its last answer to a watcher that this node has heard of.
	LoadAge time.Duration // Of Load; negative: none was heard.
}

// Entry returns the view of another entry; ok is false when it was never listed or heard of.
func (n *Node) Entry(now time.Time, id string) (view EntryView, ok bool) {
	m := n.members[id]
	if m == nil {
		return EntryView{}, false
	}
	return n.view(now, m), true
}

// Entries returns the views of all other entries, in the order of their ids.
func (n *Node) Entries(now time.Time) []EntryView {
	ids := n.ids(func(*member) bool { return true })
	out := make([]EntryView, 0, len(ids))
	for _, id := range ids {
		out = append(out, n.view(now, n.members[id]))
	}
	return out
}

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

func (n *Node) state(now time.Time, m *member) State {
	switch {
	case m.origin == nil:
		return Unknown
	case n.verdicts.dead(m.origin):
		return Dead
	case m.region != n.identity.Region && n.RegionAge(now, m.region) > n.cfg.SilentAfter:
		return Unreachable
	case n.verdicts.accused(m.origin):
		return Suspected
	}
	return Alive
}

// RegionAge returns how long ago any entry of this region heard directly from the region, as far as this node knows.
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

// SetFences tells the others which journals this entry owns. Journals that are missing have been handed over.
func (n *Node) SetFences(now time.Time, fences []Fence) {
	held := make(map[int]uint64, len(fences))
	for _, f := range fences {
		held[f.Journal] = f.Number
		n.setFence(now, f.Journal, fenceFact{number: f.Number, held: true})
	}
	for journal, f := range n.me.fences {
		if _, ok := held[journal]; !ok && f.held {
			n.setFence(now, journal, fenceFact{number: f.number})
		}
	}
}

// setFence publishes a change. A lower fencing number than one told before is ignored.
func (n *Node) setFence(now time.Time, journal int, f fenceFact) {
	known := n.me.fences[journal]
	if f == known || f.number < known.number || journal < 0 || journal >= maxSlot {
		return
	}
	n.publish(now, factKey{kind: kindFence, sub: uint64(journal)}, f.encode())
}

// Owner returns the live entry that holds the journal under the highest fencing number heard of. While that owner is
// dead or has handed the journal over, ok is false; the number is given all the same, and never falls.
func (n *Node) Owner(now time.Time, journal int) (owner EntryView, number uint64, ok bool) {
	r, known := n.owners[journal]
	if !known {
		return EntryView{}, 0, false
	}
	if r.entry == n.identity.ID {
		f := n.me.fences[journal]
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

// Sidecar returns the view of a backend server of this region; ok is false while no live watcher has told of it.
func (n *Node) Sidecar(now time.Time, id string) (view SidecarView, ok bool) {
	var evidence, seen, loaded time.Time
	for _, r := range n.watching.reporters[id] {
		s := r.origin.slots[r.slot]
		if s == nil || s.name != id || !s.hasStatus || n.byKey[r.origin.key] != r.origin {
			continue
		}
		if at := s.evidenceAt(); !ok || at.After(evidence) {
			view.Status, evidence, ok = s.status, at, true
		}
		seen = later(seen, s.confirmedAt)
		if s.loadAt.After(loaded) {
			view.Load, loaded = s.load, s.loadAt
		}
	}
	view.Age, view.LoadAge = now.Sub(seen), -1
	if !loaded.IsZero() {
		view.LoadAge = now.Sub(loaded)
	}
	return view, ok
}

// Unwatched returns the listed backend servers of which no watcher has had an answer for longer than the bound.
func (n *Node) Unwatched(now time.Time, bound time.Duration) []string {
	var out []string
	for _, id := range n.watching.sidecars {
		view, ok := n.Sidecar(now, id)
		if !ok || view.Age > bound {
			out = append(out, id)
		}
	}
	return out
}

// maxCrashesTold bounds the crash reports that one entry publishes.
const maxCrashesTold = 64

// ReportCrash tells the others of a request body that was running when backend servers died. The oldest of
// maxCrashesTold reports makes room.
func (n *Node) ReportCrash(now time.Time, c Crash) {
	at := slices.Index(n.crashes, c.Fingerprint)
	switch {
	case at >= 0:
	case len(n.crashes) < maxCrashesTold:
		at = len(n.crashes)
		n.crashes = append(n.crashes, c.Fingerprint)
	default:
		at = n.nextTold
		n.crashes[at] = c.Fingerprint
		n.nextTold = (n.nextTold + 1) % maxCrashesTold
	}
	key := factKey{kind: kindCrash, sub: uint64(at)}
	body := c.encode()
	if known := n.me.streams[streamGlobal].facts[key]; known == nil || string(known.body) != string(body) {
		n.publish(now, key, body)
	}
}

// Crashes returns what every entry has reported. The receiver counts crashes by their ids.
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

// Owners returns the highest fencing number heard of each journal, in the order of the journals.
func (n *Node) Owners() []Fence {
	out := make([]Fence, 0, len(n.owners))
	for journal, r := range n.owners {
		out = append(out, Fence{Journal: journal, Number: r.number})
	}
	slices.SortFunc(out, func(a, b Fence) int { return a.Journal - b.Journal })
	return out
}
