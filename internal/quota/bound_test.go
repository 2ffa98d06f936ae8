package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/quota"
)

// deployment plays the issuers of several gateways, each of which presses for as many permits as it gets.
type deployment struct {
	quota   quota.Quota
	issuers []*quota.Issuer
	now     time.Time
	issued  []time.Time
	asked   int
	unused  []held // Permits that are not used yet and may be returned.
}

// held is a permit that a call has and has not used.
type held struct {
	issuer *quota.Issuer
	permit quota.Permit
	at     time.Time
}

func newDeployment(gateways int, q quota.Quota) *deployment {
	d := &deployment{quota: q, now: time.Unix(1e9, 0), issuers: make([]*quota.Issuer, gateways)}
	for i := range d.issuers {
		d.issuers[i] = quota.NewIssuer(limits)
		d.issuers[i].ObserveHub(d.now, "0")
	}
	return d
}

// press takes all permits that the issuer gives now.
func (d *deployment) press(issuer *quota.Issuer) {
	for {
		d.asked++
		decision := issuer.Decide(d.now, d.quota, quota.Call{Organisation: "a", Program: fmt.Sprint(d.asked % 7), Patience: time.Minute})
		if !decision.Granted {
			return
		}
		d.issued = append(d.issued, d.now.Add(decision.Delay))
	}
}

// hold takes n permits without using them, and returnAll returns those that are not used.
func (d *deployment) hold(issuer *quota.Issuer, n int) {
	for range n {
		if decision := issuer.Decide(d.now, d.quota, quota.Call{Organisation: "a", Patience: time.Minute}); decision.Granted {
			d.unused = append(d.unused, held{issuer, decision.Permit, d.now})
		}
	}
}

func (d *deployment) returnAll() {
	for _, h := range d.unused {
		h.issuer.Return(d.now, "a", h.permit)
	}
	d.unused = nil
}

// run advances the time; each step sets the mode of the issuers and presses.
func (d *deployment) run(length time.Duration, each func(since time.Duration)) {
	for start := d.now; d.now.Sub(start) < length; d.now = d.now.Add(step) {
		each(d.now.Sub(start))
	}
}

// lead makes gateway i the hub and press, with the share of the gateways that follow it.
func (d *deployment) lead(i int, share float64) {
	d.issuers[i].Lead(d.now, share)
	d.press(d.issuers[i])
}

const (
	noticeTime = 200 * time.Millisecond // Until a cut-off hub stops counting the others, after these follow another one.
	aliveTime  = 800 * time.Millisecond
)

// Guards against more calls in some window than are allowed while hubs are killed, cut off and replaced, and permits are returned
// late. Callers press for all permits, at a hub that was idle before, so that its bucket is full.
func TestQuotaHoldsInEveryWindowWhateverHappensToHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(3, 30).Draw(t, "gateways")
		q := quota.Quota{RatePerSecond: rapid.Float64Range(0.5, 200).Draw(t, "rate"), Burst: rapid.Float64Range(0, 100).Draw(t, "burst")}
		d := newDeployment(gateways, q)
		part := func(n int) float64 { return float64(n) / float64(gateways) }
		hub := 0
		d.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "idle ms"))*time.Millisecond, func(time.Duration) { d.issuers[hub].Lead(d.now, 1) })
		d.hold(d.issuers[hub], rapid.IntRange(0, 20).Draw(t, "unused permits"))
		d.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms held"))*time.Millisecond, func(time.Duration) { d.issuers[hub].Lead(d.now, 1) })
		for range rapid.IntRange(1, 3).Draw(t, "events") {
			d.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms with the hub"))*time.Millisecond, func(since time.Duration) {
				d.lead(hub, 1)
				if since == time.Second {
					d.returnAll()
				}
			})
			old := hub
			hub = (hub + 1) % gateways
			for _, issuer := range d.issuers {
				issuer.ObserveHub(d.now, fmt.Sprint(hub))
			}
			without := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms without a hub")) * time.Millisecond
			alone := func(except ...int) {
				for i, issuer := range d.issuers {
					if !slices.Contains(except, i) {
						issuer.Alone(d.now, part(1))
						d.press(issuer)
					}
				}
			}
			switch rapid.SampledFrom([]string{"hub killed", "hub cut off", "all killed"}).Draw(t, "event") {
			case "hub killed":
				d.issuers[old] = quota.NewIssuer(limits)
				d.run(without, func(time.Duration) { alone(old) })
			case "hub cut off":
				d.run(aliveTime, func(since time.Duration) {
					d.lead(old, 1)
					if since >= aliveTime-noticeTime {
						d.lead(hub, part(gateways-1))
					}
				})
				d.run(without, func(time.Duration) {
					d.lead(old, part(1))
					d.lead(hub, part(gateways-1))
				})
				if rapid.Bool().Draw(t, "the cut-off hub returns as the hub") {
					hub = old
					for _, issuer := range d.issuers {
						issuer.ObserveHub(d.now, fmt.Sprint(hub))
					}
				}
			case "all killed":
				for i := range d.issuers {
					d.issuers[i] = quota.NewIssuer(limits)
					d.issuers[i].ObserveHub(d.now, fmt.Sprint(hub)) // A process that starts finds the hub.
				}
				d.now = d.now.Add(without)
				for n := range gateways { // The others come one after the other.
					d.lead(hub, part(n+1))
					d.now = d.now.Add(step)
				}
			}
			for _, issuer := range d.issuers {
				if issuer != d.issuers[hub] {
					issuer.Follow(d.now)
				}
			}
		}
		if got := most(d.issued, time.Time{}); float64(got) > limits.Allowed(q) {
			t.Fatalf("%d permits in a window, allowed %.1f", got, limits.Allowed(q))
		}
	})
}

// Guards against a hub that was cut off without callers and still has a full bucket when the others follow it again: another hub has
// issued the permits of that time.
func TestHubThatWasCutOffReturnsWithoutItsPermits(t *testing.T) {
	is := is.New(t)
	d := newDeployment(8, quota.Quota{RatePerSecond: 20, Burst: 20})
	d.run(5*time.Second, func(time.Duration) { d.issuers[0].Lead(d.now, 1) })
	d.run(3*time.Second, func(since time.Duration) {
		d.issuers[0].Lead(d.now, 1.0/8)
		d.issuers[1].Lead(d.now, 7.0/8)
		if since > 2900*time.Millisecond {
			d.press(d.issuers[1])
		}
	})
	d.run(5*time.Second, func(time.Duration) { d.lead(0, 1) })
	is.True(float64(most(d.issued, time.Time{})) <= limits.Allowed(d.quota))
}

// Guards against a new hub that refuses an organisation within its quota because it has no permits at first.
func TestCalmOrganisationIsNotRefusedWhenTheHubChanges(t *testing.T) {
	is := is.New(t)
	asked, refused := 0, 0
	for seed := range uint64(20) {
		q := quota.Quota{RatePerSecond: 20, Burst: 10}
		l := newLoad(hub(&q), seed)
		for range 4 {
			l.play(8*time.Second, q.RatePerSecond/1.6)
			l.decide = hub(&q)
		}
		asked, refused = asked+l.asked, refused+l.refused
	}
	t.Logf("%d of %d calls refused", refused, asked)
	is.True(refused <= asked/200)
}

// Guards against a cut-off gateway that uses more of a quota when it forgets the others.
func TestShareOfGatewayDoesNotRiseWhileItIsCutOff(t *testing.T) {
	is := is.New(t)
	var count quota.GatewayCount
	is.Equal(count.Update(23, 23), 23)
	is.Equal(count.Update(23, 1), 23)
	is.Equal(count.Update(1, 1), 23) // the others are forgotten
	is.Equal(count.Update(24, 1), 24)
	is.Equal(count.Update(20, 18), 20) // four have left
}

// BenchmarkDecide measures the hub's decision about a call of one of 80 organisations, each with 30 running programs.
func BenchmarkDecide(b *testing.B) {
	for _, rate := range []float64{1000, 10} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) {
			issuer, now := quota.NewIssuer(limits), time.Unix(1e9, 0)
			issuer.Lead(now, 1)
			q := quota.Quota{RatePerSecond: rate, Burst: rate / 2}
			var names, programs []string
			for n := range 80 {
				names = append(names, fmt.Sprint("organisation-", n))
			}
			for n := range 3000 {
				programs = append(programs, fmt.Sprint("program-", n))
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(500 * time.Microsecond)
				issuer.Decide(now, q, quota.Call{
					Organisation: names[n%80], Program: programs[n/80%30+n/24000%100*30], Route: "turns", New: n%15 == 0, Patience: time.Second,
				})
			}
		})
	}
}
