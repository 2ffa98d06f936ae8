package streams_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/streams"
)

func TestStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	is := is.New(t)
	old, newer := &fleet.BackendServer{Service: "llm", Version: "v1"}, &fleet.BackendServer{Service: "llm", Version: "v2"}
	origin := streams.OriginOf(old)
	is.True(origin.MayGoOnAt(old))
	is.True(!origin.MayGoOnAt(newer))
	var none *streams.Origin // a stream that has not begun
	is.True(none.MayGoOnAt(newer))
	is.Equal(origin.Services([]string{"other", "llm"}), []string{"llm"})
	is.Equal(origin.Services([]string{"other", "third"}), []string{"other", "third"}) // the route has moved
	is.Equal(none.Services([]string{"other", "llm"}), []string{"other", "llm"})
}

func TestOriginIsKeptUntilNoCallerTakesItsStreamUp(t *testing.T) {
	is := is.New(t)
	now := time.Now().Truncate(time.Millisecond)
	first, second := streams.NewLedger(), streams.NewLedger()
	value, err := first.Add("org", "call", streams.Origin{Service: "llm", Version: "v1"}, now)
	is.NoErr(err)
	is.NoErr(second.AddValue("call", value)) // as another gateway gets it
	origin, err := second.Find("org", "call")
	is.NoErr(err)
	is.Equal(*origin, streams.Origin{Service: "llm", Version: "v1"})
	known, ok := second.Value("call")
	is.True(ok)
	is.Equal(known, value)
	written, err := streams.Written(value)
	is.NoErr(err)
	is.True(written.Equal(now))
	is.Equal(len(second.Expire(now.Add(streams.Retention))), 0)
	is.Equal(second.Expire(now.Add(streams.Retention+time.Second)), []string{"call"})
	origin, err = second.Find("org", "call")
	is.NoErr(err)
	is.Equal(origin, nil)
	err = second.AddValue("call", []byte("{"))
	is.True(err != nil && !errors.Is(err, streams.ErrUnknown))
}

func TestOriginIsDoubtfulIfALaterRunMayHaveBegunTheStream(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	list := func(revision, born int64, version string) *fleet.View {
		directory.Upsert(&fleet.BackendServer{ID: "a", Service: "llm", Version: version, Born: born, Revision: revision})
		return directory.View()
	}
	begun := time.Now().UnixMilli()
	origin := streams.OriginOf(&fleet.BackendServer{ID: "a", Service: "llm", Version: "v1", Born: 100})
	is.True(!origin.IsDoubtful(directory.View()))            // it has left
	is.True(!origin.IsDoubtful(list(1, 100, "v1")))          // the same run
	is.True(!origin.IsDoubtful(list(2, begun-50, "v1")))     // another run of the same version
	is.True(origin.IsDoubtful(list(3, begun-50, "v2")))      // may have begun the stream
	is.True(origin.IsDoubtful(list(4, begun+1000, "v2")))    // by clocks that differ
	is.True(!origin.IsDoubtful(list(5, begun+10_000, "v2"))) // started after the stream
	older := &streams.Origin{Service: "llm", Version: "v1"}  // recorded by an earlier build
	is.True(!older.IsDoubtful(list(6, begun-50, "v2")))
}
