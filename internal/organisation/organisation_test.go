package organisation_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/organisation"
)

// TestKeysAreRefusedOnlyOnKnowledgeAsRecentAsTheCall guards against 401s by an old configuration, against removed keys that are
// accepted without a check, and against waits of known keys while nothing can be checked.
func TestKeysAreRefusedOnlyOnKnowledgeAsRecentAsTheCall(t *testing.T) {
	is := is.New(t)
	arrived := time.Now()
	ago := func(d time.Duration) time.Time { return arrived.Add(-d) }
	lenient := organisation.Policy{Revocation: 5 * time.Second}
	strict := organisation.Policy{Strict: true, Revocation: 5 * time.Second}
	for _, c := range []struct {
		name              string
		policy            organisation.Policy
		known, checked    bool
		confirmed, failed time.Time
		want              organisation.Decision
	}{
		{"unknown, older knowledge", lenient, false, false, ago(time.Millisecond), time.Time{}, organisation.Confirm},
		{"unknown, no knowledge", lenient, false, false, time.Time{}, time.Time{}, organisation.Confirm},
		{"unknown, knowledge of the arrival", lenient, false, false, arrived, time.Time{}, organisation.Reject},
		{"unknown, check failed", lenient, false, true, ago(time.Millisecond), ago(0), organisation.Unsure},
		{"known, recent", lenient, true, false, ago(2 * time.Second), time.Time{}, organisation.Accept},
		{"known, old", lenient, true, false, ago(3 * time.Second), time.Time{}, organisation.Confirm},
		{"known, failed long ago", lenient, true, false, ago(3 * time.Second), ago(3 * time.Second), organisation.Confirm},
		{"known, outage", lenient, true, false, ago(time.Hour), ago(time.Second), organisation.Accept},
		{"known, check failed now", lenient, true, true, ago(time.Hour), ago(0), organisation.Accept},
		{"known, since the start never confirmed", lenient, true, false, time.Time{}, ago(time.Second), organisation.Confirm},
		{"known, never confirmed and failed", lenient, true, true, time.Time{}, ago(0), organisation.Unsure},
		{"strict, within the time", strict, true, false, ago(4 * time.Second), ago(time.Second), organisation.Accept},
		{"strict, expired", strict, true, false, ago(6 * time.Second), time.Time{}, organisation.Confirm},
		{"strict, expired in an outage", strict, true, false, ago(6 * time.Second), ago(time.Second), organisation.Unsure},
	} {
		got := c.policy.Decide(organisation.Situation{
			Known: c.known, Arrived: arrived, Now: arrived, ConfirmedAt: c.confirmed, FailedAt: c.failed, Checked: c.checked,
		})
		if got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
	is.True(strict.ConfirmInterval() < strict.Revocation/2) // a calm day must not refuse keys
}

// TestOutdatedAnswersConfirmNothing guards against a key that becomes valid again after a restart, and against 401s by a store
// that answers with an older configuration than before.
func TestOutdatedAnswersConfirmNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	k := organisation.NewKnowledge(start)
	is.True(!k.Confirm(7, 7, start.Add(-time.Millisecond))) // known from before the start
	is.True(!k.Confirm(6, 7, start.Add(time.Second)))       // an older version
	is.True(!k.Confirm(8, 7, start.Add(time.Second)))       // a newer one that is not in force
	is.True(k.ConfirmedAt().IsZero())
	is.Equal(k.Age(start), time.Duration(-1))
	is.True(k.Confirm(7, 7, start.Add(time.Second)))
	is.True(k.Confirm(7, 7, start)) // does not go back
	is.True(k.IsConfirmedSince(start.Add(time.Second)))
	is.True(!k.IsConfirmedSince(start.Add(time.Second + 1)))
}

// attempts records when attempts began. Its confirm takes some time, as a read does.
type attempts struct {
	knowledge *organisation.Knowledge
	fail      bool

	mu    sync.Mutex
	began []time.Time
}

func (a *attempts) confirm(_ context.Context, began time.Time) error {
	a.mu.Lock()
	a.began = append(a.began, time.Now())
	a.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if a.fail {
		return errors.New("the store is unavailable")
	}
	a.knowledge.Confirm(1, 1, began)
	return nil
}

// beginnings returns when the attempts so far began.
func (a *attempts) beginnings() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.began)
}

func newRecheck(t *testing.T, interval time.Duration, fail bool) (*organisation.Recheck, *attempts) {
	a := &attempts{knowledge: organisation.NewKnowledge(time.Now()), fail: fail}
	return organisation.NewRecheck(t.Context(), slog.New(slog.DiscardHandler), a.knowledge, interval, a.confirm), a
}

// TestFloodOfChecksCostsOneReadPerInterval guards against a read of the store for each call with an unknown key. 200 callers ask
// again as soon as they are answered.
func TestFloodOfChecksCostsOneReadPerInterval(t *testing.T) {
	is := is.New(t)
	const interval = 100 * time.Millisecond
	r, a := newRecheck(t, interval, false)
	end := time.Now().Add(10 * interval)
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			for time.Now().Before(end) {
				arrived := time.Now()
				is.NoErr(r.AwaitCall(t.Context(), arrived, time.Second))
				is.True(!a.knowledge.ConfirmedAt().Before(arrived))
			}
		})
	}
	group.Wait()
	began := a.beginnings()
	is.True(len(began) >= 5 && len(began) <= 12)
	for i := 1; i < len(began); i++ {
		is.True(began[i].Sub(began[i-1]) > interval-5*time.Millisecond)
	}
}

// TestFailedChecksEndInTimeAndAreRepeated guards against calls that wait for ever, calls refused by one lost read, and more
// waiting calls than the memory of a process holds.
func TestFailedChecksEndInTimeAndAreRepeated(t *testing.T) {
	is := is.New(t)
	r, a := newRecheck(t, 20*time.Millisecond, true)
	began := time.Now()
	var group sync.WaitGroup
	var mu sync.Mutex
	failures := map[bool]int{}
	for range 1100 {
		group.Go(func() {
			err := r.AwaitCall(t.Context(), time.Now(), 500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			failures[errors.Is(err, organisation.ErrTooManyWaiting)]++
		})
	}
	group.Wait()
	is.Equal(failures, map[bool]int{true: 100, false: 1000})
	is.True(time.Since(began) < 900*time.Millisecond)
	is.True(len(a.beginnings()) > 3)
	is.True(!r.FailedAt().IsZero())

	ended, stop := context.WithCancel(t.Context())
	stop()
	late := organisation.NewRecheck(ended, slog.New(slog.DiscardHandler), a.knowledge, 0, a.confirm)
	is.True(late.Await(t.Context(), time.Now()) != nil) // the process ends
}

// TestLabelsOfCountersAreBounded guards against scrapes that grow with the number of organisations, and against names that break
// them.
func TestLabelsOfCountersAreBounded(t *testing.T) {
	is := is.New(t)
	set := vm.NewSet()
	c := organisation.NewCounters(set, "calls_total")
	c.Inc("a \"b\\c\"\n{}", "answered")
	for i := range 300 {
		c.Inc(fmt.Sprint("org-", i), "answered")
	}
	c.Inc("org-1", "answered")
	var out bytes.Buffer
	set.WritePrometheus(&out)
	is.Equal(strings.Count(out.String(), "\n"), 100)
	is.True(strings.Contains(out.String(), `organisation="org-1",outcome="answered"} 2`))
	is.True(strings.Contains(out.String(), `organisation="other",outcome="answered"} 202`))
	is.True(strings.Contains(out.String(), `organisation="a \"b\\c\"\n{}",outcome="answered"} 1`))
}
