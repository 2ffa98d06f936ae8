package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// now returns limits that leave no time to wait.
func now() waitLimits { return waitLimits{hold: time.Now(), giveUp: time.Now()} }

// inAMinute returns limits that are not reached.
func inAMinute() waitLimits {
	at := time.Now().Add(time.Minute)
	return waitLimits{hold: at, giveUp: at}
}

// fullEngine returns an admission whose only engine has as many calls as it is given at once, and their tickets.
func fullEngine(t *testing.T) (*admission, []*ticket) {
	t.Helper()
	g := newFollower(t, &stubHub{})
	a := newAdmission(g.loads, g.directory)
	a.room = schedule.EngineLimits{CallsPerSlot: 1, PendingTokens: 1000} // two slots
	var tickets []*ticket
	for range 2 {
		_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{promptTokens: 10}, schedule.Precedence{}, now())
		if err != nil {
			t.Fatal(err)
		}
		tickets = append(tickets, p.ticket)
	}
	return a, tickets
}

// admitted places turns with the standings and sends each as it gets its place. ended waits until all have ended.
func admitted(t *testing.T, a *admission, standings ...schedule.Standing) (order <-chan schedule.Standing, ended func()) {
	t.Helper()
	places := make(chan schedule.Standing, len(standings))
	var group sync.WaitGroup
	for i, s := range standings {
		group.Go(func() {
			claim := schedule.Precedence{Standing: s, Since: time.Now()}
			_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{}, claim, inAMinute())
			if err == nil {
				places <- s
				p.ticket.end(outcomeServed)
			}
		})
		for a.waiting.Load() <= int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	return places, group.Wait
}

func TestTurnsWaitForTheirEngineInTheOrderOfTheirClaims(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	order, ended := admitted(t, a, schedule.StandingLate, schedule.StandingNew, schedule.StandingStarted)
	tickets[0].end(outcomeServed)
	is.Equal(<-order, schedule.StandingStarted)
	is.Equal(<-order, schedule.StandingNew)
	is.Equal(<-order, schedule.StandingLate)
	ended()
	tickets[1].end(outcomeServed)
	is.Equal(len(a.engines), 0) // nothing is kept of an idle engine
}

func TestATurnThatHasReadItsPromptMakesRoom(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	a.room = schedule.EngineLimits{CallsPerSlot: 2, PendingTokens: 20} // four slots, and 20 tokens are to be read
	order, ended := admitted(t, a, schedule.StandingStarted)
	is.True(tickets[0].started())
	is.Equal(<-order, schedule.StandingStarted)
	ended()
	tickets[0].end(outcomeServed)
	tickets[1].end(outcomeServed)
	is.Equal(len(a.engines), 0)
}

func TestATurnWaitsNoLongerThanItsLimitOrItsCaller(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	place := func(ctx context.Context, limits waitLimits) error {
		_, _, err := a.place(ctx, []string{"llm"}, placeRequest{}, schedule.Precedence{}, limits)
		return err
	}
	is.True(errors.Is(place(t.Context(), now()), errEnginesFull))
	gone, leave := context.WithCancel(t.Context())
	leave()
	is.True(errors.Is(place(gone, inAMinute()), context.Canceled))
	is.Equal(a.waiting.Load(), int64(0))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
	is.Equal(len(a.engines), 0)
	is.Equal(a.loads.load("engine-1").calls, 0) // turns that left count no longer
	is.NoErr(place(t.Context(), now()))
}

// Under a load that lasts, a line only grows. A caller that would wait in vain is told at once when to come back.
func TestATurnWhoseLineIsTooLongIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	began := time.Now().Add(-time.Minute)
	pace := &a.engines["engine-1"].pace
	pace.Admitted(began, true)
	pace.Admitted(began.Add(10*time.Second), true)
	admitted(t, a, schedule.StandingStarted) // one waits
	place := func(standing schedule.Standing, patience time.Duration) error {
		limits := waitLimits{hold: time.Now().Add(time.Hour), giveUp: time.Now().Add(patience)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, _, err := a.place(ctx, []string{"llm"}, placeRequest{}, schedule.Precedence{Standing: standing, Since: time.Now()}, limits)
		return err
	}
	var noRoom *noRoomError
	is.True(errors.As(place(schedule.StandingNew, time.Second), &noRoom))
	is.Equal(noRoom.wait, 20*time.Second) // behind one other, at ten seconds each
	is.Equal(a.waiting.Load(), int64(1))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
}
