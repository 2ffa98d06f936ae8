package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/quota"
	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
)

var limits = quota.Limits{Window: 5 * time.Second, Excess: 0.1, Extra: 20}

const (
	step        = 10 * time.Millisecond
	patience    = 4 * time.Second
	callTime    = 300 * time.Millisecond // Mean time of a call.
	meanCalls   = 20.0                   // Of a program.
	finishSlack = 3                      // Multiple of its usual time in which a program should finish.
)

// load plays the programs of one organisation against decisions about their calls.
type load struct {
	decide  func(now time.Time, c quota.Call) quota.Decision
	random  *rand.Rand
	single  bool // A program begins only when none runs.
	now     time.Time
	started int
	running []*run
	issued  []time.Time // Times of the permits.
	asked   int
	refused int
	ended   int // Programs that ended in time.
	failed  int // Programs that did not.
}

// run is one program: it makes its calls in bursts of up to four, the next burst when the last one has been answered.
type run struct {
	id       string
	left     int // Calls that are not part of a burst yet.
	calls    int // Calls granted.
	finishBy time.Time
	pending  []pending
	busy     time.Time // End of the longest call of the burst.
}

// pending is a call that has no permit yet.
type pending struct {
	askAt, deadline time.Time
	held            bool
}

func newLoad(decide func(time.Time, quota.Call) quota.Decision, seed uint64) *load {
	return &load{decide: decide, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0)}
}

// play plays programs that arrive at random for the given time, as many as make perSecond calls on average.
func (l *load) play(length time.Duration, perSecond float64) {
	for end := l.now.Add(length); l.now.Before(end); l.now = l.now.Add(step) {
		if l.random.Float64() < perSecond/meanCalls*step.Seconds() && !(l.single && len(l.running) > 0) {
			l.started++
			calls := 6 + l.random.IntN(2*int(meanCalls)-12+1)
			usual := time.Duration(float64(calls)/2.5*1.5) * callTime
			l.running = append(l.running, &run{
				id: fmt.Sprint("program-", l.started), left: calls, finishBy: l.now.Add(finishSlack * usual),
			})
		}
		l.running = slices.DeleteFunc(l.running, func(r *run) bool { return l.step(r) })
	}
}

// step advances a program and reports whether it has ended.
func (l *load) step(r *run) bool {
	if l.now.After(r.finishBy) {
		l.failed++
		return true
	}
	kept := r.pending[:0]
	for _, p := range r.pending {
		if !p.askAt.After(l.now) && !l.ask(r, &p) {
			l.failed++
			return true
		}
		if !p.askAt.IsZero() {
			kept = append(kept, p)
		}
	}
	r.pending = kept
	if len(r.pending) > 0 || l.now.Before(r.busy) {
		return false
	}
	if r.left == 0 {
		l.ended++
		return true
	}
	for range min(1+l.random.IntN(4), r.left) {
		r.left--
		r.pending = append(r.pending, pending{askAt: l.now, deadline: l.now.Add(patience)})
		if r.calls == 0 {
			break // The first turn is alone.
		}
	}
	return false
}

// ask asks for a permit. It reports false if the program gives up.
func (l *load) ask(r *run, p *pending) bool {
	l.asked++
	left := p.deadline.Sub(l.now)
	d := l.decide(l.now, quota.Call{
		Organisation: "a", Program: r.id, Route: "turns", New: r.calls == 0, FinishIn: r.finishBy.Sub(l.now), Patience: left, Held: p.held,
	})
	if d.Granted {
		r.calls++
		l.issued = append(l.issued, l.now.Add(d.Delay))
		if end := l.now.Add(d.Delay + time.Duration(float64(callTime)*(0.5+l.random.Float64()))); end.After(r.busy) {
			r.busy = end
		}
		p.askAt = time.Time{}
		return true
	}
	if !d.Hold {
		l.refused++
	}
	p.askAt, p.held = l.now.Add(d.Retry), d.Hold
	return d.Retry <= left/3+step
}

// most returns the largest number of permits in a window after the given time.
func most(issued []time.Time, after time.Time) int {
	slices.SortFunc(issued, time.Time.Compare)
	found, first := 0, 0
	for i, at := range issued {
		for at.Sub(issued[first]) >= limits.Window || issued[first].Before(after) && first < i {
			first++
		}
		found = max(found, i-first+1)
	}
	return found
}

// hub returns the decisions of a hub under a quota that may change.
func hub(q *quota.Quota) func(time.Time, quota.Call) quota.Decision {
	issuer := quota.NewIssuer(limits)
	return func(now time.Time, c quota.Call) quota.Decision {
		issuer.Lead(now, 1)
		return issuer.Decide(now, *q, c)
	}
}

// inOrder returns decisions that issue permits in the order of the calls.
func inOrder(q quota.Quota) func(time.Time, quota.Call) quota.Decision {
	var bucket *ratelimit.Bucket
	return func(now time.Time, _ quota.Call) quota.Decision {
		if bucket == nil {
			bucket = ratelimit.NewBucket(now, q.RatePerSecond*1.05, q.Burst+10)
		}
		wait, granted := bucket.Take(now, 100*time.Millisecond)
		return quota.Decision{Granted: granted, Delay: wait, Retry: max(wait, step)}
	}
}

// An organisation sends six times its quota. Guards against calls of programs that cannot complete using up the quota, and
// against more calls in some window than are allowed.
func TestOverloadedOrganisationCompletesPrograms(t *testing.T) {
	for _, q := range []quota.Quota{{RatePerSecond: 10, Burst: 5}, {RatePerSecond: 40, Burst: 20}} {
		t.Run(fmt.Sprint(q.RatePerSecond), func(t *testing.T) {
			is := is.New(t)
			const seeds = 5
			got, baseline := 0.0, 0.0
			for seed := range uint64(seeds) {
				l, first := newLoad(hub(&q), seed), newLoad(inOrder(q), seed)
				l.play(60*time.Second, 6*q.RatePerSecond)
				first.play(60*time.Second, 6*q.RatePerSecond)
				got += float64(l.ended) / float64(l.ended+l.failed) / seeds
				baseline += float64(first.ended) / float64(first.ended+first.failed) / seeds
				is.True(float64(most(l.issued, time.Time{})) <= limits.Allowed(q))
			}
			t.Logf("ended in time: %.3f of the programs, in order of arrival %.3f", got, baseline)
			is.True(got >= 0.7/6) // the quota's share of the demand is 1/6
			is.True(got >= 2*baseline)
		})
	}
}

// Organisations send 1/1.6 of their quotas on average, in bursts. Guards against refusals below the quota.
func TestOrganisationWithinItsQuotaIsNotRefused(t *testing.T) {
	for _, test := range []struct {
		quota  quota.Quota
		single bool    // One program runs at a time.
		most   float64 // Share of the calls that may be refused.
	}{
		{quota.Quota{RatePerSecond: 60, Burst: 30}, false, 0},
		{quota.Quota{RatePerSecond: 10, Burst: 5}, false, 0.01},
		{quota.Quota{RatePerSecond: 2, Burst: 2}, true, 0.002},
	} {
		t.Run(fmt.Sprint(test.quota.RatePerSecond), func(t *testing.T) {
			is := is.New(t)
			asked, refused, ended, failed := 0, 0, 0, 0
			for seed := range uint64(20) {
				l := newLoad(hub(&test.quota), seed)
				l.single = test.single
				l.play(40*time.Second, test.quota.RatePerSecond/1.6)
				asked, refused, ended, failed = asked+l.asked, refused+l.refused, ended+l.ended, failed+l.failed
				is.True(float64(most(l.issued, time.Time{})) <= limits.Allowed(test.quota))
			}
			t.Logf("%d of %d calls refused, %d programs ended in time, %d did not", refused, asked, ended, failed)
			is.True(float64(refused) <= test.most*float64(asked))
		})
	}
}

// A quota is lowered to a fifth of the demand. Guards against calls beyond the new quota once a window has passed, and against
// running programs taking each other's last calls.
func TestLoweredQuotaBindsAndProgramsNearTheirEndComplete(t *testing.T) {
	is := is.New(t)
	q := quota.Quota{RatePerSecond: 50, Burst: 20}
	l := newLoad(hub(&q), 1)
	l.play(30*time.Second, 30)
	lowered := l.now
	q = quota.Quota{RatePerSecond: 6, Burst: 3}
	ended, failed := l.ended, l.failed
	l.play(30*time.Second, 30)
	got := l.ended - ended
	t.Logf("%d programs ended in time, %d did not; %d permits in a window, allowed %.0f", got, l.failed-failed, most(l.issued, lowered), limits.Allowed(q))
	is.True(float64(most(l.issued, lowered)) <= limits.Allowed(q))
	is.True(got >= int(0.7*30*q.RatePerSecond/meanCalls))
}
