package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
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

// Guards against a gateway that is out of step and lets a stream go on at another version: servers of the version have joined that its
// list does not have yet, or nobody can tell it which version the stream began on.
func TestGatewayOutOfStepRefusesTakeUpOfANewerVersion(t *testing.T) {
	is := is.New(t)
	value, err := streams.NewLedger().Add("", "begun", streams.Origin{Service: "llm", Version: "v2"}, time.Now())
	is.NoErr(err)
	for _, known := range []bool{true, false} {
		hub := &stubHub{onPlace: func() {}}
		g := newFollower(t, hub) // The hub places at engine-1, whose version is not v2 in the gateway's list.
		g.origins = newOrigins(t.Context(), g.storeAccess, g.log)
		if known {
			hub.values = [][]byte{value}
		}
		turn := newTurn(g, "turn-1")
		turn.route.Resumable = true
		turn.call.LastEvent, turn.call.Resumes = "1", "begun"
		err = turn.findOrigin(t.Context())
		if !known {
			is.Equal(api.AsError(err, api.CodeOutcomeUnknown).Code, api.CodeStreamUnknown)
			continue
		}
		is.NoErr(err)
		_, err = turn.placeTurn(t.Context())
		is.Equal(api.AsError(err, api.CodeOutcomeUnknown).Code, api.CodeUnavailable)
	}
}
