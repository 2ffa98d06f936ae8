package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// smallChangeFactor is the minimum time between two publications of a load that has changed little, as a multiple of
// Config.LoadEvery.
const smallChangeFactor = 4

// watchState holds what this entry publishes about the backend servers that it watches, and an index of what all entries
// publish.
type watchState struct {
	sidecars    []string                  // Sorted ids of the region's listed backend servers.
	watchers    map[string][]string       // By backend server. The first watcher publishes the load.
	watched     map[string]*watchedServer // Backend servers about which this entry publishes facts.
	reporters   map[string][]slotRef      // By backend server; some references may be outdated.
	dirty       bool                      // The live entries or the backend servers have changed.
	nextConfirm time.Time
}

// watchedServer is a backend server that this entry watches.
type watchedServer struct {
	slot            uint64
	unconfirmedAt   time.Time // Last answer that was not published with a confirmation yet; zero: none.
	status          Status
	load            Load
	published       bool // A status has been published.
	loadPublishedAt time.Time
}

// slotRef refers to the slot of an origin for a backend server.
type slotRef struct {
	origin *origin
	slot   uint64
}

func newWatchState() watchState {
	return watchState{
		watchers:  make(map[string][]string),
		watched:   make(map[string]*watchedServer),
		reporters: make(map[string][]slotRef),
	}
}

// indexSlot adds the slot to the index of reporters. References to slots that were given up or reused are not removed; the
// reader of the index skips them.
func (w *watchState) indexSlot(o *origin, number uint64) {
	s := o.watchSlots[number]
	if s == nil {
		return
	}
	r := slotRef{origin: o, slot: number}
	if !slices.Contains(w.reporters[s.name], r) {
		w.reporters[s.name] = append(w.reporters[s.name], r)
	}
}

// removeOrigin removes the slots of the origin from the index.
func (w *watchState) removeOrigin(o *origin) {
	for name, refs := range w.reporters {
		refs = slices.DeleteFunc(refs, func(r slotRef) bool { return r.origin == o })
		w.reporters[name] = refs
		if len(refs) == 0 {
			delete(w.reporters, name)
		}
	}
}

// SetSidecars sets the ids of the backend servers of this region.
func (n *Node) SetSidecars(now time.Time, ids []string) {
	list := slices.Clone(ids)
	slices.Sort(list)
	if slices.Equal(list, n.watch.sidecars) {
		return
	}
	n.watch.sidecars = list
	n.watch.dirty = true
	n.assignWatchers(now)
}

// Watchers returns the ids of the entries that watch the backend server. The first one also publishes its load.
func (n *Node) Watchers(now time.Time, sidecar string) []string {
	n.assignWatchers(now)
	return n.watch.watchers[sidecar]
}

// Rank returns this entry's index in the list of watchers of the backend server, or -1 if it does not watch it.
func (n *Node) Rank(now time.Time, sidecar string) int {
	return slices.Index(n.Watchers(now, sidecar), n.identity.ID)
}

// assignWatchers assigns the watchers again if the live entries or the backend servers have changed. It frees the slots of
// backend servers that this entry no longer watches.
func (n *Node) assignWatchers(now time.Time) {
	w := &n.watch
	if !w.dirty {
		return
	}
	w.dirty = false
	live := n.regionMemberIDs(func(m *member) bool {
		if m.origin == nil {
			return !n.graceOver && m.listed
		}
		return !n.isDead(m) && !m.origin.self.leaving
	})
	if !n.local.self.leaving {
		live = append(live, n.identity.ID)
	}
	count := n.cfg.Watchers
	if len(live) <= n.cfg.FullMesh {
		count = len(live)
	}
	clear(w.watchers)
	entries := hashIDs(live)
	for _, id := range w.sidecars {
		w.watchers[id] = rendezvousTop(id, entries, count)
	}
	for id, watched := range w.watched {
		if !slices.Contains(w.watchers[id], n.identity.ID) {
			n.publish(now, factKey{kind: kindName, subkey: watched.slot}, appendString(nil, ""))
			delete(w.watched, id)
		}
	}
}

// hashedID is the id of an entry with its hash, the input for rendezvous hashing.
type hashedID struct {
	id   string
	hash uint64
}

// hashIDs returns the ids with their hashes.
func hashIDs(ids []string) []hashedID {
	out := make([]hashedID, 0, len(ids))
	for _, id := range ids {
		out = append(out, hashedID{id: id, hash: xxhash.Sum64String(id)})
	}
	return out
}

// rendezvousTop returns the ids of the count entries with the highest rendezvous hashes for the id, highest first.
func rendezvousTop(id string, entries []hashedID, count int) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	best := make([]ranked, 0, count+1)
	idHash := xxhash.Sum64String(id)
	var key [16]byte
	for _, entry := range entries {
		binary.LittleEndian.PutUint64(key[:8], idHash)
		binary.LittleEndian.PutUint64(key[8:], entry.hash)
		r := ranked{id: entry.id, hash: xxhash.Sum64(key[:])}
		index, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
		})
		if index < count {
			best = slices.Insert(best, index, r)[:min(len(best)+1, count)]
		}
	}
	out := make([]string, 0, len(best))
	for _, r := range best {
		out = append(out, r.id)
	}
	return out
}

// ReportSidecar records the answer of a backend server to this entry and publishes what has changed. It is ignored if this
// entry does not watch the backend server.
func (n *Node) ReportSidecar(now time.Time, id string, status Status, load Load) {
	rank := n.Rank(now, id)
	if rank < 0 {
		return
	}
	w := n.ensureWatched(now, id)
	w.unconfirmedAt = now
	if !w.published || w.status != status {
		w.published, w.status = true, status
		n.publish(now, factKey{kind: kindStatus, subkey: w.slot}, status.encode())
	}
	since := now.Sub(w.loadPublishedAt)
	if rank > 0 || w.load == load || since < n.cfg.LoadEvery {
		return
	}
	if since < smallChangeFactor*n.cfg.LoadEvery && !load.differs(&w.load, status.Slots) {
		return
	}
	w.load, w.loadPublishedAt = load, now
	n.publish(now, factKey{kind: kindLoad, subkey: w.slot}, load.encode())
}

// ReportSilent publishes that the sidecar of a watched backend server does not answer. A single failed request may have
// other causes, so the caller decides how many failures it takes.
func (n *Node) ReportSilent(now time.Time, id string) {
	if n.Rank(now, id) < 0 {
		return
	}
	w := n.ensureWatched(now, id)
	if w.published && w.status.Silent {
		return
	}
	w.published, w.status.Silent = true, true
	n.publish(now, factKey{kind: kindStatus, subkey: w.slot}, w.status.encode())
}

// ensureWatched returns the record of a backend server. If there is none, it creates one and publishes the slot.
func (n *Node) ensureWatched(now time.Time, id string) *watchedServer {
	w := n.watch.watched[id]
	if w != nil {
		return w
	}
	w = &watchedServer{slot: n.freeSlot()}
	n.watch.watched[id] = w
	n.publish(now, factKey{kind: kindName, subkey: w.slot}, appendString(nil, id))
	return w
}

// freeSlot returns the lowest number of an unused slot of this entry.
func (n *Node) freeSlot() uint64 {
	for number := uint64(0); ; number++ {
		if n.local.watchSlots[number] == nil {
			return number
		}
	}
}

// publishConfirm publishes which of the watched backend servers have answered since the last confirmation, once in every
// Config.ConfirmEvery. The fact has the time of the earliest of these answers.
func (n *Node) publishConfirm(now time.Time) {
	w := &n.watch
	n.assignWatchers(now)
	if now.Before(w.nextConfirm) {
		return
	}
	w.nextConfirm = nextAt(w.nextConfirm, n.cfg.ConfirmEvery, now)
	var bits []byte
	earliest := now
	for _, s := range w.watched {
		if s.unconfirmedAt.IsZero() {
			continue
		}
		for len(bits) <= int(s.slot/8) {
			bits = append(bits, 0)
		}
		bits[s.slot/8] |= 1 << (s.slot % 8)
		if s.unconfirmedAt.Before(earliest) {
			earliest = s.unconfirmedAt
		}
		s.unconfirmedAt = time.Time{}
	}
	if bits != nil {
		n.publish(earliest, factKey{kind: kindConfirm}, bits)
	}
}
