package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/leaving"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// Guards against a call that waits for capacity, or that a hub without the announcement has placed, and is sent to a server that has
// announced in the meantime that it leaves. It must be placed again elsewhere.
func TestCallThatWaitedIsNotSentToALeavingServer(t *testing.T) {
	is := is.New(t)
	hub := &stubHub{}
	g := newFollower(t, hub)
	g.leaving = leaving.NewTable(time.Minute)
	g.directory.SetDepartures(g.departure)
	g.directory.Upsert(&fleet.BackendServer{ID: "engine-2", Service: "llm", Slots: 2, Revision: 2})
	engine := g.directory.View().Server("engine-1")
	hub.onPlace = func() {
		g.leaving.Add(leaving.Announcement{Server: "engine-1", At: time.Now()}, engine)
		g.directory.Refresh()
	}
	g.accounts.DepositAndReserve("p", 20, 0)
	turn := newTurn(g, "turn-1")
	p, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	is.Equal(p.server.ID, "engine-1")
	_, err = turn.send(t.Context(), p, "")
	var notRun *notRunError
	is.True(errors.As(err, &notRun))
	is.Equal(turn.sends, 0)
	is.True(turn.mayRetry(err))
	is.True(turn.tried["engine-1"])
	next, err := turn.place([]string{"llm"}, placeRequest{tried: turn.tried})
	is.NoErr(err)
	is.Equal(next.server.ID, "engine-2")
}

// Guards against a stream that is lost because the only server that may continue it leaves, and against its continuation there for a
// caller that sent its request after the drain time.
func TestPinnedStreamContinuesAtALeavingServerForEarlierRequestsOnly(t *testing.T) {
	is := is.New(t)
	g := newFollower(t, &stubHub{})
	g.leaving = leaving.NewTable(time.Second)
	g.directory.SetDepartures(g.departure)
	g.directory.Upsert(&fleet.BackendServer{ID: "engine-2", Service: "llm", Slots: 2, Revision: 2})
	engine := g.directory.View().Server("engine-1")
	g.leaving.Add(leaving.Announcement{Server: "engine-1", At: time.Now().Add(-10 * time.Second)}, engine)
	g.directory.Refresh()
	turn := newTurn(g, "turn-1")
	is.True(turn.checkLeaving(placement{server: engine, pinned: true}) != nil)
	turn.call.Arrived = time.Now().Add(-11 * time.Second)
	is.NoErr(turn.checkLeaving(placement{server: engine, pinned: true}))
	is.True(turn.checkLeaving(placement{server: engine}) != nil)
}

// Guards against a call that a hub with an older list has placed at a server which drains or is gone by this gateway's own list.
func TestCallIsNotSentToAServerThatDrainsByItsOwnList(t *testing.T) {
	for _, gone := range []bool{false, true} {
		is := is.New(t)
		hub := &stubHub{onPlace: func() {}}
		g := newFollower(t, hub)
		turn := newTurn(g, "turn-1")
		g.accounts.DepositAndReserve("p", 20, 0)
		p, err := turn.placeTurn(t.Context())
		is.NoErr(err)
		if gone {
			is.True(g.directory.Remove("engine-1", 2, time.Time{}))
		} else {
			g.directory.Upsert(&fleet.BackendServer{ID: "engine-1", Service: "llm", Slots: 2, Revision: 2, Draining: true})
		}
		g.pool = upstream.NewPool(upstream.DefaultOptions(), nil)
		_, err = turn.send(t.Context(), p, "")
		var notRun *notRunError
		is.True(errors.As(err, &notRun) && !upstream.IsNotSent(err))
		is.Equal(turn.sends, 0)
		is.True(turn.mayRetry(err))
	}
}
