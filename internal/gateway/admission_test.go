package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// noWait returns limits that leave no time to wait.
func noWait() waitLimits { return waitLimits{holdUntil: time.Now(), giveUpAt: time.Now()} }

// waitOneMinute returns limits that no test reaches.
func waitOneMinute() waitLimits {
	at := time.Now().Add(time.Minute)
	return waitLimits{holdUntil: at, giveUpAt: at}
}

// fullEngine returns an admission whose only engine runs as many calls as its limits allow, and the tickets of these calls.
func fullEngine(t *testing.T) (*admission, []*ticket) {
	t.Helper()
	g := newFollower(t, &stubHub{})
	a := newAdmission(g.loads, g.directory, g.limiter)
	a.engineLimits = schedule.EngineLimits{CallsPerSlot: 1, PendingTokens: 1000} // two slots
	var tickets []*ticket
	for range 2 {
		_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{promptTokens: 10, allCallsKnown: true}, schedule.Precedence{}, noWait())
		if err != nil {
			t.Fatal(err)
		}
		tickets = append(tickets, p.ticket)
	}
	return a, tickets
}

// placeConcurrently places one turn for each standing, in the given order of arrival. The standing of each turn is sent on
// order when the turn is admitted. ended waits until all turns have ended.
func placeConcurrently(t *testing.T, a *admission, standings ...schedule.Standing) (order <-chan schedule.Standing, ended func()) {
	t.Helper()
	places := make(chan schedule.Standing, len(standings))
	var group sync.WaitGroup
	for i, s := range standings {
		group.Go(func() {
			precedence := schedule.Precedence{Standing: s, Since: time.Now()}
			_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{allCallsKnown: true}, precedence, waitOneMinute())
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

func TestTurnsAreAdmittedByPrecedence(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	order, ended := placeConcurrently(t, a, schedule.StandingLate, schedule.StandingNew, schedule.StandingStarted)
	tickets[0].end(outcomeServed)
	is.Equal(<-order, schedule.StandingStarted)
	is.Equal(<-order, schedule.StandingNew)
	is.Equal(<-order, schedule.StandingLate)
	ended()
	tickets[1].end(outcomeServed)
	is.Equal(len(a.queues), 0) // an idle engine has no entry
}

func TestStartedTurnReleasesPendingTokens(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	a.engineLimits = schedule.EngineLimits{CallsPerSlot: 2, PendingTokens: 20} // four slots, but the 20 unread prompt tokens reach the limit
	order, ended := placeConcurrently(t, a, schedule.StandingStarted)
	is.True(tickets[0].markStarted())
	is.Equal(<-order, schedule.StandingStarted)
	ended()
	tickets[0].end(outcomeServed)
	tickets[1].end(outcomeServed)
	is.Equal(len(a.queues), 0)
}

func TestWaitEndsAtLimitOrWhenCallerLeaves(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	place := func(ctx context.Context, limits waitLimits) error {
		_, _, err := a.place(ctx, []string{"llm"}, placeRequest{allCallsKnown: true}, schedule.Precedence{}, limits)
		return err
	}
	is.True(errors.Is(place(t.Context(), noWait()), errAtCapacity))
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(place(cancelledCtx, waitOneMinute()), context.Canceled))
	is.Equal(a.waiting.Load(), int64(0))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
	is.Equal(len(a.queues), 0)
	is.Equal(a.loads.load("engine-1").calls, 0) // turns that were not admitted no longer count towards the load
	is.NoErr(place(t.Context(), noWait()))
}

// Under sustained overload a queue only grows. A caller whose wait would exceed its limit must be refused immediately, with
// the time after which to retry.
func TestTurnWithTooLongWaitIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	start := time.Now().Add(-time.Minute)
	interval := &a.queues["engine-1"].calls.Interval
	interval.Admitted(start, true)
	interval.Admitted(start.Add(10*time.Second), true)
	placeConcurrently(t, a, schedule.StandingStarted) // one turn waits
	place := func(standing schedule.Standing, maxWait time.Duration) error {
		limits := waitLimits{holdUntil: time.Now().Add(time.Hour), giveUpAt: time.Now().Add(maxWait)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, _, err := a.place(ctx, []string{"llm"}, placeRequest{allCallsKnown: true}, schedule.Precedence{Standing: standing, Since: time.Now()}, limits)
		return err
	}
	var tooLong *waitTooLongError
	is.True(errors.As(place(schedule.StandingNew, time.Second), &tooLong))
	is.Equal(tooLong.wait, 20*time.Second) // one turn ahead, at ten seconds for each admission
	is.Equal(a.waiting.Load(), int64(1))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
}

// withOrganisations adds the organisations "large" and "small" of equal weight to the configuration.
func withOrganisations(directory *fleet.Directory) {
	old := directory.View().Config
	config := fleet.NewConfig(old.Version+1, old.Routes, old.Services, old.Limits)
	config.AddOrganisations([]fleet.Organisation{{Name: "large"}, {Name: "small"}}, [][]string{{"k1"}, {"k2"}})
	directory.Configure(config)
}

// placeFirst places the first call of a program of an organisation, and sends its error when it has run. It returns once the given
// number of calls waits.
func placeFirst(t *testing.T, a *admission, organisation string, maxWait time.Duration, waiting int64) <-chan error {
	t.Helper()
	out := make(chan error, 1)
	precedence := schedule.Precedence{Standing: schedule.StandingNew, Organisation: organisation, Since: time.Now()}
	limits := waitLimits{holdUntil: time.Now().Add(time.Minute), giveUpAt: time.Now().Add(maxWait)}
	go func() {
		_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{promptTokens: 100, allCallsKnown: true}, precedence, limits)
		if err == nil {
			p.ticket.end(outcomeServed)
		}
		out <- err
	}()
	for a.waiting.Load() != waiting {
		time.Sleep(time.Millisecond)
	}
	return out
}

// A call of a small organisation goes ahead of those of one that has had its share. The one of these that can no longer be
// admitted in time is refused at once, with code 507, and does not wait until its caller gives up.
func TestCallBeyondShareIsRefusedWhenOthersGoAhead(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	withOrganisations(a.directory)
	first := placeFirst(t, a, "large", time.Minute, 1)
	tickets[0].end(outcomeServed)
	is.NoErr(<-first) // charged to the large organisation
	_, p, err := a.place(t.Context(), []string{"llm"}, placeRequest{allCallsKnown: true}, schedule.Precedence{Organisation: "large"}, noWait())
	is.NoErr(err)
	queue := a.queues["engine-1"]
	start := time.Now().Add(-time.Minute)
	queue.calls.Interval.Admitted(start, true)
	queue.calls.Interval.Admitted(start.Add(10*time.Second), true)
	waits := placeFirst(t, a, "large", time.Minute, 1)
	late := placeFirst(t, a, "large", 25*time.Second, 2)
	small := placeFirst(t, a, "small", time.Minute, 2)
	var tooLong *waitTooLongError
	is.True(errors.As(<-late, &tooLong))
	is.Equal(tooLong.wait, 30*time.Second) // two calls ahead, at ten seconds for each admission
	is.True(tooLong.beyondShare)
	x := newTurn(newFollower(t, &stubHub{}), "turn-1").exchange
	is.Equal(api.AsError(x.queueError(schedule.Precedence{}, tooLong), api.CodeUnavailable).Code, api.CodeShare)
	is.True(x.retryAfter(api.CodeShare) >= 21*time.Second)
	is.Equal(a.waiting.Load(), int64(2))
	tickets[1].end(outcomeServed)
	is.NoErr(<-small)
	is.NoErr(<-waits)
	p.ticket.end(outcomeServed)
	is.Equal(len(a.queues), 0)
	is.Equal(a.waiting.Load(), int64(0))
}

// The time from when all waiting calls have left until the next admission says nothing about the engine. Counted as an interval, it
// made the expected wait so long that calls were refused for nothing.
func TestTimeWithoutWaitingCallsIsNoAdmissionInterval(t *testing.T) {
	is := is.New(t)
	a, tickets := fullEngine(t)
	withOrganisations(a.directory)
	precedence := schedule.Precedence{Standing: schedule.StandingNew, Organisation: "large", Since: time.Now()}
	queue := a.queues["engine-1"]
	queue.calls.Interval.Admitted(time.Now(), true) // a call waits
	limits := waitLimits{holdUntil: time.Now().Add(20 * time.Millisecond), giveUpAt: time.Now().Add(time.Minute)}
	_, _, err := a.place(t.Context(), []string{"llm"}, placeRequest{allCallsKnown: true}, precedence, limits)
	is.Equal(err, errAtCapacity)
	time.Sleep(20 * time.Millisecond)
	queue.calls.Interval.Admitted(time.Now(), false)
	is.Equal(queue.calls.Interval.Wait(0), time.Duration(0))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
}
