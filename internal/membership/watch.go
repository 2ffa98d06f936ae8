package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// smallLoadTimes is how many times longer small changes of a load wait to be published.
const smallLoadTimes = 4

// watching is what this entry publishes of the backend servers that it watches, and an index of what others publish.
type watching struct {
	sidecars  []string            // Ids of the region's backend servers, as listed.
	ranks     map[string][]string // To the watchers, first the one that publishes loads.
	mine      map[string]*watched
	reporters map[string][]report
	dirty     bool // The live entries or the backend servers have changed.
	nextTell  time.Time
}

// watched is a backend server that this entry watches.
type watched struct {
	slot       uint64
	answeredAt time.Time // Last answer that was not yet confirmed to others; zero: none.
	status     Status
	load       Load
	told       bool // The status was published.
	loadToldAt time.Time
}

// report points at an origin's slot for a backend server.
type report struct {
	origin *origin
	slot   uint64
}

func newWatching() watching {
	return watching{
		ranks:     make(map[string][]string),
		mine:      make(map[string]*watched),
		reporters: make(map[string][]report),
	}
}

// noteName keeps the index of reporters. Stale reports are dropped when they are read.
func (w *watching) noteName(o *origin, number uint64) {
	s := o.slots[number]
	if s == nil {
		return
	}
	r := report{origin: o, slot: number}
	if !slices.Contains(w.reporters[s.name], r) {
		w.reporters[s.name] = append(w.reporters[s.name], r)
	}
}

func (w *watching) forget(o *origin) {
	for name, reports := range w.reporters {
		reports = slices.DeleteFunc(reports, func(r report) bool { return r.origin == o })
		w.reporters[name] = reports
		if len(reports) == 0 {
			delete(w.reporters, name)
		}
	}
}

// SetSidecars takes the ids of the backend servers of this region.
func (n *Node) SetSidecars(now time.Time, ids []string) {
	list := slices.Clone(ids)
	slices.Sort(list)
	if slices.Equal(list, n.watching.sidecars) {
		return
	}
	n.watching.sidecars = list
	n.watching.dirty = true
	n.assign(now)
}

// Watchers returns the entries that watch the backend server, first the one that publishes its load.
func (n *Node) Watchers(now time.Time, sidecar string) []string {
	n.assign(now)
	return n.watching.ranks[sidecar]
}

// Rank returns this entry's place among the watchers of the backend server, or -1.
func (n *Node) Rank(now time.Time, sidecar string) int {
	return slices.Index(n.Watchers(now, sidecar), n.identity.ID)
}

// assign chooses the watchers anew after a change of the live entries or the backend servers.
func (n *Node) assign(now time.Time) {
	w := &n.watching
	if !w.dirty {
		return
	}
	w.dirty = false
	live := n.inRegion(func(m *member) bool {
		if m.origin == nil {
			return !n.grown && m.listed
		}
		return !n.isDead(m) && !m.origin.self.leaving
	})
	if !n.me.self.leaving {
		live = append(live, n.identity.ID)
	}
	count := n.cfg.Watchers
	if len(live) <= n.cfg.FullMesh {
		count = len(live)
	}
	clear(w.ranks)
	seeds := seedsOf(live)
	for _, id := range w.sidecars {
		w.ranks[id] = top(id, seeds, count)
	}
	for id, mine := range w.mine {
		if !slices.Contains(w.ranks[id], n.identity.ID) {
			n.publish(now, factKey{kind: kindName, sub: mine.slot}, appendString(nil, ""))
			delete(w.mine, id)
		}
	}
}

// seed is an entry's part of the rendezvous hash.
type seed struct {
	id   string
	hash uint64
}

func seedsOf(ids []string) []seed {
	out := make([]seed, 0, len(ids))
	for _, id := range ids {
		out = append(out, seed{id: id, hash: xxhash.Sum64String(id)})
	}
	return out
}

// top returns the entries with the highest rendezvous hashes for the id, highest first.
func top(id string, seeds []seed, count int) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	best := make([]ranked, 0, count+1)
	own := xxhash.Sum64String(id)
	var key [16]byte
	for _, s := range seeds {
		binary.LittleEndian.PutUint64(key[:8], own)
		binary.LittleEndian.PutUint64(key[8:], s.hash)
		r := ranked{id: s.id, hash: xxhash.Sum64(key[:])}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
		})
		if at < count {
			best = slices.Insert(best, at, r)[:min(len(best)+1, count)]
		}
	}
	out := make([]string, 0, len(best))
	for _, r := range best {
		out = append(out, r.id)
	}
	return out
}

// ReportSidecar takes a watched backend server's own answer. Answers of others are ignored.
func (n *Node) ReportSidecar(now time.Time, id string, status Status, load Load) {
	rank := n.Rank(now, id)
	if rank < 0 {
		return
	}
	w := n.watched(now, id)
	w.answeredAt = now
	if !w.told || w.status != status {
		w.told, w.status = true, status
		n.publish(now, factKey{kind: kindStatus, sub: w.slot}, status.encode())
	}
	since := now.Sub(w.loadToldAt)
	if rank > 0 || w.load == load || since < n.cfg.LoadEvery {
		return
	}
	if since < smallLoadTimes*n.cfg.LoadEvery && !load.differs(&w.load, status.Slots) {
		return
	}
	w.load, w.loadToldAt = load, now
	n.publish(now, factKey{kind: kindLoad, sub: w.slot}, load.encode())
}

// ReportSilent takes that a watched backend server's sidecar has not answered. One failed question may be an accident:
// the caller says how many count.
func (n *Node) ReportSilent(now time.Time, id string) {
	if n.Rank(now, id) < 0 {
		return
	}
	w := n.watched(now, id)
	if w.told && w.status.Silent {
		return
	}
	w.told, w.status.Silent = true, true
	n.publish(now, factKey{kind: kindStatus, sub: w.slot}, w.status.encode())
}

// watched returns the record of a backend server, with a slot for it.
func (n *Node) watched(now time.Time, id string) *watched {
	w := n.watching.mine[id]
	if w != nil {
		return w
	}
	w = &watched{slot: n.freeSlot()}
	n.watching.mine[id] = w
	n.publish(now, factKey{kind: kindName, sub: w.slot}, appendString(nil, id))
	return w
}

func (n *Node) freeSlot() uint64 {
	for number := uint64(0); ; number++ {
		if n.me.slots[number] == nil {
			return number
		}
	}
}

// confirm tells which of the watched backend servers have answered since the last time.
func (n *Node) confirm(now time.Time) {
	w := &n.watching
	n.assign(now)
	if now.Before(w.nextTell) {
		return
	}
	w.nextTell = nextAt(w.nextTell, n.cfg.ConfirmEvery, now)
	var bits []byte
	oldest := now
	for _, s := range w.mine {
		if s.answeredAt.IsZero() {
			continue
		}
		for len(bits) <= int(s.slot/8) {
			bits = append(bits, 0)
		}
		bits[s.slot/8] |= 1 << (s.slot % 8)
		if s.answeredAt.Before(oldest) {
			oldest = s.answeredAt
		}
		s.answeredAt = time.Time{}
	}
	if bits != nil {
		n.publish(oldest, factKey{kind: kindConfirm}, bits)
	}
}
