package peers_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// feedFollower keeps a copy of the keys from the updates of a hub, and the feed from which it would serve others.
type feedFollower struct {
	feed      *peers.Feed
	values    map[string]int64 // Revisions, by key.
	deletions []int64          // Revisions of the deletions that it was told of.
	whole     int              // Updates with all keys.
	largest   int              // Bytes of the largest update.
}

func newFeedFollower(supersededBytes int) *feedFollower {
	f := &feedFollower{feed: peers.NewFeed(supersededBytes), values: make(map[string]int64)}
	f.feed.Replace(nil, 1)
	return f
}

// follow brings the follower up to date and fails the test if it would go back.
func (f *feedFollower) follow(t *testing.T, hub *peers.Feed) {
	t.Helper()
	u, _ := hub.Since(f.feed.Revision())
	size := 0
	for _, e := range u.Events {
		size += len(e.Key) + len(e.Value)
	}
	f.largest = max(f.largest, size)
	if u.Whole {
		f.whole++
		clear(f.values)
		var items []ports.KeyValue
		for _, e := range u.Events {
			items = append(items, e.KeyValue)
			f.values[e.Key] = e.Revision
		}
		f.feed.Replace(items, u.Revision)
		return
	}
	last := f.feed.Revision()
	for _, e := range u.Events {
		if e.Revision <= last {
			t.Fatalf("revision %d of key %q after %d", e.Revision, e.Key, last)
		}
		last = e.Revision
		if e.Deleted {
			f.deletions = append(f.deletions, e.Revision)
			delete(f.values, e.Key)
		} else {
			f.values[e.Key] = e.Revision
		}
	}
	f.feed.Apply(u.Events, u.Revision)
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against processes that outgrow their memory because a feed keeps a number of changes, whatever their size.
func TestFeedDoesNotGrowWithTheNumberOfChanges(t *testing.T) {
	const superseded = 512 << 10
	histories := []struct {
		name                 string
		keys, valueBytes     int
		changes              int
		deleted              float64 // Share of the changes that delete their key.
		fresh                bool    // Each change is of a key of its own, which the next one deletes.
		supersededBytes, max int     // max is the largest heap that a process may use for the feed.
	}{
		{name: "large values of one key", keys: 1, valueBytes: 256 << 10, changes: 3000, max: 1 << 20},
		{name: "large values of few keys", keys: 8, valueBytes: 64 << 10, changes: 4000, deleted: 0.1, supersededBytes: superseded, max: 3 << 20},
		{name: "small values of many keys", keys: 400, valueBytes: 2 << 10, changes: 20_000, deleted: 0.02, supersededBytes: superseded, max: 4 << 20},
		{name: "deletions", keys: 50, valueBytes: 100, changes: 40_000, deleted: 0.5, supersededBytes: superseded, max: 3 << 20},
		{name: "keys that never return", valueBytes: 1 << 10, changes: 20_000, fresh: true, supersededBytes: superseded, max: 3 << 20},
	}
	for _, h := range histories {
		t.Run(h.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			before := heapBytes()
			service := make(map[string]int64)
			hub := newFeedFollower(h.supersededBytes) // Reads the service itself.
			fast, slow, still := newFeedFollower(h.supersededBytes), newFeedFollower(h.supersededBytes), newFeedFollower(h.supersededBytes)
			next := newFeedFollower(h.supersededBytes)
			followers := []*feedFollower{fast, slow, still, next}
			var deletions []int64
			for n := range h.changes {
				revision := int64(n + 2)
				key := fmt.Sprintf("key-%d", random.IntN(max(h.keys, 1)))
				isDeletion := random.Float64() < h.deleted
				if h.fresh {
					key, isDeletion = fmt.Sprintf("key-%d", n/2), n%2 == 1
				}
				e := ports.WatchEvent{KeyValue: ports.KeyValue{Key: key, Revision: revision}, Deleted: isDeletion}
				if isDeletion {
					delete(service, key)
					deletions = append(deletions, revision)
				} else {
					e.Value = []byte(strings.Repeat("v", h.valueBytes))
					service[key] = revision
				}
				hub.feed.Apply([]ports.WatchEvent{e}, revision)
				fast.follow(t, hub.feed)
				if n%37 == 0 {
					slow.follow(t, hub.feed)
				}
				if n == 0 || n == h.changes/2 {
					still.follow(t, hub.feed)
				}
				if n%3 == 0 || n == h.changes/3 {
					next.follow(t, hub.feed)
				}
				if n == h.changes/3 { // Another process becomes the hub.
					hub, next = next, hub
					followers[3] = next
				}
			}
			limit := int64(len(followers)+1) * int64(h.max)
			if grown := heapBytes() - before; grown > limit {
				t.Errorf("%d bytes in use after %d changes, limit %d", grown, h.changes, limit)
			}
			for i, f := range followers {
				f.follow(t, hub.feed)
				is.True(maps.Equal(f.values, service)) // a follower has the newest value of each key
				if f.largest > h.max {
					t.Errorf("follower %d: an update has %d bytes, limit %d", i, f.largest, h.max)
				}
				runtime.KeepAlive(f)
			}
			for _, f := range []*feedFollower{fast, slow} {
				is.True(slices.Equal(f.deletions, deletions)) // each deletion in order
				is.Equal(f.whole, 0)
			}
		})
	}
}

// Guards against followers that take a late entry for a new run, because they missed the one before.
func TestFeedKeepsValuesInBetweenWhileTheyAreSmall(t *testing.T) {
	is := is.New(t)
	f := peers.NewFeed(64 << 10)
	f.Replace([]ports.KeyValue{{Key: "a", Revision: 3}}, 3)
	for revision := int64(4); revision < 100; revision++ {
		f.Apply([]ports.WatchEvent{event("a", revision, revision == 50)}, revision)
	}
	u, _ := f.Since(3)
	is.True(!u.Whole)
	is.Equal(len(u.Events), 96)
	f.Apply([]ports.WatchEvent{{KeyValue: ports.KeyValue{Key: "b", Revision: 100, Value: make([]byte, 80<<10)}}}, 100)
	f.Apply([]ports.WatchEvent{event("b", 101, true), event("b", 102, false)}, 102)
	u, _ = f.Since(3)
	is.True(!u.Whole)
	got := make(map[int64]bool)
	for _, e := range u.Events {
		got[e.Revision] = true
	}
	is.True(got[50] && got[99] && got[101] && got[102]) // deletions and newest values
	is.True(!got[100])                                  // too large to be kept once it was deleted
}
