package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

func TestACallWhoseConnectionWasClosedAsIdleIsNotServed(t *testing.T) {
	is := is.New(t)
	c := newConnections()
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	ctx := c.attach(context.Background(), server)
	c.closeIdle()
	is.True(c.begin(ctx)) // a connection that has carried no call stays: one may be on its way
	c.closeIdle()
	is.True(c.begin(ctx)) // and so does one whose call is under way
	c.note(server, http.StateIdle)
	c.closeIdle()
	is.True(!c.begin(ctx)) // a call that crosses the close must not run
}

func TestACallThatWaitedAtABusyServerDoesNotCountAgainstIt(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	placed := func(calls int, age time.Duration) placement {
		return placement{
			server: &fleet.BackendServer{Slots: 4}, calls: calls, ticket: &ticket{began: time.Now().Add(-age)},
		}
	}
	silence := errors.New("i/o timeout")
	is.Equal(judge(ended, placed(4, time.Minute), silence), outcomeNeutral) // full: it may merely have waited
	is.Equal(judge(ended, placed(0, time.Minute), silence), outcomeFailed)  // idle and silent
	is.Equal(judge(ended, placed(0, 0), silence), outcomeNeutral)           // the time was up at once
	live := context.Background()
	is.Equal(judge(live, placed(4, 0), silence), outcomeFailed)
	is.Equal(judge(live, placed(0, 0), &notRun{errors.New("full")}), outcomeNeutral)
	is.Equal(judge(live, placed(0, 0), &notRun{&upstream.DialError{Err: errors.New("refused")}}), outcomeFailed)
	is.Equal(judge(live, placed(0, 0), &callerGone{errors.New("left")}), outcomeNeutral)
	is.Equal(judge(live, placed(0, 0), nil), outcomeServed)
}
