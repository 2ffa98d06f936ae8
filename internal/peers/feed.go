package peers

import (
	"slices"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// eventOverhead is what an event takes besides its key and value, in bytes.
const eventOverhead = 160

// maxDeletionBytes bounds what a feed keeps of deletions. A follower that needs older ones gets all keys.
const maxDeletionBytes = 256 << 10

// Feed holds a copy of the keys with one prefix and their latest changes, from which followers are brought up to date: each
// deletion, the newest value of each key, and earlier values as far as their bytes allow. It is safe for concurrent use.
type Feed struct {
	maxSuperseded int // Limit on the bytes of values that have been replaced or deleted since.

	mu           sync.Mutex
	items        map[string]ports.KeyValue // Guarded by mu.
	revision     int64                     // Guarded by mu. The copy is current up to this revision.
	historyStart int64                     // Guarded by mu. events holds every deletion and newest value after this revision.
	events       []ports.WatchEvent        // Guarded by mu. In the order of revisions.
	superseded   int                       // Guarded by mu. Bytes of the events whose values are not the newest.
	deletions    int                       // Guarded by mu. Bytes of the deletions in events.
	changed      chan struct{}             // Guarded by mu. Closed and replaced on each change.
}

// NewFeed returns an empty feed. supersededBytes limits what it keeps of values that are no longer the newest of their key, for
// followers to which the values in between matter.
func NewFeed(supersededBytes int) *Feed {
	return &Feed{maxSuperseded: supersededBytes, items: make(map[string]ports.KeyValue), changed: make(chan struct{})}
}

// eventBytes returns the memory that an event takes.
func eventBytes(e *ports.WatchEvent) int { return eventOverhead + len(e.Key) + len(e.Value) }

// Replace replaces the copy by items, which are all keys as of the revision. It does nothing if the copy is newer.
func (f *Feed) Replace(items []ports.KeyValue, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		return
	}
	f.items = make(map[string]ports.KeyValue, len(items))
	for _, item := range items {
		f.items[item.Key] = item
	}
	f.revision, f.historyStart, f.events, f.superseded, f.deletions = revision, revision, nil, 0, 0
	f.notify()
}

// Apply applies the changes up to the revision. Changes that the copy already contains are skipped.
func (f *Feed) Apply(events []ports.WatchEvent, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		return
	}
	for _, e := range events {
		if e.Revision > f.revision {
			f.add(e)
		}
	}
	f.revision = revision
	if f.superseded > f.maxSuperseded {
		f.dropSuperseded()
	}
	if f.deletions > maxDeletionBytes {
		f.dropDeletions()
	}
	if len(events) > 0 {
		f.notify()
	}
}

// add adds a change. The caller holds mu.
func (f *Feed) add(e ports.WatchEvent) {
	if old, ok := f.items[e.Key]; ok && old.Revision > f.historyStart {
		f.superseded += eventBytes(&ports.WatchEvent{KeyValue: old})
	}
	if e.Deleted {
		e.Value = nil
		f.deletions += eventBytes(&e)
		delete(f.items, e.Key)
	} else {
		f.items[e.Key] = e.KeyValue
	}
	f.events = append(f.events, e)
}

// isSuperseded reports whether the event's value is no longer the newest of its key. The caller holds mu.
func (f *Feed) isSuperseded(e *ports.WatchEvent) bool {
	return !e.Deleted && f.items[e.Key].Revision != e.Revision
}

// dropSuperseded drops the oldest superseded values until half of what is allowed is left, so that it seldom runs. The caller
// holds mu.
func (f *Feed) dropSuperseded() {
	kept := make([]ports.WatchEvent, 0, len(f.events))
	for i := range f.events {
		e := &f.events[i]
		if f.superseded > f.maxSuperseded/2 && f.isSuperseded(e) {
			f.superseded -= eventBytes(e)
			continue
		}
		kept = append(kept, *e)
	}
	f.events = slices.Clip(kept)
}

// dropDeletions drops the oldest part of the history until half of the deletions that are allowed are left. The caller holds mu.
func (f *Feed) dropDeletions() {
	dropped := 0
	for ; f.deletions > maxDeletionBytes/2; dropped++ {
		e := &f.events[dropped]
		switch {
		case e.Deleted:
			f.deletions -= eventBytes(e)
		case f.isSuperseded(e):
			f.superseded -= eventBytes(e)
		}
		f.historyStart = e.Revision
	}
	f.events = slices.Clone(f.events[dropped:])
}

// Wake ends the waits for a change, so that followers hear at once what else the process has to tell.
func (f *Feed) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (f *Feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Since returns the update that brings a follower at the revision up to date, and a channel that is closed at the next
// change.
func (f *Feed) Since(revision int64) (Update, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Revision: max(f.revision, revision)}
	if revision < f.historyStart {
		u.Whole = true
		u.Events = make([]ports.WatchEvent, 0, len(f.items))
		for _, item := range f.items {
			u.Events = append(u.Events, ports.WatchEvent{KeyValue: item})
		}
		return u, f.changed
	}
	for i := len(f.events); i > 0 && f.events[i-1].Revision > revision; i-- {
		u.Events = f.events[i-1:]
	}
	u.Events = slices.Clone(u.Events)
	return u, f.changed
}

// Revision returns the revision up to which the copy is current. It is 0 until the copy is filled.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}
