package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

func TestWaitQueueOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	precedence := func(standing schedule.Standing, priority int, age time.Duration) schedule.Precedence {
		return schedule.Precedence{Standing: standing, Priority: priority, Since: now.Add(-age)}
	}
	var queue schedule.WaitQueue[string]
	queue.Push(precedence(schedule.StandingLate, 0, time.Minute), "late")
	queue.Push(precedence(schedule.StandingNew, 0, time.Second), "new")
	queue.Push(precedence(schedule.StandingStarted, 1, time.Second), "started, lower priority")
	older := queue.Push(precedence(schedule.StandingStarted, 0, 2*time.Second), "started, older")
	queue.Push(precedence(schedule.StandingStarted, 0, time.Second), "started")
	gone := queue.Push(precedence(schedule.StandingStarted, 0, time.Hour), "gone")
	is.True(queue.Remove(gone))
	is.True(!queue.Remove(gone)) // a removed call cannot be removed again
	is.Equal(queue.First(), older)
	var order []string
	for w := queue.First(); w != nil; w = queue.First() {
		order = append(order, w.Value)
		is.True(queue.Remove(w))
	}
	is.Equal(order, []string{"started, older", "started", "started, lower priority", "new", "late"})
	is.Equal(queue.Len(), 0)
}

func TestEngineLimits(t *testing.T) {
	is := is.New(t)
	limits := schedule.EngineLimits{CallsPerSlot: 1.5, ExtraCalls: 1, PendingTokens: 1000}
	is.True(limits.Allows(schedule.EngineUsage{Calls: 6, PendingTokens: 999}, 4))
	is.True(!limits.Allows(schedule.EngineUsage{Calls: 7}, 4))                      // 1.5 times the slots, plus one
	is.True(!limits.Allows(schedule.EngineUsage{Calls: 1, PendingTokens: 1000}, 4)) // the limit on pending tokens is reached
	is.True(limits.Allows(schedule.EngineUsage{}, 0))                               // an idle engine takes any call
}

func TestAdmissionInterval(t *testing.T) {
	is := is.New(t)
	var interval schedule.AdmissionInterval
	now := time.Unix(1000, 0)
	is.Equal(interval.Wait(5), time.Duration(0)) // no admissions yet
	for range 50 {
		interval.Admitted(now, true)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(interval.Wait(0), 100*time.Millisecond)
	is.Equal(interval.Wait(9), time.Second)
	interval.Admitted(now, false) // the queue is empty: the time until the next admission does not count
	now = now.Add(time.Hour)
	interval.Admitted(now, true)
	is.Equal(interval.Wait(0), 100*time.Millisecond)
	interval.Admitted(now.Add(300*time.Millisecond), true) // the moving average follows a slower engine gradually
	is.True(interval.Wait(0) > 110*time.Millisecond && interval.Wait(0) < 130*time.Millisecond)
}

func TestWaitQueueCountsItemsAhead(t *testing.T) {
	is := is.New(t)
	var queue schedule.WaitQueue[int]
	now := time.Unix(1000, 0)
	queue.Push(schedule.Precedence{Standing: schedule.StandingStarted, Since: now}, 1)
	queue.Push(schedule.Precedence{Standing: schedule.StandingNew, Since: now}, 2)
	queue.Push(schedule.Precedence{Standing: schedule.StandingLate, Since: now}, 3)
	is.Equal(queue.Ahead(schedule.Precedence{Standing: schedule.StandingStarted, Since: now.Add(-time.Second)}), 0)
	is.Equal(queue.Ahead(schedule.Precedence{Standing: schedule.StandingNew, Since: now.Add(time.Second)}), 2)
	is.Equal(queue.Ahead(schedule.Precedence{Standing: schedule.StandingLate, Since: now.Add(time.Second)}), 3)
}

// simulatedProgram is a program of simulateRecovery.
type simulatedProgram struct {
	turnsLeft   int           // Turns that have not run yet.
	deadline    time.Duration // Time by which it should end.
	started     bool
	since       time.Duration // Arrival of its current turn.
	tries       int           // Attempts of its current turn so far.
	afterOutage bool          // Whether it arrived after the outage.
}

// simulateRecovery simulates one engine after an outage of the key-value service, as in the load scenario trouble-3 on
// andesmetra-lima-grown. The programs of the 7 s of the outage arrive together, and new ones continue to arrive at 70% of
// the engine's capacity. Callers wait 3 s for a turn and send it at most three times. It returns, of the programs that
// arrive after the outage, the share that ends by its deadline.
func simulateRecovery(precedence func(p *simulatedProgram, now time.Duration) schedule.Precedence) float64 {
	const (
		slots, turns, tries = 6, 3, 3
		turnTime            = 150 * time.Millisecond
		objective           = 1200 * time.Millisecond
		callerTimeout       = 3 * time.Second
		step                = 10 * time.Millisecond
		outage, duration    = 7 * time.Second, 20 * time.Second
		loadPercent         = 70
	)
	interval := turns * turnTime * 100 / (slots * loadPercent)
	random := rand.New(rand.NewPCG(7, 8))
	var waiting []*simulatedProgram
	arrived, inTime := 0, 0
	running := make(map[*simulatedProgram]time.Duration) // Time at which the turn ends.
	for at := -outage; at < 0; at += interval {
		waiting = append(waiting, &simulatedProgram{turnsLeft: turns, deadline: at + objective})
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < duration; now += step {
		for ; next <= now; next += time.Duration(float64(interval) * (0.5 + random.Float64())) {
			waiting = append(waiting, &simulatedProgram{turnsLeft: turns, deadline: next + objective, since: next, afterOutage: true})
			arrived++
		}
		for p, end := range running {
			if now < end {
				continue
			}
			delete(running, p)
			p.turnsLeft, p.started, p.since, p.tries = p.turnsLeft-1, true, now, 0
			switch {
			case p.turnsLeft > 0:
				waiting = append(waiting, p)
			case p.afterOutage && now <= p.deadline:
				inTime++
			}
		}
		var queue schedule.WaitQueue[*simulatedProgram]
		for _, p := range waiting {
			if now-p.since > callerTimeout {
				p.since, p.tries = now, p.tries+1
			}
			if p.tries < tries {
				queue.Push(precedence(p, now), p)
			}
		}
		for w := queue.First(); w != nil && len(running) < slots; w = queue.First() {
			queue.Remove(w)
			running[w.Value] = now + turnTime
		}
		waiting = waiting[:0]
		for w := queue.First(); w != nil; w = queue.First() {
			queue.Remove(w)
			waiting = append(waiting, w.Value)
		}
	}
	return float64(inTime) / float64(arrived)
}

func TestWaitQueueServesNewProgramsInTimeAfterOutage(t *testing.T) {
	is := is.New(t)
	epoch := time.Unix(1000, 0)
	fifo := simulateRecovery(func(p *simulatedProgram, _ time.Duration) schedule.Precedence {
		return schedule.Precedence{Since: epoch.Add(p.since)}
	})
	byStanding := simulateRecovery(func(p *simulatedProgram, now time.Duration) schedule.Precedence {
		result := schedule.Precedence{Standing: schedule.StandingNew, Since: epoch.Add(p.since)}
		switch {
		case now > p.deadline:
			result.Standing = schedule.StandingLate
		case p.started:
			result.Standing = schedule.StandingStarted
		}
		return result
	})
	t.Logf("ended by the deadline: %.2f with FIFO order, %.2f by standing", fifo, byStanding)
	is.True(byStanding > 0.95) // the outage hardly affects callers that arrive after it
	is.True(byStanding > fifo+0.2)
}
