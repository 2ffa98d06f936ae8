package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/streams"
)

// A caller whose connection breaks right after the first event may be back before the hub knows who began its stream.
func TestTakeUpWaitsForAnOriginThatIsOnItsWay(t *testing.T) {
	is := is.New(t)
	origin := streams.Origin{Service: "llm", Version: "v1"}
	value, err := streams.NewLedger().Add("", "call", origin, time.Now())
	is.NoErr(err)
	hub := &stubHub{values: [][]byte{nil, nil, value}}
	g := newFollower(t, hub)
	o := newOrigins(t.Context(), g.storeAccess, g.log)
	found, err := o.find(t.Context(), "", "call", time.Now())
	is.NoErr(err)
	is.Equal(*found, origin)
	found, err = o.find(t.Context(), "", "call", time.Now()) // without asking again
	is.NoErr(err)
	is.Equal(*found, origin)
	_, err = o.find(t.Context(), "", "never-begun", time.Now().Add(time.Hour))
	is.True(errors.Is(err, streams.ErrUnknown)) // not only at the deadline
}
