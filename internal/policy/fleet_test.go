package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const simEntries = 3

// simEntry is an entry of a simulated fleet.
type simEntry struct {
	tracker  *Tracker
	alive    bool
	storeCut bool
	pending  map[uint64]time.Time // Revisions that it accepted and has not answered, with the time of acceptance.
}

// simFleet is a fleet of entries before one head, with a clock that the test moves.
type simFleet struct {
	clock    testClock
	head     uint64
	answered uint64 // The highest revision of which an operator was told.
	down     bool   // The key-value service.
	linkCut  map[[2]int]bool
	entries  [simEntries]*simEntry
	late     []func() // Answers under way.
}

func (f *simFleet) start(i int) {
	tr := NewTracker(Default(), testMaxAge, f.clock.now)
	f.entries[i] = &simEntry{tracker: tr, alive: true, pending: make(map[uint64]time.Time)}
	f.list(i)
}

// list gives an entry the membership list, which has dropped those that are dead.
func (f *simFleet) list(i int) {
	var names []string
	for j, e := range f.entries {
		if j != i && e != nil && e.alive {
			names = append(names, fmt.Sprint(j))
		}
	}
	f.entries[i].tracker.SetPeers(names, f.clock.now())
}

func (f *simFleet) reaches(i int) bool {
	return f.entries[i].alive && !f.entries[i].storeCut && !f.down
}

func (f *simFleet) linked(i, j int) bool {
	return i != j && f.entries[i].alive && f.entries[j].alive && !f.linkCut[[2]int{min(i, j), max(i, j)}]
}

// observe lets an entry learn something and fetch what it has learned of.
func (f *simFleet) observe(tr *Tracker, revision uint64, from Source) {
	tr.Observe(revision, from)
	tr.Install(snapshotOf(tr.Known()))
}

// step does one random thing.
func (f *simFleet) step(t *rapid.T) {
	i := rapid.IntRange(0, simEntries-1).Draw(t, "entry")
	j := rapid.IntRange(0, simEntries-1).Draw(t, "other")
	e := f.entries[i]
	switch rapid.SampledFrom([]string{
		"poll", "poll", "exchange", "exchange", "exchange", "exchange all", "exchange all", "late exchange", "deliver", "list",
		"accept", "restart", "die", "cut store", "cut link", "down",
	}).Draw(t, "step") {
	case "poll":
		if f.reaches(i) {
			f.observe(e.tracker, f.head, Source{Kind: SourceStore, Asked: f.clock.now()})
		}
	case "exchange":
		f.exchange(i, j)
	case "exchange all":
		for i := range simEntries {
			f.list(i)
			for j := range simEntries {
				f.exchange(i, j)
			}
		}
	case "late exchange":
		f.lateExchange(i, j)
	case "deliver":
		for _, deliver := range f.late {
			deliver()
		}
		f.late = nil
	case "list":
		f.list(i)
	case "accept":
		if f.reaches(i) {
			f.head++
			e.pending[f.head] = f.clock.now()
			f.observe(e.tracker, f.head, Source{Kind: SourceWatch})
		}
	case "restart":
		f.start(i)
	case "die":
		e.alive = false
	case "cut store":
		e.storeCut = !e.storeCut
	case "cut link":
		link := [2]int{min(i, j), max(i, j)}
		f.linkCut[link] = !f.linkCut[link]
	case "down":
		f.down = !f.down
	}
}

func (f *simFleet) exchange(i, j int) {
	if f.linked(i, j) {
		revision, age := f.entries[j].tracker.Report(f.clock.now())
		from := Source{Kind: SourcePeer, Peer: fmt.Sprint(j), Asked: f.clock.now(), Age: age}
		f.observe(f.entries[i].tracker, revision, from)
	}
}

func (f *simFleet) lateExchange(i, j int) {
	if f.linked(i, j) {
		tr := f.entries[i].tracker
		revision, age := f.entries[j].tracker.Report(f.clock.now())
		from := Source{Kind: SourcePeer, Peer: fmt.Sprint(j), Asked: f.clock.now(), Age: age}
		f.late = append(f.late, func() { f.observe(tr, revision, from) })
	}
}

// answer tells operators of accepted revisions as AwaitSpread does.
func (f *simFleet) answer() {
	for _, e := range f.entries {
		for revision, at := range e.pending {
			waited := f.clock.now().Sub(at) >= testMaxAge
			if e.alive && (waited || e.tracker.isSpread(revision, at)) {
				f.answered = max(f.answered, revision)
				delete(e.pending, revision)
			}
		}
	}
}

func TestNoEntryServesBelowAnAnsweredRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simFleet{clock: testClock{at: time.Unix(1_000_000, 0)}, linkCut: make(map[[2]int]bool)}
		for i := range simEntries {
			f.start(i)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step(t)
			f.answer()
			for i, e := range f.entries {
				serves := e.tracker.Current().Entry.Revision
				if e.alive && e.tracker.Fresh(f.clock.now()) && serves < f.answered {
					t.Fatalf("entry %d serves under revision %d after an operator was told of %d", i, serves, f.answered)
				}
			}
			f.clock.advance(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, testMaxAge}).Draw(t, "pass"))
		}
	})
}

func TestOutageThatAllEntriesShareStopsNone(t *testing.T) {
	f := &simFleet{clock: testClock{at: time.Unix(1_000_000, 0)}, linkCut: make(map[[2]int]bool)}
	for i := range simEntries {
		f.start(i)
		f.observe(f.entries[i].tracker, 0, Source{Kind: SourceStore, Asked: f.clock.now()})
	}
	for range 100 {
		for i := range simEntries {
			f.list(i)
			for j := range simEntries {
				f.exchange(i, j)
			}
			if !f.entries[i].tracker.Fresh(f.clock.now()) {
				t.Fatalf("entry %d has stopped", i)
			}
		}
		f.clock.advance(500 * time.Millisecond)
	}
}
