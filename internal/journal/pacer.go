package journal

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// burstShare is the share of a second's writes that a Pacer lets through at once.
const burstShare = 32

// Pacer limits the writes of all journals of one process to the process's share of the key-value service. A write
// that finds the service unused waits for nothing. Under load the writes are spaced evenly, and the records that
// arrive meanwhile share the next write. In any one second at most the configured number of writes passes.
//
// A nil Pacer lets every write through.
type Pacer struct {
	interval  time.Duration // Spacing of writes under load.
	allowance time.Duration // How far the schedule may lag behind the clock: the burst.

	mu   sync.Mutex
	next time.Time // Time of the next write on the schedule, guarded by mu.
}

// NewPacer returns a Pacer that lets at most writesPerSecond writes through in any second.
func NewPacer(writesPerSecond int) (*Pacer, error) {
	if writesPerSecond < 2 {
		return nil, fmt.Errorf("a pacer needs at least 2 writes per second, got %d", writesPerSecond)
	}
	burst := max(1, writesPerSecond/burstShare)
	interval := time.Second / time.Duration(writesPerSecond-burst)
	return &Pacer{interval: interval, allowance: time.Duration(burst-1) * interval}, nil
}

// Wait returns when the caller may write once.
func (p *Pacer) Wait(ctx context.Context) error {
	if p == nil {
		return ctx.Err()
	}
	return sleep(ctx, p.reserve(time.Now()))
}

// reserve takes the next place on the schedule and returns the time until it comes.
func (p *Pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-p.allowance); p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(p.interval)
	return wait
}

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
