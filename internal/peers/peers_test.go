package peers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// member returns a gateway that the key-value service answers. start is the start of its process in Unix milliseconds.
func member(id string, capacity float64, start int64) peers.Member {
	return peers.Member{ID: id, Incarnation: id, Capacity: capacity, StartMS: start, StoreFresh: true}
}

func TestHubHasMostCapacityThenEarliestStart(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	is.Equal(g.Hub().ID, "self")
	g.Merge(now, peers.SourceRegistration, member("young", 0.8, 3), member("old", 0.8, 2))
	is.Equal(g.Hub().ID, "old")
}

func TestFailedMemberIsNotHubUntilItSendsMessage(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	g.Merge(now, peers.SourceRegistration, member("dead", 0.8, 2), member("next", 0.5, 2))
	is.True(g.MarkFailed("dead"))
	is.True(!g.MarkFailed("dead")) // already marked
	is.Equal(g.Hub().ID, "next")
	g.Merge(now.Add(time.Hour), peers.SourceRegistration, member("dead", 0.8, 2)) // its registration outlives it
	is.Equal(g.Hub().ID, "next")
	g.Merge(now.Add(time.Hour), peers.SourceHub, member("dead", 0.8, 2)) // the hub got a message from it
	is.Equal(g.Hub().ID, "dead")
}

func TestRestartedMemberReplacesFormerIncarnation(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	g.Merge(now, peers.SourceRegistration, member("a", 0.8, 2))
	g.MarkFailed("a")
	again := member("a", 0.8, 5)
	again.Incarnation = "a2"
	g.Merge(now, peers.SourceRegistration, again)
	is.Equal(g.Hub().ID, "a")
	g.Merge(now, peers.SourceMember, member("a", 0.8, 2)) // a late message of the former incarnation
	is.Equal(g.Hub().Incarnation, "a2")
}

func TestHubStaysDuringOutageWithoutRelays(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	now := time.Now()
	away := member("hub", 0.8, 2)
	away.StoreFresh = false
	g.Merge(now, peers.SourceMember, away)
	is.Equal(g.Hub().ID, "self") // members that the service answers are preferred
	g.SetStoreFresh(now, false)
	is.Equal(g.Hub().ID, "hub")
	is.Equal(len(g.Relays(3)), 0)
}

// TestHubStaysWhenAllLoseStore guards against a change of the hub during an outage of the key-value service for all
// members. The members learn of the beginning and the end of the outage one after the other, so for a short time the service
// seems to answer others but not the hub.
func TestHubStaysWhenAllLoseStore(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	hub, other := member("hub", 0.8, 2), member("other", 0.7, 2)
	now := time.Now()
	g.Merge(now, peers.SourceMember, hub, other)
	is.Equal(g.Hub().ID, "hub")

	hub.StoreFresh = false // It calls the service most often, so it notices first.
	began := now.Add(-5 * time.Second)
	g.Merge(began, peers.SourceMember, hub)
	g.ClearStoreFresh(began)
	is.Equal(g.Hub().ID, "hub")
	g.SetStoreFresh(now, true) // The service answers this process again, but not yet the hub.
	is.Equal(g.Hub().ID, "hub")
}

// TestHubThatAloneLosesStoreIsReplaced checks that another member becomes the hub when only the hub cannot reach the
// key-value service: the others probe the service and get answers.
func TestHubThatAloneLosesStoreIsReplaced(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.1, 1))
	hub, other := member("hub", 0.8, 2), member("other", 0.7, 2)
	began := time.Now().Add(-time.Second)
	g.Merge(began, peers.SourceMember, hub, other)
	hub.StoreFresh = false
	g.Merge(began, peers.SourceMember, hub)
	g.ClearStoreFresh(began)
	is.Equal(g.Hub().ID, "hub") // the other members' access is not confirmed yet
	g.SetStoreFresh(began, true)
	g.Merge(time.Now(), peers.SourceHub, other)
	is.Equal(g.Hub().ID, "other")
}

func TestSilentMemberReturnsMemberWithoutRecentMessage(t *testing.T) {
	is := is.New(t)
	g := peers.NewGroup(member("self", 0.9, 1))
	now := time.Now()
	pick := func(int) int { return 0 }
	_, ok := g.SilentMember(now, pick)
	is.True(!ok)
	g.Merge(now, peers.SourceRegistration, member("a", 0.1, 1))
	m, ok := g.SilentMember(now, pick)
	is.True(ok)
	is.Equal(m.ID, "a")
	g.Merge(now, peers.SourceMember, m)
	_, ok = g.SilentMember(now, pick)
	is.True(!ok)
	is.Equal(g.Sweep(now.Add(time.Minute)), []string{"a"})
}

// TestTwoHubsWithFollowersBecomeOne guards against two hubs that persist after members failed to answer each other in time:
// two members consider themselves the hub, and each has a follower that reports to it.
func TestTwoHubsWithFollowersBecomeOne(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	better, worse := member("better", 0.8, 1), member("worse", 0.8, 2)
	members := []peers.Member{better, worse, member("follower 1", 0.1, 3), member("follower 2", 0.1, 3)}
	groups := make(map[string]*peers.Group)
	for _, m := range members {
		groups[m.ID] = peers.NewGroup(m)
		groups[m.ID].Merge(now, peers.SourceRegistration, members...)
	}
	groups["better"].MarkFailed("worse")
	groups["worse"].MarkFailed("better")
	groups["follower 2"].MarkFailed("better")
	groups["better"].Merge(now, peers.SourceMember, members[2])
	groups["worse"].Merge(now, peers.SourceMember, members[3])
	is.Equal(groups["worse"].Hub().ID, "worse")
	is.Equal(groups["follower 2"].Hub().ID, "worse")

	// The worse hub introduces itself to the better one's follower, which ranks last among the members that are silent.
	m, ok := groups["worse"].SilentMember(now, func(n int) int { return n - 1 })
	is.True(ok)
	is.Equal(m.ID, "follower 1")
	groups["worse"].Merge(now, peers.SourceHub, groups[m.ID].AliveAndHub(now)...)
	is.Equal(groups["worse"].Hub().ID, "better")
	// Its own follower learns of the better hub with the next answer.
	groups["worse"].Merge(now, peers.SourceMember, better)
	groups["follower 2"].Merge(now, peers.SourceHub, groups["worse"].AliveAndHub(now)...)
	is.Equal(groups["follower 2"].Hub().ID, "better")
}

// event returns the write or the deletion of a key at the revision.
func event(key string, revision int64, deleted bool) ports.WatchEvent {
	return ports.WatchEvent{KeyValue: ports.KeyValue{Key: key, Revision: revision}, Deleted: deleted}
}

func TestFeedSendsMissedChanges(t *testing.T) {
	is := is.New(t)
	f := peers.NewFeed(0)
	f.Replace([]ports.KeyValue{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, 5)
	u, _ := f.Since(0)
	is.True(u.Whole) // a follower older than the list gets all keys
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

func TestShareOfProcessIsThatOfTheMembersItServes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := peers.NewGroup(member("self", 0.9, 1))
	is.Equal(g.Share(now), 1.0) // alone
	others := []peers.Member{member("a", 0.1, 2), member("b", 0.1, 2), member("c", 0.1, 2)}
	g.Merge(now, peers.SourceRegistration, others...)
	is.Equal(g.Share(now), 0.25) // the others may follow another hub
	g.Merge(now, peers.SourceMember, others[0])
	is.Equal(g.Share(now), 0.5)
	g.Merge(now, peers.SourceMember, others[1])
	is.Equal(g.Share(now), 1.0) // most follow this process
	is.Equal(g.Share(now.Add(time.Minute)), 0.25)
	others[2].Leaving = true
	g.Merge(now, peers.SourceHub, others[2])
	is.Equal(g.Share(now.Add(time.Minute)), 1.0/3)
	g.Merge(now, peers.SourceRegistration, member("hub", 1, 2))
	is.Equal(g.Share(now), 0.25) // another member is the hub
}
