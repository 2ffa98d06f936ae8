package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

func TestTimeoutAtBusyServerIsNoFailure(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	placed := func(calls int, age time.Duration) placement {
		return placement{
			server: &fleet.BackendServer{Slots: 4}, calls: calls, ticket: &ticket{placedAt: time.Now().Add(-age)},
		}
	}
	timeout := errors.New("i/o timeout")
	is.Equal(serverOutcome(ended, placed(4, time.Minute), timeout), outcomeNeutral) // no free slot: the call may only have waited
	is.Equal(serverOutcome(ended, placed(0, time.Minute), timeout), outcomeFailed)  // the server was idle and did not answer
	is.Equal(serverOutcome(ended, placed(0, 0), timeout), outcomeNeutral)           // the deadline passed before the server had time to answer
	live := context.Background()
	is.Equal(serverOutcome(live, placed(4, 0), timeout), outcomeFailed)
	is.Equal(serverOutcome(live, placed(0, 0), &notRunError{errors.New("full")}), outcomeNeutral)
	is.Equal(serverOutcome(live, placed(0, 0), &notRunError{&upstream.DialError{Err: errors.New("refused")}}), outcomeFailed)
	is.Equal(serverOutcome(live, placed(0, 0), &callerGoneError{errors.New("left")}), outcomeNeutral)
	is.Equal(serverOutcome(live, placed(0, 0), nil), outcomeServed)
}
