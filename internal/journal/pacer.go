package journal

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// Limits of a Pacer.
const (
	burstShare  = 32                    // One part in burstShare of a second's writes may pass at once.
	agedWait    = 40 * time.Millisecond // Age of a journal's oldest record from which on it is served first.
	minPaceRate = 2                     // Writes per second.
)

// Pacer limits the writes of all journals of one process to the process's share of the key-value service. A write
// that finds the service unused waits for nothing. Under load the writes are spaced evenly, and the records that arrive
// meanwhile share the next write. Of the journals that wait, the one with the most records is served first, the newest
// record deciding between equals, but one whose oldest record has aged goes before all others. In any one second at
// most the configured number of writes passes.
//
// A nil Pacer lets every write through.
type Pacer struct {
	mu        sync.Mutex    // Guards the fields below. Taken before the lock of a journal.
	interval  time.Duration // Spacing of writes under load.
	allowance time.Duration // How far the schedule may lag behind the clock: the burst.

	next    time.Time // Time of the next write on the schedule.
	waiters []*waiter
	timer   *time.Timer // Runs grant; armed while there are waiters.
}

// demand says what a write is for.
type demand struct {
	records int       // Records that the write would carry.
	oldest  time.Time // When the first of them was appended.
	newest  time.Time // When the last of them was appended.
}

// waiter is one write that waits for its turn.
type waiter struct {
	demand func() demand // Asked whenever a turn is given.
	turn   chan struct{} // Closed when the turn has come.
}

// NewPacer returns a Pacer that lets at most writesPerSecond writes through in any second.
func NewPacer(writesPerSecond int) (*Pacer, error) {
	if writesPerSecond < minPaceRate {
		return nil, fmt.Errorf("a pacer needs at least %d writes per second, got %d", minPaceRate, writesPerSecond)
	}
	p := &Pacer{}
	p.SetRate(float64(writesPerSecond))
	return p, nil
}

// SetRate changes the writes that may pass in any second. A rate below the lowest one that NewPacer takes counts as that.
func (p *Pacer) SetRate(writesPerSecond float64) {
	rate := max(writesPerSecond, minPaceRate)
	burst := max(1, math.Floor(rate/burstShare))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interval = time.Duration(float64(time.Second) / (rate - burst))
	p.allowance = time.Duration(burst-1) * p.interval
}

// Wait returns when the caller may write once.
func (p *Pacer) Wait(ctx context.Context) error {
	now := time.Now()
	single := demand{records: 1, oldest: now, newest: now}
	return p.wait(ctx, func() demand { return single })
}

// wait returns when the write with that demand may be made.
func (p *Pacer) wait(ctx context.Context, d func() demand) error {
	if p == nil || ctx.Err() != nil {
		return ctx.Err()
	}
	w := &waiter{demand: d, turn: make(chan struct{})}
	p.mu.Lock()
	p.waiters = append(p.waiters, w)
	p.grantLocked()
	p.mu.Unlock()
	select {
	case <-w.turn:
		return nil
	case <-ctx.Done():
		p.leave(w)
		return ctx.Err()
	}
}

// leave takes a waiter out that has given up.
func (p *Pacer) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.remove(i)
			return
		}
	}
}

func (p *Pacer) remove(i int) {
	last := len(p.waiters) - 1
	p.waiters[i] = p.waiters[last]
	p.waiters[last] = nil
	p.waiters = p.waiters[:last]
}

func (p *Pacer) grant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantLocked()
}

// grantLocked gives the turns that the schedule allows by now and arms the timer for the next one. Called with mu held.
func (p *Pacer) grantLocked() {
	now := time.Now()
	if earliest := now.Add(-p.allowance); p.next.Before(earliest) {
		p.next = earliest
	}
	for len(p.waiters) > 0 && !p.next.After(now) {
		i := p.first(now)
		close(p.waiters[i].turn)
		p.remove(i)
		p.next = p.next.Add(p.interval)
	}
	switch {
	case len(p.waiters) == 0:
	case p.timer == nil:
		p.timer = time.AfterFunc(p.next.Sub(now), p.grant)
	default:
		p.timer.Reset(p.next.Sub(now))
	}
}

// first returns the index of the waiter whose turn is next. Called with mu held and at least one waiter.
func (p *Pacer) first(now time.Time) int {
	best, bestDemand := 0, p.waiters[0].demand()
	for i := 1; i < len(p.waiters); i++ {
		if d := p.waiters[i].demand(); d.before(bestDemand, now) {
			best, bestDemand = i, d
		}
	}
	return best
}

// before reports whether a write with demand d goes before one with demand other.
func (d demand) before(other demand, now time.Time) bool {
	aged, otherAged := d.aged(now), other.aged(now)
	switch {
	case aged && otherAged:
		return d.oldest.Before(other.oldest)
	case aged != otherAged:
		return aged
	case d.records != other.records:
		return d.records > other.records
	default:
		return d.newest.After(other.newest)
	}
}

func (d demand) aged(now time.Time) bool { return now.Sub(d.oldest) > agedWait }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
