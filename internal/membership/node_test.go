package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sizes are fleets on both sides of Config.FullMesh, in one and in several regions.
var sizes = []struct{ entries, regions, sidecars int }{{3, 1, 6}, {14, 1, 30}, {24, 2, 60}}

func forSizes(t *testing.T, test func(t *testing.T, f *fabric, sidecars map[string]*fakeSidecar)) {
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d entries in %d regions", s.entries, s.regions), func(t *testing.T) {
			f := newFabric(t, DefaultConfig(), 7, s.entries, s.regions)
			sidecars := f.addSidecars(s.sidecars, s.regions)
			f.settle()
			f.run(15 * time.Second)
			test(t, f, sidecars)
		})
	}
}

func TestDeadEntryIsDeclaredByAllAndComesBack(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		victim := f.nodes[1]
		victim.gone = true
		f.until(15*time.Second, func() bool { return f.seenAs(victim, Dead) == len(f.nodes)-1 })
		is.Equal(f.count(Dead), 0) // No live entry is taken for dead.
		again := f.start(Member{ID: victim.identity.ID, Region: victim.region, Address: victim.identity.Address}, nil)
		is.True(again.me.epoch > victim.me.epoch)
		f.until(30*time.Second, func() bool { return f.seenAs(again, Alive) == len(f.nodes)-2 })
	})
}

// seenAs counts the live nodes that see the host in the state.
func (f *fabric) seenAs(target *host, state State) int {
	count := 0
	for _, h := range f.nodes {
		if v, ok := h.Entry(f.now, target.identity.ID); ok && !h.gone && v.State == state {
			count++
		}
	}
	return count
}

func TestFrozenEntryHarmsNobodyAndRefutes(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		victim := f.nodes[1]
		victim.frozen = true
		f.until(15*time.Second, func() bool { return f.seenAs(victim, Dead) >= len(f.nodes)-1 })
		f.thaw(victim)
		for range 40 {
			f.run(250 * time.Millisecond)
			for _, h := range f.nodes {
				if h != victim {
					is.Equal(f.seenAs(h, Dead), 0) // The one that was frozen takes nobody for dead.
				}
			}
		}
		is.Equal(f.seenAs(victim, Alive), len(f.nodes)-1)
	})
}

func TestLostPacketsKillNobody(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		f.loss = 0.05
		for range 120 {
			f.run(500 * time.Millisecond)
			is.New(t).Equal(f.count(Dead), 0)
		}
	})
}

func TestOneDeafEntryCannotAssertADeathAlone(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 5, 14, 1)
	f.settle()
	deaf := f.nodes[0]
	f.blocked = func(to *host, body []byte) bool { // It hears questions and no answers.
		kind := messageType(body[1])
		return to == deaf && (kind == typeAnswer || kind == typeAlive || kind == typeFacts)
	}
	for range 100 {
		f.run(250 * time.Millisecond)
		for _, h := range f.nodes[1:] {
			is.Equal(f.seenAs(h, Dead)-seenDeadBy(f, deaf, h), 0)
		}
	}
	is.True(len(deaf.me.accused) > 0) // It did accuse others.
}

// seenDeadBy returns 1 when the observer takes the target for dead.
func seenDeadBy(f *fabric, observer, target *host) int {
	if v, _ := observer.Entry(f.now, target.identity.ID); v.State == Dead {
		return 1
	}
	return 0
}

func TestRevisionLeavingAndFencesReachAll(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fabric, _ map[string]*fakeSidecar) {
		is := is.New(t)
		first := f.nodes[0]
		first.SetRevision(41)
		first.SetLeaving(f.now, true)
		first.SetFences(f.now, []Fence{{Journal: 3, Number: 9}, {Journal: 4, Number: 2}})
		f.until(30*time.Second, func() bool {
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
			is.Equal(number, uint64(9)) // Stays known after the hand-over.
			is.True(!ok)
		}
	})
}

func TestSidecarsAreWatchedAndTheirStateReachesTheRegion(t *testing.T) {
	forSizes(t, func(t *testing.T, f *fabric, sidecars map[string]*fakeSidecar) {
		is := is.New(t)
		for _, h := range f.nodes {
			is.Equal(len(h.Unwatched(f.now, 8*time.Second)), 0)
		}
		s := sidecars["worker-0000"]
		s.status.Draining = true
		f.until(10*time.Second, func() bool { return f.regionSees(s, func(v SidecarView) bool { return v.Status.Draining }) })
		f.byID[f.nodes[0].Watchers(f.now, s.id)[0]].gone = true // Its first watcher dies, and others take over.
		f.run(30 * time.Second)
		is.True(f.regionSees(s, func(v SidecarView) bool { return v.Age < 8*time.Second }))
		s.gone = true
		f.until(30*time.Second, func() bool { return f.regionSees(s, func(v SidecarView) bool { return v.Age > 8*time.Second }) })
		for _, h := range f.nodes {
			if !h.gone && h.sidecars[s.id] != nil {
				is.Equal(h.Unwatched(f.now, 8*time.Second), []string{s.id})
			}
		}
	})
}

// regionSees reports whether the condition holds at every live entry of the sidecar's region.
func (f *fabric) regionSees(s *fakeSidecar, condition func(SidecarView) bool) bool {
	for _, h := range f.nodes {
		if h.gone || h.sidecars[s.id] == nil {
			continue
		}
		if v, ok := h.Sidecar(f.now, s.id); !ok || !condition(v) {
			return false
		}
	}
	return true
}

func TestCutRegionIsUnreachableNotDead(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 3, 24, 2)
	f.settle()
	f.cut["region-0"] = true
	f.run(2 * time.Minute)
	is.Equal(f.count(Dead), 0)
	is.Equal(f.count(Unreachable), 2*12*12) // All of the other region, in every view.
	f.nodes[0].SetRevision(8)
	f.cut["region-0"] = false
	f.until(30*time.Second, func() bool { return f.count(Alive) == f.pairs() && f.nodes[1].Revision() == 8 })
}

func TestCrashReportsKeepTheirIDsWhole(t *testing.T) {
	is := is.New(t)
	f := newFabric(t, DefaultConfig(), 3, 4, 1)
	f.settle()
	ids := []string{"engine-1/OUE52BIYFMOXIXUDIWEQ7CXU26/1", "engine-2/JELYQBNWLDJNJZNGVY7VEGYYAT/1"}
	f.nodes[0].ReportCrash(f.now, Crash{Fingerprint: "437e279709d1f05f31bfec4a8e7b8d26", Crashes: 2, IDs: ids})
	f.run(5 * time.Second)
	for _, h := range f.nodes {
		is.Equal(h.Crashes(), []Crash{{Fingerprint: "437e279709d1f05f31bfec4a8e7b8d26", Crashes: 2, IDs: ids}})
	}
}
