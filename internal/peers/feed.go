package peers

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// maxFeedEvents bounds the number of changes that a feed keeps. A follower that needs older ones gets all keys.
const maxFeedEvents = 2048

// Feed holds a copy of the keys with one prefix and their latest changes, from which followers are brought up to date. It is
// safe for concurrent use.
type Feed struct {
	mu           sync.Mutex
	items        map[string]ports.KeyValue // Guarded by mu.
	revision     int64                     // Guarded by mu. The copy is current up to this revision.
	historyStart int64                     // Guarded by mu. events holds every change after this revision.
	events       []ports.WatchEvent        // Guarded by mu.
	changed      chan struct{}             // Guarded by mu. Closed and replaced on each change.
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	return &Feed{items: make(map[string]ports.KeyValue), changed: make(chan struct{})}
}

// Replace replaces the copy by items, which are all keys as of the revision. It does nothing if the copy is newer.
func (f *Feed) Replace(items []ports.KeyValue, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		return
	}
	clear(f.items)
	for _, item := range items {
		f.items[item.Key] = item
	}
	f.revision, f.historyStart, f.events = revision, revision, nil
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
		if e.Revision <= f.revision {
			continue
		}
		if e.Deleted {
			delete(f.items, e.Key)
		} else {
			f.items[e.Key] = e.KeyValue
		}
		f.events = append(f.events, e)
	}
	f.revision = revision
	if over := len(f.events) - maxFeedEvents; over > 0 {
		f.historyStart = f.events[over-1].Revision
		f.events = append([]ports.WatchEvent(nil), f.events[over:]...)
	}
	if len(events) > 0 {
		f.notify()
	}
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
		for _, item := range f.items {
			u.Events = append(u.Events, ports.WatchEvent{KeyValue: item})
		}
		return u, f.changed
	}
	for _, e := range f.events {
		if e.Revision > revision {
			u.Events = append(u.Events, e)
		}
	}
	return u, f.changed
}

// Revision returns the revision up to which the copy is current. It is 0 until the copy is filled.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}
