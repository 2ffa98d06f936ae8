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
	burstDivisor       = 32                    // 1/burstDivisor of a second's writes may pass as a burst.
	agingThreshold     = 40 * time.Millisecond // Age of a journal's oldest record above which the journal goes first.
	minWritesPerSecond = 2                     // Lowest rate of a Pacer.
)

// Pacer is a rate limiter for the writes of all journals of one process. It keeps them within the process's share of
// the key-value service: at most the configured number of writes passes in any one second. An isolated write does not
// wait. Under load the writes are spaced evenly, and records that arrive meanwhile share the next write.
//
// Among the waiting journals the one with the most queued records goes first; ties are broken in favour of the newest
// record. A journal whose oldest record is older than agingThreshold goes before all others.
//
// A nil Pacer does not limit anything.
type Pacer struct {
	mu             sync.Mutex    // Guards the fields below. Locked before a journal's mu.
	interval       time.Duration // Time between writes under load.
	burstAllowance time.Duration // How far the schedule may lag behind the clock, which permits bursts.

	nextWrite time.Time // Scheduled time of the next write.
	waiters   []*waiter
	timer     *time.Timer // Calls grant; armed while there are waiters.
}

// demand describes the records that a write would contain; it determines the write's priority.
type demand struct {
	records int       // Number of records.
	oldest  time.Time // When the oldest record was appended.
	newest  time.Time // When the newest record was appended.
}

// waiter is a write that waits for permission.
type waiter struct {
	demand  func() demand // Called whenever the next waiter is selected.
	granted chan struct{} // Closed when the write may be made.
}

// NewPacer returns a Pacer that permits at most writesPerSecond writes in any one second.
func NewPacer(writesPerSecond int) (*Pacer, error) {
	if writesPerSecond < minWritesPerSecond {
		return nil, fmt.Errorf("write rate must be at least %d per second, got %d", minWritesPerSecond, writesPerSecond)
	}
	p := &Pacer{}
	p.SetRate(float64(writesPerSecond))
	return p, nil
}

// SetRate changes the number of writes that may pass in any one second. A rate below minWritesPerSecond is raised to
// it.
func (p *Pacer) SetRate(writesPerSecond float64) {
	rate := max(writesPerSecond, minWritesPerSecond)
	burst := max(1, math.Floor(rate/burstDivisor))
	p.mu.Lock()
	defer p.mu.Unlock()
	// A full burst followed by a second of evenly spaced writes stays within the rate.
	p.interval = time.Duration(float64(time.Second) / (rate - burst))
	p.burstAllowance = time.Duration(burst-1) * p.interval
}

// Wait returns nil when the caller may make one write, or the error of ctx when it ends first.
func (p *Pacer) Wait(ctx context.Context) error {
	now := time.Now()
	single := demand{records: 1, oldest: now, newest: now}
	return p.wait(ctx, func() demand { return single })
}

// wait is Wait for a write whose priority follows from its demand.
func (p *Pacer) wait(ctx context.Context, d func() demand) error {
	if p == nil || ctx.Err() != nil {
		return ctx.Err()
	}
	w := &waiter{demand: d, granted: make(chan struct{})}
	p.mu.Lock()
	p.waiters = append(p.waiters, w)
	p.grantLocked()
	p.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		p.removeWaiter(w)
		return ctx.Err()
	}
}

// removeWaiter removes a waiter whose context has ended.
func (p *Pacer) removeWaiter(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.removeAt(i)
			return
		}
	}
}

// removeAt removes the waiter with the index. The order of the others may change. The caller must hold mu.
func (p *Pacer) removeAt(i int) {
	last := len(p.waiters) - 1
	p.waiters[i] = p.waiters[last]
	p.waiters[last] = nil
	p.waiters = p.waiters[:last]
}

// grant is the timer's function.
func (p *Pacer) grant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantLocked()
}

// grantLocked permits the writes that are due on the schedule and arms the timer for the next one. The caller must hold
// mu.
func (p *Pacer) grantLocked() {
	now := time.Now()
	if earliest := now.Add(-p.burstAllowance); p.nextWrite.Before(earliest) {
		p.nextWrite = earliest
	}
	for len(p.waiters) > 0 && !p.nextWrite.After(now) {
		i := p.firstWaiter(now)
		close(p.waiters[i].granted)
		p.removeAt(i)
		p.nextWrite = p.nextWrite.Add(p.interval)
	}
	switch {
	case len(p.waiters) == 0:
	case p.timer == nil:
		p.timer = time.AfterFunc(p.nextWrite.Sub(now), p.grant)
	default:
		p.timer.Reset(p.nextWrite.Sub(now))
	}
}

// firstWaiter returns the index of the waiter that goes next. The caller must hold mu, and there must be a waiter.
func (p *Pacer) firstWaiter(now time.Time) int {
	best, bestDemand := 0, p.waiters[0].demand()
	for i := 1; i < len(p.waiters); i++ {
		if d := p.waiters[i].demand(); d.precedes(bestDemand, now) {
			best, bestDemand = i, d
		}
	}
	return best
}

// precedes reports whether a write with demand d goes before one with demand other.
func (d demand) precedes(other demand, now time.Time) bool {
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

// aged reports whether the oldest record is older than agingThreshold.
func (d demand) aged(now time.Time) bool { return now.Sub(d.oldest) > agingThreshold }

// sleep waits for d. It returns the error of ctx if ctx ends first.
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
