package organisation

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/pause"
)

const (
	maxWait    = time.Second // For a recheck. A caller that is then refused still has time to retry.
	maxWaiting = 1000        // Calls that wait at a process. Each holds a connection and its headers in memory.
	// attemptTime is below maxWait, so that the call that began an attempt learns why it failed.
	attemptTime = 950 * time.Millisecond
)

var (
	// ErrTooManyWaiting means that too many calls wait for a recheck.
	ErrTooManyWaiting = errors.New("too many calls wait for a check of the configuration")
	// ErrUnconfirmed means that no recheck succeeded in time.
	ErrUnconfirmed = errors.New("cannot check whether the configuration is the newest")
)

// Recheck confirms the configuration when a call needs that. However many calls need it, one attempt is made at a time, and no two
// begin within an interval. It is safe for concurrent use.
type Recheck struct {
	ctx       context.Context // Ends with the process.
	log       *slog.Logger
	knowledge *Knowledge
	interval  time.Duration
	attempt   func(ctx context.Context, began time.Time) error

	mu       sync.Mutex
	waiting  int       // Guarded by mu. Calls in AwaitCall.
	running  *attempt  // Guarded by mu. nil if none.
	next     *attempt  // Guarded by mu. The attempt that will begin as soon as it may; nil if nobody needs one.
	working  bool      // Guarded by mu. Whether work runs.
	began    time.Time // Guarded by mu. Begin of the latest attempt.
	failedAt time.Time // Guarded by mu. End of the latest attempt if it failed.
}

// attempt is one attempt to confirm the configuration.
type attempt struct {
	began  time.Time
	needed time.Time     // The latest time for which a confirmation is needed.
	done   chan struct{} // Closed at the end.
	err    error         // Valid after done is closed.
}

// NewRecheck returns a Recheck that runs until ctx ends. confirm confirms the configuration in knowledge for a time no earlier than
// its begin, or returns an error.
func NewRecheck(
	ctx context.Context, log *slog.Logger, knowledge *Knowledge, interval time.Duration,
	confirm func(ctx context.Context, began time.Time) error,
) *Recheck {
	return &Recheck{ctx: ctx, log: log, knowledge: knowledge, interval: interval, attempt: confirm}
}

// AwaitCall is Await for a call, which waits for at most limit and at most maxWait. ErrTooManyWaiting means that maxWaiting calls wait already.
func (r *Recheck) AwaitCall(ctx context.Context, arrived time.Time, limit time.Duration) error {
	r.mu.Lock()
	if r.waiting >= maxWaiting {
		r.mu.Unlock()
		return ErrTooManyWaiting
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, min(limit, maxWait))
	defer cancel()
	return r.Await(ctx, arrived)
}

// Await waits until the configuration in force is known to have been the newest at t or later. After failed attempts it waits for
// further ones until ctx ends.
func (r *Recheck) Await(ctx context.Context, t time.Time) error {
	var last error
	for {
		confirmed, changed := r.knowledge.since(t)
		if confirmed {
			return nil
		}
		a := r.join(t)
		select {
		case <-changed:
		case <-a.done:
			last = a.err
		case <-ctx.Done():
			return errors.Join(ErrUnconfirmed, last, ctx.Err())
		case <-r.ctx.Done():
			return errors.Join(ErrUnconfirmed, r.ctx.Err())
		}
	}
}

// join returns the attempt that will confirm the configuration for t: the running one if it began at t or later, otherwise the
// next one.
func (r *Recheck) join(t time.Time) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil && !r.running.began.Before(t) {
		return r.running
	}
	if r.next == nil {
		r.next = &attempt{done: make(chan struct{})}
		if !r.working {
			r.working = true
			go r.work()
		}
	}
	if t.After(r.next.needed) {
		r.next.needed = t
	}
	return r.next
}

// work makes attempts until nobody needs another one.
func (r *Recheck) work() {
	for {
		r.mu.Lock()
		wait := time.Until(r.began.Add(r.interval))
		r.mu.Unlock()
		if wait > 0 {
			pause.For(r.ctx, wait)
		}
		a := r.begin()
		if a == nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, attemptTime)
		err := guard.Run(r.log, "recheck", func() { a.err = r.attempt(ctx, a.began) })
		cancel()
		if err != nil {
			a.err = err
		}
		r.end(a)
	}
}

// begin returns the next attempt as the running one, or nil if none is needed.
func (r *Recheck) begin() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.next
	r.next = nil
	if a != nil && (r.ctx.Err() != nil || r.knowledge.IsConfirmedSince(a.needed)) {
		a.err = r.ctx.Err()
		close(a.done)
		a = nil
	}
	if a == nil {
		r.working = false
		return nil
	}
	a.began = time.Now()
	r.began, r.running = a.began, a
	return a
}

// end records the end of the running attempt and wakes those that wait for it.
func (r *Recheck) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.failedAt.IsZero()
	r.running, r.failedAt = nil, time.Time{}
	switch {
	case a.err != nil:
		r.failedAt = time.Now()
		if first {
			r.log.Warn("configuration cannot be confirmed", "age_ms", r.knowledge.Age(r.failedAt).Milliseconds(), "error", a.err)
		}
	case !first:
		r.log.Info("configuration confirmed again", "age_ms", r.knowledge.Age(time.Now()).Milliseconds())
	}
	close(a.done)
}

// FailedAt returns when the latest attempt ended, if it failed; otherwise the zero time.
func (r *Recheck) FailedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt
}

// Unconfirmed returns the error of an attempt whose answer does not confirm the version in force.
func Unconfirmed(version, inForce int64) error {
	return fmt.Errorf("%w: version %d was read, version %d is in force", ErrUnconfirmed, version, inForce)
}
