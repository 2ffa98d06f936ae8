package peers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

func member(id string, capacity float64, start int64) peers.Member {
	return peers.Member{ID: id, Incarnation: id, Capacity: capacity, StartMS: start, StoreFresh: true}
}

func TestTheHubHasTheMostCapacityAndIsTheOldest(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	is.Equal(g.Hub().ID, "self")
	g.Hear(now, peers.Registration, member("young", 0.8, 3), member("old", 0.8, 2))
	is.Equal(g.Hub().ID, "old")
}

func TestASilentMemberIsNotTheHubAgainBeforeItHasSpoken(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	g.Hear(now, peers.Registration, member("dead", 0.8, 2), member("next", 0.5, 2))
	is.True(g.Fail("dead"))
	is.True(!g.Fail("dead")) // no news
	is.Equal(g.Hub().ID, "next")
	g.Hear(now.Add(time.Hour), peers.Registration, member("dead", 0.8, 2)) // its entry outlives it
	is.Equal(g.Hub().ID, "next")
	g.Hear(now.Add(time.Hour), peers.HubsWord, member("dead", 0.8, 2)) // the hub has heard it
	is.Equal(g.Hub().ID, "dead")
}

func TestARestartedMemberReplacesItsFormerIncarnation(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	g.Hear(now, peers.Registration, member("a", 0.8, 2))
	g.Fail("a")
	again := member("a", 0.8, 5)
	again.Incarnation = "a2"
	g.Hear(now, peers.Registration, again)
	is.Equal(g.Hub().ID, "a")
	g.Hear(now, peers.Itself, member("a", 0.8, 2)) // late word of the former incarnation
	is.Equal(g.Hub().Incarnation, "a2")
}

func TestInAnOutageTheHubStaysAndNobodyHelps(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	away := member("hub", 0.8, 2)
	away.StoreFresh = false
	g.Hear(now, peers.Itself, away)
	is.Equal(g.Hub().ID, "self") // one that the service answers goes first
	g.SetFresh(now, false)
	is.Equal(g.Hub().ID, "hub")
	is.Equal(len(g.Helpers(3)), 0)
}

// TestTheHubStaysWhenAllLoseTheStore plays an outage for all: word of its beginning and of its end arrives from one member
// after the other, and nobody is to take the hub's place for that.
func TestTheHubStaysWhenAllLoseTheStore(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	hub, other := member("hub", 0.8, 2), member("other", 0.7, 2)
	now := time.Now()
	g.Hear(now, peers.Itself, hub, other)
	is.Equal(g.Hub().ID, "hub")

	hub.StoreFresh = false // It asks most, so that it notices first.
	began := now.Add(-5 * time.Second)
	g.Hear(began, peers.Itself, hub)
	g.Doubt(began)
	is.Equal(g.Hub().ID, "hub")
	g.SetFresh(now, true) // The service answers this process again, the hub not yet.
	is.Equal(g.Hub().ID, "hub")
}

// TestAHubThatAloneLosesTheStoreIsLeft plays an outage for the hub alone: the others ask and are answered.
func TestAHubThatAloneLosesTheStoreIsLeft(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	hub, other := member("hub", 0.8, 2), member("other", 0.7, 2)
	began := time.Now().Add(-time.Second)
	g.Hear(began, peers.Itself, hub, other)
	hub.StoreFresh = false
	g.Hear(began, peers.Itself, hub)
	g.Doubt(began)
	is.Equal(g.Hub().ID, "hub") // nobody else is sure yet
	g.SetFresh(began, true)
	g.Hear(time.Now(), peers.HubsWord, other)
	is.Equal(g.Hub().ID, "other")
}

func TestAProcessThatHearsNobodyGreetsAMember(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.9, 1))
	now := time.Now()
	pick := func(int) int { return 0 }
	_, ok := g.Unheard(now, pick)
	is.True(!ok)
	g.Hear(now, peers.Registration, member("a", 0.1, 1))
	m, ok := g.Unheard(now, pick)
	is.True(ok)
	is.Equal(m.ID, "a")
	g.Hear(now, peers.Itself, m)
	_, ok = g.Unheard(now, pick)
	is.True(!ok)
	is.Equal(g.Sweep(now.Add(time.Minute)), []string{"a"})
}

// TestTwoHubsWithFollowersBecomeOne plays what is left after an outage in which members did not answer each other in time:
// two take themselves for the hub, and each has a follower that speaks to it.
func TestTwoHubsWithFollowersBecomeOne(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	better, worse := member("better", 0.8, 1), member("worse", 0.8, 2)
	members := []peers.Member{better, worse, member("follower 1", 0.1, 3), member("follower 2", 0.1, 3)}
	groups := make(map[string]*peers.Group)
	for _, m := range members {
		groups[m.ID] = peers.NewGroup(m)
		groups[m.ID].Hear(now, peers.Registration, members...)
	}
	groups["better"].Fail("worse")
	groups["worse"].Fail("better")
	groups["follower 2"].Fail("better")
	groups["better"].Hear(now, peers.Itself, members[2])
	groups["worse"].Hear(now, peers.Itself, members[3])
	is.Equal(groups["worse"].Hub().ID, "worse")
	is.Equal(groups["follower 2"].Hub().ID, "worse")

	// The worse hub greets the better one's follower, the last that it has not heard.
	m, ok := groups["worse"].Unheard(now, func(n int) int { return n - 1 })
	is.True(ok)
	is.Equal(m.ID, "follower 1")
	groups["worse"].Hear(now, peers.HubsWord, groups[m.ID].Acquaintances(now)...)
	is.Equal(groups["worse"].Hub().ID, "better")
	// Its own follower is told with the next answer.
	groups["worse"].Hear(now, peers.Itself, better)
	groups["follower 2"].Hear(now, peers.HubsWord, groups["worse"].Acquaintances(now)...)
	is.Equal(groups["follower 2"].Hub().ID, "better")
}

func event(key string, revision int64, deleted bool) ports.WatchEvent {
	return ports.WatchEvent{KeyValue: ports.KeyValue{Key: key, Revision: revision}, Deleted: deleted}
}

func TestAFeedBringsFollowersUpToDate(t *testing.T) {
	is := is.New(t)
	f := peers.NewFeed()
	f.Replace([]ports.KeyValue{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, 5)
	u, _ := f.Since(0)
	is.True(u.Whole) // a follower from before the list gets everything
	is.Equal(len(u.Events), 2)

	_, changed := f.Since(5)
	f.Apply([]ports.WatchEvent{event("a", 6, true), event("c", 7, false)}, 8)
	<-changed
	u, _ = f.Since(5)
	is.True(!u.Whole)
	is.Equal(len(u.Events), 2)
	is.Equal(u.Revision, int64(8))
	u, _ = f.Since(6)
	is.Equal(len(u.Events), 1)
	u, _ = f.Since(20) // a follower that is ahead of this process
	is.Equal(u.Revision, int64(20))
	is.Equal(len(u.Events), 0)
}
