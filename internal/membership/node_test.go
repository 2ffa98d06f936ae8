package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testSizes are fleets below and above Config.FullMesh, in one and in two regions.
var testSizes = []struct{ entries, regions, sidecars int }{{3, 1, 6}, {14, 1, 30}, {24, 2, 60}}

// runForSizes runs the test with a fleet of each of testSizes, 15 s after all entries have seen each other alive.
func runForSizes(t *testing.T, test func(t *testing.T, f *fabric, sidecars map[string]*fakeSidecar)) {
	for _, s := range testSizes {
		t.Run(fmt.Sprintf("%d entries in %d regions", s.entries, s.regions), func(t *testing.T) {
			f := newFabric(t, DefaultConfig(), 7, s.entries, s.regions)
			sidecars := f.addSidecars(s.sidecars, s.regions)
			f.runUntilAllAlive()
			f.run(15 * time.Second)
			test(t, f, sidecars)
		})
	}
}

func TestDeadEntryIsDeclaredByAllAndComesBack(t *testing.T) {
	runForSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		victim := f.nodes[1]
		victim.stopped = true
		f.runUntil(15*time.Second, func() bool { return f.countSeenAs(victim, Dead) == len(f.nodes)-1 })
		is.Equal(f.countViews(Dead), 0) // No view shows a live entry as dead.
		restarted := f.start(Member{ID: victim.identity.ID, Region: victim.region, Address: victim.identity.Address}, nil)
		is.True(restarted.local.epoch > victim.local.epoch)
		f.runUntil(30*time.Second, func() bool { return f.countSeenAs(restarted, Alive) == len(f.nodes)-2 })
	})
}

// countSeenAs returns the number of hosts that are not stopped and see the target in the state.
func (f *fabric) countSeenAs(target *host, state State) int {
	count := 0
	for _, h := range f.nodes {
		if v, ok := h.Entry(f.now, target.identity.ID); ok && !h.stopped && v.State == state {
			count++
		}
	}
	return count
}

func TestResumedEntryDeclaresNoDeathAndRefutesItsOwn(t *testing.T) {
	runForSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		victim := f.nodes[1]
		victim.frozen = true
		f.runUntil(15*time.Second, func() bool { return f.countSeenAs(victim, Dead) >= len(f.nodes)-1 })
		f.unfreeze(victim)
		for range 40 {
			f.run(250 * time.Millisecond)
			for _, h := range f.nodes {
				if h != victim {
					is.Equal(f.countSeenAs(h, Dead), 0) // The paused entry sees no other one dead.
				}
			}
		}
		is.Equal(f.countSeenAs(victim, Alive), len(f.nodes)-1)
	})
}

func TestLostPacketsCauseNoDeaths(t *testing.T) {
	runForSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		f.loss = 0.05
		for range 120 {
			f.run(500 * time.Millisecond)
			is.New(t).Equal(f.countViews(Dead), 0)
		}
	})
}

// An entry that receives no answers accuses all others. No other entry may declare them dead, because no second entry asserts
// their deaths.
func TestEntryWithoutAnswersCannotDeclareDeathAlone(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 5, 14, 1)
	f.runUntilAllAlive()
	unanswered := f.nodes[0]
	f.blocked = func(to *host, body []byte) bool { // It receives requests, but no answers.
		kind := messageType(body[1])
		return to == unanswered && (kind == typeAnswer || kind == typeAlive || kind == typeFacts)
	}
	for range 100 {
		f.run(250 * time.Millisecond)
		for _, h := range f.nodes[1:] {
			is.Equal(f.countSeenAs(h, Dead)-seenDeadBy(f, unanswered, h), 0)
		}
	}
	is.True(len(unanswered.local.accusations) > 0) // It has accused others.
}

// seenDeadBy returns 1 if the observer sees the target dead, and 0 otherwise.
func seenDeadBy(f *fabric, observer, target *host) int {
	if v, _ := observer.Entry(f.now, target.identity.ID); v.State == Dead {
		return 1
	}
	return 0
}

func TestRevisionLeavingAndFencesReachAll(t *testing.T) {
	runForSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		first := f.nodes[0]
		first.SetRevision(41)
		first.SetLeaving(f.now, true)
		first.SetFences(f.now, []Fence{{Journal: 3, Number: 9}, {Journal: 4, Number: 2}})
		f.runUntil(30*time.Second, func() bool {
			for _, h := range f.nodes[1:] {
				v, _ := h.Entry(f.now, first.identity.ID)
				owner, number, ok := h.Owner(f.now, 3)
				if h.Revision() != 41 || !v.Leaving || !ok || owner.ID != first.identity.ID || number != 9 {
					return false
				}
			}
			return true
		})
		first.SetFences(f.now, []Fence{{Journal: 4, Number: 2}})
		f.run(30 * time.Second)
		for _, h := range f.nodes[1:] {
			_, number, ok := h.Owner(f.now, 3)
			is.Equal(number, uint64(9)) // The number is still known after the hand-over.
			is.True(!ok)
		}
	})
}

func TestSidecarsAreWatchedAndTheirStateReachesTheRegion(t *testing.T) {
	runForSizes(t, func(t *testing.T, f *fabric, sidecars map[string]*fakeSidecar) {
		is := is.New(t)
		for _, h := range f.nodes {
			is.Equal(len(h.Unconfirmed(f.now, 8*time.Second)), 0)
		}
		s := sidecars["worker-0000"]
		s.status.Draining = true
		f.runUntil(10*time.Second, func() bool { return f.regionSees(s, func(v SidecarView) bool { return v.Status.Draining }) })
		f.byID[f.nodes[0].Watchers(f.now, s.id)[0]].stopped = true // Its first watcher stops, and another entry replaces it.
		f.run(30 * time.Second)
		is.True(f.regionSees(s, func(v SidecarView) bool { return v.Age < 8*time.Second }))
		s.stopped = true
		f.runUntil(30*time.Second, func() bool { return f.regionSees(s, func(v SidecarView) bool { return v.Age > 8*time.Second }) })
		for _, h := range f.nodes {
			if !h.stopped && h.sidecars[s.id] != nil {
				is.Equal(h.Unconfirmed(f.now, 8*time.Second), []string{s.id})
			}
		}
	})
}

// regionSees reports whether the condition holds for the view of every running entry of the sidecar's region.
func (f *fabric) regionSees(s *fakeSidecar, condition func(SidecarView) bool) bool {
	for _, h := range f.nodes {
		if h.stopped || h.sidecars[s.id] == nil {
			continue
		}
		if v, ok := h.Sidecar(f.now, s.id); !ok || !condition(v) {
			return false
		}
	}
	return true
}

func TestDisconnectedRegionIsUnreachableNotDead(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 3, 24, 2)
	f.runUntilAllAlive()
	f.partitioned["region-0"] = true
	f.run(2 * time.Minute)
	is.Equal(f.countViews(Dead), 0)
	is.Equal(f.countViews(Unreachable), 2*12*12) // All entries of the other region, in every view.
	f.nodes[0].SetRevision(8)
	f.partitioned["region-0"] = false
	f.runUntil(30*time.Second, func() bool { return f.countViews(Alive) == f.livePairs() && f.nodes[1].Revision() == 8 })
}

func TestCrashReportsKeepCompleteIDs(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 3, 4, 1)
	f.runUntilAllAlive()
	ids := []string{"engine-1/OUE52BIYFMOXIXUDIWEQ7CXU26/1", "engine-2/JELYQBNWLDJNJZNGVY7VEGYYAT/1"}
	f.nodes[0].ReportCrash(f.now, Crash{Fingerprint: "437e279709d1f05f31bfec4a8e7b8d26", Crashes: 2, IDs: ids})
	f.run(5 * time.Second)
	for _, h := range f.nodes {
		is.Equal(h.Crashes(), []Crash{{Fingerprint: "437e279709d1f05f31bfec4a8e7b8d26", Crashes: 2, IDs: ids}})
	}
}
