package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

func TestLineOrdersClaims(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	claim := func(standing schedule.Standing, priority int, age time.Duration) schedule.Claim {
		return schedule.Claim{Standing: standing, Priority: priority, Since: now.Add(-age)}
	}
	var line schedule.Line[string]
	line.Push(claim(schedule.StandingLate, 0, time.Minute), "late")
	line.Push(claim(schedule.StandingNew, 0, time.Second), "new")
	line.Push(claim(schedule.StandingStarted, 1, time.Second), "started, lower priority")
	older := line.Push(claim(schedule.StandingStarted, 0, 2*time.Second), "started, older")
	line.Push(claim(schedule.StandingStarted, 0, time.Second), "started")
	gone := line.Push(claim(schedule.StandingStarted, 0, time.Hour), "gone")
	is.True(line.Remove(gone))
	is.True(!line.Remove(gone)) // a call that was taken out is not taken out again
	is.Equal(line.First(), older)
	var order []string
	for w := line.First(); w != nil; w = line.First() {
		order = append(order, w.Value)
		is.True(line.Remove(w))
	}
	is.Equal(order, []string{"started, older", "started", "started, lower priority", "new", "late"})
	is.Equal(line.Len(), 0)
}

func TestEngineRoom(t *testing.T) {
	is := is.New(t)
	room := schedule.EngineRoom{SlotsShare: 1.5, Extra: 1, Tokens: 1000}
	is.True(room.Allows(schedule.EngineUse{Calls: 6, Tokens: 999}, 4))
	is.True(!room.Allows(schedule.EngineUse{Calls: 7}, 4))               // slots and a half, and one more
	is.True(!room.Allows(schedule.EngineUse{Calls: 1, Tokens: 1000}, 4)) // enough to read already
	is.True(room.Allows(schedule.EngineUse{}, 0))                        // an idle engine takes any call
}

func TestLinePace(t *testing.T) {
	is := is.New(t)
	var pace schedule.LinePace
	now := time.Unix(1000, 0)
	is.Equal(pace.Wait(5), time.Duration(0)) // nothing is known yet
	for range 50 {
		pace.Admitted(now, true)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(pace.Wait(0), 100*time.Millisecond)
	is.Equal(pace.Wait(9), time.Second)
	pace.Admitted(now, false) // the line is empty: the time until the next call says nothing
	now = now.Add(time.Hour)
	pace.Admitted(now, true)
	is.Equal(pace.Wait(0), 100*time.Millisecond)
	pace.Admitted(now.Add(300*time.Millisecond), true) // a slower engine shows little by little
	is.True(pace.Wait(0) > 110*time.Millisecond && pace.Wait(0) < 130*time.Millisecond)
}

func TestLineCountsWhoIsAhead(t *testing.T) {
	is := is.New(t)
	var line schedule.Line[int]
	now := time.Unix(1000, 0)
	line.Push(schedule.Claim{Standing: schedule.StandingStarted, Since: now}, 1)
	line.Push(schedule.Claim{Standing: schedule.StandingNew, Since: now}, 2)
	line.Push(schedule.Claim{Standing: schedule.StandingLate, Since: now}, 3)
	is.Equal(line.Ahead(schedule.Claim{Standing: schedule.StandingStarted, Since: now.Add(-time.Second)}), 0)
	is.Equal(line.Ahead(schedule.Claim{Standing: schedule.StandingNew, Since: now.Add(time.Second)}), 2)
	is.Equal(line.Ahead(schedule.Claim{Standing: schedule.StandingLate, Since: now.Add(time.Second)}), 3)
}

// herdProgram is a program of the load below.
type herdProgram struct {
	left  int           // Turns still to run.
	due   time.Duration // When it should be done.
	begun bool
	since time.Duration // When its present turn arrived.
	tries int           // Of its present turn.
	fresh bool          // It arrived after the outage.
}

// herd plays the seconds after an outage of the key-value service at one engine, as on andesmetra-lima-grown trouble-3: the
// programs of 7 s come at once, and new ones go on to arrive at 70% of what the engine serves. Callers wait 3 s for a turn
// and send it three times at most. It returns the share of the programs that arrived after the outage and were done in time.
func herd(claim func(p *herdProgram, now time.Duration) schedule.Claim) float64 {
	const (
		slots, turns, tries = 6, 3, 3
		turnTime            = 150 * time.Millisecond
		aim                 = 1200 * time.Millisecond
		patience            = 3 * time.Second
		step                = 10 * time.Millisecond
		outage, length      = 7 * time.Second, 20 * time.Second
		loadPercent         = 70
	)
	interval := turns * turnTime * 100 / (slots * loadPercent)
	random := rand.New(rand.NewPCG(7, 8))
	var waiting []*herdProgram
	arrived, inTime := 0, 0
	running := make(map[*herdProgram]time.Duration) // To the end of the turn.
	for at := -outage; at < 0; at += interval {
		waiting = append(waiting, &herdProgram{left: turns, due: at + aim})
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < length; now += step {
		for ; next <= now; next += time.Duration(float64(interval) * (0.5 + random.Float64())) {
			waiting = append(waiting, &herdProgram{left: turns, due: next + aim, since: next, fresh: true})
			arrived++
		}
		for p, end := range running {
			if now < end {
				continue
			}
			delete(running, p)
			p.left, p.begun, p.since, p.tries = p.left-1, true, now, 0
			switch {
			case p.left > 0:
				waiting = append(waiting, p)
			case p.fresh && now <= p.due:
				inTime++
			}
		}
		var line schedule.Line[*herdProgram]
		for _, p := range waiting {
			if now-p.since > patience {
				p.since, p.tries = now, p.tries+1
			}
			if p.tries < tries {
				line.Push(claim(p, now), p)
			}
		}
		for w := line.First(); w != nil && len(running) < slots; w = line.First() {
			line.Remove(w)
			running[w.Value] = now + turnTime
		}
		waiting = waiting[:0]
		for w := line.First(); w != nil; w = line.First() {
			line.Remove(w)
			waiting = append(waiting, w.Value)
		}
	}
	return float64(inTime) / float64(arrived)
}

func TestLineServesNewProgramsInTimeAfterAnOutage(t *testing.T) {
	is := is.New(t)
	epoch := time.Unix(1000, 0)
	fifo := herd(func(p *herdProgram, _ time.Duration) schedule.Claim {
		return schedule.Claim{Since: epoch.Add(p.since)}
	})
	byStanding := herd(func(p *herdProgram, now time.Duration) schedule.Claim {
		c := schedule.Claim{Standing: schedule.StandingNew, Since: epoch.Add(p.since)}
		switch {
		case now > p.due:
			c.Standing = schedule.StandingLate
		case p.begun:
			c.Standing = schedule.StandingStarted
		}
		return c
	})
	t.Logf("done in time: %.2f first come first served, %.2f by standing", fifo, byStanding)
	is.True(byStanding > 0.95) // callers that come after the outage hardly notice it
	is.True(byStanding > fifo+0.2)
}
