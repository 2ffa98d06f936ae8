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
