package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const simEntries = 3

// simEntry is an entry process in a simulated fleet.
type simEntry struct {
	tracker          *Tracker
	alive            bool
	storeUnreachable bool
	pending          map[uint64]time.Time // Revisions accepted but not yet confirmed to the operator, with the time of acceptance.
}

// simFleet is a fleet of entries that share one head. The test advances its clock.
type simFleet struct {
	clock     testClock
	head      uint64
	answered  uint64 // Highest revision whose acceptance was confirmed to an operator by answerOperators.
	storeDown bool   // Whether the key-value service is unavailable.
	linkDown  map[[2]int]bool
	entries   [simEntries]*simEntry
	delayed   []func() // Responses in transit.
}

// start starts or restarts an entry, which keeps no state.
func (f *simFleet) start(i int) {
	tr := NewTracker(Default(), testMaxAge, f.clock.now)
	f.entries[i] = &simEntry{tracker: tr, alive: true, pending: make(map[uint64]time.Time)}
	f.updatePeers(i)
}

// updatePeers gives an entry the current membership list, which contains only running entries.
func (f *simFleet) updatePeers(i int) {
	var names []string
	for j, e := range f.entries {
		if j != i && e != nil && e.alive {
			names = append(names, fmt.Sprint(j))
		}
	}
	f.entries[i].tracker.SetPeers(names, f.clock.now())
}

// reachesStore reports whether the entry runs and can use the key-value service.
func (f *simFleet) reachesStore(i int) bool {
	return f.entries[i].alive && !f.entries[i].storeUnreachable && !f.storeDown
}

// linked reports whether two different entries run and can exchange messages.
func (f *simFleet) linked(i, j int) bool {
	return i != j && f.entries[i].alive && f.entries[j].alive && !f.linkDown[[2]int{min(i, j), max(i, j)}]
}

// observeAndFetch lets an entry observe a revision and install the highest revision that it knows.
func (f *simFleet) observeAndFetch(tr *Tracker, revision uint64, from Source) {
	tr.Observe(revision, from)
	tr.Install(snapshotOf(tr.Known()))
}

// randomStep executes one random event.
func (f *simFleet) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, simEntries-1).Draw(t, "entry")
	j := rapid.IntRange(0, simEntries-1).Draw(t, "other")
	e := f.entries[i]
	switch rapid.SampledFrom([]string{
		"poll", "poll", "exchange", "exchange", "exchange", "exchange all", "exchange all", "late exchange", "deliver", "list",
		"accept", "restart", "die", "cut store", "cut link", "down",
	}).Draw(t, "step") {
	case "poll":
		if f.reachesStore(i) {
			f.observeAndFetch(e.tracker, f.head, Source{Kind: SourceStore, RequestedAt: f.clock.now()})
		}
	case "exchange":
		f.exchange(i, j)
	case "exchange all":
		for i := range simEntries {
			f.updatePeers(i)
			for j := range simEntries {
				f.exchange(i, j)
			}
		}
	case "late exchange":
		f.delayedExchange(i, j)
	case "deliver":
		for _, deliver := range f.delayed {
			deliver()
		}
		f.delayed = nil
	case "list":
		f.updatePeers(i)
	case "accept":
		if f.reachesStore(i) {
			f.head++
			e.pending[f.head] = f.clock.now()
			f.observeAndFetch(e.tracker, f.head, Source{Kind: SourceWatch})
		}
	case "restart":
		f.start(i)
	case "die":
		e.alive = false
	case "cut store":
		e.storeUnreachable = !e.storeUnreachable
	case "cut link":
		link := [2]int{min(i, j), max(i, j)}
		f.linkDown[link] = !f.linkDown[link]
	case "down":
		f.storeDown = !f.storeDown
	}
}

// exchange lets entry i request the state of entry j and receive the response immediately.
func (f *simFleet) exchange(i, j int) {
	if f.linked(i, j) {
		revision, age := f.entries[j].tracker.Report(f.clock.now())
		from := Source{Kind: SourcePeer, Peer: fmt.Sprint(j), RequestedAt: f.clock.now(), Age: age}
		f.observeAndFetch(f.entries[i].tracker, revision, from)
	}
}

// delayedExchange lets entry i request the state of entry j. The response stays in transit until it is delivered.
func (f *simFleet) delayedExchange(i, j int) {
	if f.linked(i, j) {
		tr := f.entries[i].tracker
		revision, age := f.entries[j].tracker.Report(f.clock.now())
		from := Source{Kind: SourcePeer, Peer: fmt.Sprint(j), RequestedAt: f.clock.now(), Age: age}
		f.delayed = append(f.delayed, func() { f.observeAndFetch(tr, revision, from) })
	}
}

// answerOperators confirms accepted revisions to operators under the same condition as AwaitPropagation.
func (f *simFleet) answerOperators() {
	for _, e := range f.entries {
		for revision, at := range e.pending {
			waited := f.clock.now().Sub(at) >= testMaxAge
			if e.alive && (waited || e.tracker.isPropagated(revision, at)) {
				f.answered = max(f.answered, revision)
				delete(e.pending, revision)
			}
		}
	}
}

// TestNoEntryServesBelowAConfirmedRevision guards against an entry that serves under an outdated revision after the
// operator was informed that a newer one is accepted. That could happen after lost or delayed exchanges, restarts, or
// outages of the key-value service.
func TestNoEntryServesBelowAConfirmedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simFleet{clock: testClock{at: time.Unix(1_000_000, 0)}, linkDown: make(map[[2]int]bool)}
		for i := range simEntries {
			f.start(i)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.randomStep(t)
			f.answerOperators()
			for i, e := range f.entries {
				current := e.tracker.Current().Entry.Revision
				if e.alive && e.tracker.Fresh(f.clock.now()) && current < f.answered {
					t.Fatalf("entry %d serves under revision %d after the acceptance of revision %d was confirmed to an operator", i, current, f.answered)
				}
			}
			f.clock.advance(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, testMaxAge}).Draw(t, "pass"))
		}
	})
}

// TestEntriesStayFreshDuringSharedOutage checks that entries stay fresh without the key-value service while they all
// exchange their state.
func TestEntriesStayFreshDuringSharedOutage(t *testing.T) {
	f := &simFleet{clock: testClock{at: time.Unix(1_000_000, 0)}, linkDown: make(map[[2]int]bool)}
	for i := range simEntries {
		f.start(i)
		f.observeAndFetch(f.entries[i].tracker, 0, Source{Kind: SourceStore, RequestedAt: f.clock.now()})
	}
	for range 100 {
		for i := range simEntries {
			f.updatePeers(i)
			for j := range simEntries {
				f.exchange(i, j)
			}
			if !f.entries[i].tracker.Fresh(f.clock.now()) {
				t.Fatalf("entry %d is no longer fresh", i)
			}
		}
		f.clock.advance(500 * time.Millisecond)
	}
}
