package policy

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const testMaxAge = 4 * time.Second

// testClock is a clock that a test advances.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time          { return c.at }
func (c *testClock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTestTracker() (*Tracker, *testClock) {
	clock := &testClock{at: time.Unix(1_000_000, 0)}
	return NewTracker(Default(), testMaxAge, clock.now), clock
}

func snapshotOf(revision uint64) Snapshot {
	return Snapshot{Entry: Entry{Revision: revision}, Config: Default()}
}

func TestTrackerIsFreshOnlyWhileConfirmed(t *testing.T) {
	is := is.New(t)
	tr, clock := newTestTracker()
	is.True(!tr.Fresh(clock.now())) // never confirmed
	is.True(tr.Age(clock.now()) < 0)
	tr.SetPeers(nil, clock.now())
	is.True(!tr.Fresh(clock.now())) // no peers, but just started: it may have missed a revision

	tr.Observe(0, Source{Kind: SourceStore, RequestedAt: clock.now()})
	is.True(tr.Fresh(clock.now()))
	clock.advance(testMaxAge - 1)
	is.True(tr.Fresh(clock.now()))
	clock.advance(1)
	is.True(!tr.Fresh(clock.now()))
	_, err := tr.AwaitFresh(t.Context())
	is.Equal(codeOf(err), api.CodeStaleConfig)

	tr.Observe(0, Source{Kind: SourceWatch})
	is.True(!tr.Fresh(clock.now())) // a watch event may be delayed, so it confirms nothing
	tr.Observe(0, Source{Kind: SourcePeer, Peer: "b", RequestedAt: clock.now(), Age: time.Second})
	is.True(tr.Fresh(clock.now()))
	clock.advance(testMaxAge - time.Second)
	is.True(!tr.Fresh(clock.now())) // the peer's confirmation was already a second old
}

func TestTrackerStaysFreshWhileEveryEntryAnswers(t *testing.T) {
	is := is.New(t)
	tr, clock := newTestTracker()
	confirm := func() { tr.Observe(0, Source{Kind: SourceStore, RequestedAt: clock.now()}) }
	advance := func(times int, listed, answering string) {
		for range times {
			clock.advance(testMaxAge / 3)
			tr.SetPeers(strings.Fields(listed), clock.now())
			for _, peer := range strings.Fields(answering) {
				tr.Observe(0, Source{Kind: SourcePeer, Peer: peer, RequestedAt: clock.now(), Age: -1})
			}
		}
	}
	tr.SetPeers([]string{"b", "c"}, clock.now())
	confirm()
	advance(4, "b c", "b")
	is.True(!tr.Fresh(clock.now())) // c may have accepted a revision without reporting it
	advance(4, "b c", "b c")
	is.True(!tr.Fresh(clock.now())) // after expiry, only a confirmation restores freshness
	confirm()
	advance(100, "b c", "b c")
	is.True(tr.Fresh(clock.now()))
	advance(100, "b", "b")
	is.True(tr.Fresh(clock.now())) // c is no longer listed
}

func TestTrackerNeverServesBelowWhatItKnows(t *testing.T) {
	is := is.New(t)
	tr, clock := newTestTracker()
	tr.Observe(3, Source{Kind: SourceStore, RequestedAt: clock.now()})
	endedCtx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := tr.AwaitFresh(endedCtx)
	is.Equal(codeOf(err), api.CodeStaleConfig)

	served := make(chan *Snapshot)
	go func() {
		s, _ := tr.AwaitFresh(t.Context())
		served <- s
	}()
	tr.Install(snapshotOf(2)) // lower than the known revision 3
	tr.Install(snapshotOf(4))
	s := <-served
	is.True(s != nil)
	is.Equal(s.Entry.Revision, uint64(4))
	tr.Install(snapshotOf(3))
	is.Equal(tr.Current().Entry.Revision, uint64(4))
	is.Equal(tr.Known(), uint64(4))
	set := metrics.NewSet()
	tr.RegisterMetrics(set)
	var page strings.Builder
	set.WritePrometheus(&page)
	is.True(strings.Contains(page.String(), "redwinggauge_config_revision 4\n"))
	is.True(strings.Contains(page.String(), "redwinggauge_config_fresh 1\n"))
}

func TestTrackerRevisionOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, clock := newTestTracker()
		endedCtx, cancel := context.WithCancel(t.Context())
		cancel()
		var known, current uint64
		for range 50 {
			revision := rapid.Uint64Range(0, 20).Draw(t, "revision")
			if rapid.Bool().Draw(t, "install") {
				tr.Install(snapshotOf(revision))
				current = max(current, revision)
			} else {
				tr.Observe(revision, Source{Kind: SourceKind(rapid.IntRange(0, 2).Draw(t, "kind")), RequestedAt: clock.now()})
			}
			known = max(known, revision)
			s, err := tr.AwaitFresh(endedCtx)
			if err == nil && s.Entry.Revision < known {
				t.Fatalf("served under revision %d although %d was known", s.Entry.Revision, known)
			}
			if tr.Current().Entry.Revision != current {
				t.Fatalf("current revision is %d, want %d", tr.Current().Entry.Revision, current)
			}
			clock.advance(rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "pass"))
		}
	})
}

// startFollowing runs Follow in the background until the test ends.
func startFollowing(t *testing.T, tr *Tracker, head HeadReader, fetch Fetcher) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tr.Follow(ctx, head, fetch)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func awaitRevision(t *testing.T, tr *Tracker, revision uint64) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for tr.Current().Entry.Revision < revision {
		if time.Now().After(deadline) {
			t.Fatalf("revision %d was not installed in time; current %d, known %d", revision, tr.Current().Entry.Revision, tr.Known())
		}
		time.Sleep(time.Millisecond)
	}
}

func TestFollowBringsChangesIntoForce(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	s := newTestStore(kv)
	tr := NewTracker(Default(), testMaxAge, time.Now)
	startFollowing(t, tr, s, s)
	for base := range uint64(3) {
		_, err := s.Submit(t.Context(), submission(base, "rosa", "key-of-rosa"))
		is.NoErr(err)
		awaitRevision(t, tr, base+1)
	}
	snapshot, err := tr.AwaitFresh(t.Context())
	is.NoErr(err)
	is.Equal(snapshot.Entry.Author, "rosa")
}

func TestFollowFetchesFromAPeerWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	s := newTestStore(kv)
	_, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
	is.NoErr(err)
	peer, err := s.Get(t.Context(), 1)
	is.NoErr(err)
	kv.makeUnavailable()
	tr := NewTracker(Default(), testMaxAge, time.Now)
	startFollowing(t, tr, s, Fetchers{s, fixedFetcher(peer)})
	_, err = tr.AwaitFresh(t.Context())
	is.Equal(codeOf(err), api.CodeStaleConfig) // after a restart, without the key-value service and peers
	tr.Observe(1, Source{Kind: SourcePeer, Peer: "b", RequestedAt: time.Now(), Age: 0})
	snapshot, err := tr.AwaitFresh(t.Context())
	is.NoErr(err)
	is.Equal(snapshot.Entry.Revision, uint64(1))
}

// fixedFetcher is a Fetcher that always returns the same snapshot.
type fixedFetcher Snapshot

func (f fixedFetcher) Fetch(context.Context, uint64) (Snapshot, error) { return Snapshot(f), nil }
