// Package leaving keeps which backend servers have announced that they leave, and decides whether they may still get calls.
//
// An announcement counts for one run of a server, whatever the key-value service says about the server afterwards: it is the
// server's own word, and entries may be late, wrong or written again by others.
package leaving

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// Announcement is the statement of a server, in one of its answers, that it leaves.
type Announcement struct {
	Server  string
	Born    int64     // Start of the run that leaves, in Unix milliseconds; 0 if the server's entry names none.
	Address string    // Of that run. It tells runs apart if Born is 0.
	At      time.Time // When a gateway first heard it.
}

// notice is an announcement with what has been seen of the server's entry since. The revisions matter only if Born is 0.
type notice struct {
	Announcement
	revision int64 // Of the entry that was known when the announcement arrived; 0 if there was none.
	deleted  bool  // The entry was deleted after that, or there was none.
	gone     int64 // Revision of the deletion, if deleted.
}

// maxAnnouncements bounds the table. It is far more than the servers of a deployment: announcements are kept after their server has
// left the list, as its entry may come back.
const maxAnnouncements = 2000

// Table holds the announcements that a process knows. It is safe for concurrent use. A nil Table holds none.
type Table struct {
	drain time.Duration
	size  atomic.Int64 // Number of announcements; lets State return without locking while there is none.

	mu       sync.Mutex
	byServer map[string]notice // Guarded by mu.
	hash     uint64            // Guarded by mu. Of all announcements, without At.
	nextEnd  time.Time         // Guarded by mu. The earliest end of a drain time that has not been taken by TakeEnded.
}

// NewTable returns an empty table. Leaving servers may get calls for the time drain if there is no other server.
func NewTable(drain time.Duration) *Table {
	return &Table{drain: drain, byServer: make(map[string]notice)}
}

// Add adds an announcement, and reports whether it was unknown. entry is the server's entry as known now, or nil. An announcement of
// an earlier run than that of the entry is dropped: its answer was late.
func (t *Table) Add(a Announcement, entry *fleet.BackendServer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := notice{Announcement: a, deleted: entry == nil}
	if entry != nil {
		n.revision = entry.Revision
		if entry.Born > a.Born || a.Born == 0 && entry.Address != a.Address {
			return false
		}
	}
	known, ok := t.byServer[a.Server]
	switch {
	case ok && known.Born > a.Born:
		return false
	case ok && known.Born == a.Born:
		if a.At.Before(known.At) {
			known.At = a.At
			t.byServer[a.Server] = known
		}
		return false
	}
	t.remove(a.Server)
	t.byServer[a.Server] = n
	t.hash ^= n.digest()
	if end := a.At.Add(t.drain); t.nextEnd.IsZero() || end.Before(t.nextEnd) {
		t.nextEnd = end
	}
	if len(t.byServer) > maxAnnouncements {
		t.removeOldest()
	}
	t.size.Store(int64(len(t.byServer)))
	return true
}

// remove removes the announcement of a server, if there is one. The caller holds mu.
func (t *Table) remove(server string) {
	if n, ok := t.byServer[server]; ok {
		t.hash ^= n.digest()
		delete(t.byServer, server)
		t.size.Store(int64(len(t.byServer)))
	}
}

// removeOldest removes the announcement that is known for longest. The caller holds mu.
func (t *Table) removeOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.byServer)), func(a, b notice) int { return a.At.Compare(b.At) })
	t.remove(oldest.Server)
}

// digest returns a hash of the announcement without At.
func (a Announcement) digest() uint64 {
	data := append([]byte(a.Server), 0)
	data = append(append(data, a.Address...), 0)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, uint64(a.Born)))
}

// ObserveEntry notes a current entry of the list of servers, and reports whether it ends the server's announcement: it names a later
// start, or, if the announcement has no start, was written anew with a start or another address after a deletion.
func (t *Table) ObserveEntry(s *fleet.BackendServer) bool {
	if t == nil || t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.byServer[s.ID]
	if !ok || !n.isEndedBy(s) {
		return false
	}
	t.remove(s.ID)
	return true
}

// isEndedBy reports whether the entry is one of a later run than the announcement.
func (n notice) isEndedBy(s *fleet.BackendServer) bool {
	if n.Born != 0 {
		return s.Born > n.Born
	}
	return n.deleted && s.Revision > n.gone && (s.Born != 0 || s.Address != n.Address)
}

// ObserveDeletion notes that the entry of a server was deleted at the revision. An entry that cannot be read is no deletion.
func (t *Table) ObserveDeletion(server string, revision int64) {
	if t == nil || t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.byServer[server]; ok && revision > n.revision {
		n.deleted, n.gone = true, max(n.gone, revision)
		t.byServer[server] = n
	}
}

// ObserveList notes a complete list of entries as of a revision. listed has the ids of all entries, those that cannot be read
// included. It returns the ids of the servers whose announcements end. A deletion between two lists cannot be seen, so an entry with
// a start or another address ends an announcement without a start, also if no deletion was seen.
func (t *Table) ObserveList(entries []*fleet.BackendServer, listed map[string]bool, revision int64) []string {
	if t == nil || t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.byServer {
		if !listed[id] && revision > n.revision && !n.deleted {
			n.deleted, n.gone = true, revision
			t.byServer[id] = n
		}
	}
	var ended []string
	for _, s := range entries {
		n, ok := t.byServer[s.ID]
		if !ok {
			continue
		}
		if !n.deleted && s.Revision > n.revision {
			n.deleted = true // Judges this entry only: n is a copy.
		}
		if n.isEndedBy(s) {
			t.remove(s.ID)
			ended = append(ended, s.ID)
		}
	}
	return ended
}

// State returns whether the server may get calls at the time. It is a fleet.Departures with the current time.
func (t *Table) State(s *fleet.BackendServer, now time.Time) fleet.Departure {
	if t == nil || t.size.Load() == 0 {
		return fleet.Staying
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.byServer[s.ID]
	switch {
	case !ok || s.Born > n.Born && n.Born != 0:
		return fleet.Staying
	case now.After(n.At.Add(t.drain)):
		return fleet.Left
	}
	return fleet.Leaving
}

// TakeEnded reports whether a drain time has ended since it last reported so.
func (t *Table) TakeEnded(now time.Time) bool {
	if t == nil || t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextEnd.IsZero() || !now.After(t.nextEnd) {
		return false
	}
	t.nextEnd = time.Time{}
	for _, n := range t.byServer {
		if end := n.At.Add(t.drain); end.After(now) && (t.nextEnd.IsZero() || end.Before(t.nextEnd)) {
			t.nextEnd = end
		}
	}
	return true
}

// All returns the announcements in any order.
func (t *Table) All() []Announcement {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Announcement, 0, len(t.byServer))
	for _, n := range t.byServer {
		list = append(list, n.Announcement)
	}
	return list
}

// Hash returns a hash of the announcements, by which processes notice that they know different ones. It is 0 if there is none.
func (t *Table) Hash() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// Len returns the number of announcements.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return int(t.size.Load())
}
