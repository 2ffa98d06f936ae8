package buffers

import (
	"fmt"
	"time"
)

// A caller that sends its request or reads its answer slowly holds memory for long. Such transfers are known to the pool. When a call
// needs memory and there is none left, the slowest transfer is ended, so that a slow caller costs no other caller its answer.

// ErrSlowest reports that the call was ended because its caller was the slowest when the process needed memory. It is an ErrExhausted.
var ErrSlowest = fmt.Errorf("ended as the slowest of the process's callers: %w", ErrExhausted)

const (
	// stallLimit is how long a transfer may take for progressBytes before it counts as slow. Within a region a caller takes as much
	// in a few milliseconds.
	stallLimit    = 250 * time.Millisecond
	progressBytes = 8 << 10
	// maxWait is how long a call waits for memory that slow transfers hold.
	maxWait = 2 * stallLimit
)

// transfer is a transfer of a call's bytes from or to its caller.
type transfer struct {
	began    time.Time
	moved    int64
	progress time.Time // When progressBytes had last been transferred.
	since    int64     // Bytes transferred after that.
	end      func(Ended)
}

// Ended describes a transfer that was ended.
type Ended struct {
	Held  int64 // Bytes that the call held.
	Moved int64 // Bytes transferred so far.
	After time.Duration
}

// BeginTransfer tells the pool that bytes are being transferred from or to the caller, from now until EndTransfer or Release. end must
// make reads and writes that wait for the caller fail; it must not block, and must not use the account. The caller then finds Ended
// true. If a transfer has begun already, BeginTransfer does nothing.
func (a *Account) BeginTransfer(end func(Ended)) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if now := time.Now(); a.pool.transfers[a] == nil && !a.ended.Load() {
		a.pool.transfers[a] = &transfer{began: now, progress: now, end: end}
	}
}

// Moved records that n more bytes were transferred.
func (a *Account) Moved(n int) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if t := a.pool.transfers[a]; t != nil {
		t.moved, t.since = t.moved+int64(n), t.since+int64(n)
		if t.since >= progressBytes {
			t.progress, t.since = time.Now(), 0
		}
	}
}

// EndTransfer tells the pool that the transfer is over. Its end function is not called after that.
func (a *Account) EndTransfer() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	delete(a.pool.transfers, a)
}

// Ended reports whether the call was ended as the slowest.
func (a *Account) Ended() bool { return a != nil && a.ended.Load() }

// endSlowest ends the slow transfer without progress for the longest time, and gives its bytes back. If there is no slow one, it returns the time until one of another
// call than that of a may count as slow; 0 if there is none.
func (p *Pool) endSlowest(a *Account, now time.Time) (ended bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	large := a.held.Load() >= worthwhile
	var slowest *Account
	for candidate, t := range p.transfers {
		held := candidate.held.Load()
		if held <= 0 || held < worthwhile && large || candidate.waits.Load() {
			continue
		}
		if left := stallLimit - now.Sub(t.progress); left > 0 {
			if candidate != a && (wait == 0 || left < wait) {
				wait = left
			}
			continue
		}
		if slowest == nil || p.isSlower(candidate, slowest) {
			slowest = candidate
		}
	}
	if slowest == nil {
		return false, wait
	}
	t := p.transfers[slowest]
	delete(p.transfers, slowest)
	slowest.ended.Store(true)
	t.end(Ended{Held: slowest.giveAll(), Moved: t.moved, After: now.Sub(t.began)})
	return true, 0
}

// worthwhile is the number of bytes below which a call is ended only for another such call, and only if no slow call holds more: it
// would not help a large one, and a small request may be late only because the process is busy.
const worthwhile = 8 << 10

// isSlower reports whether a should be ended before b. The caller holds mu.
func (p *Pool) isSlower(a, b *Account) bool {
	if large := a.held.Load() >= worthwhile; large != (b.held.Load() >= worthwhile) {
		return large
	}
	return p.transfers[a].progress.Before(p.transfers[b].progress)
}

// maxWaiting bounds the calls that wait for memory. Further ones are refused at once, as without slow callers.
const maxWaiting = 32

// await waits until a transfer may count as slow. It reports false at once if too many calls wait already. The wait does not count
// against the transfer of the call itself.
func (p *Pool) await(a *Account, d time.Duration) bool {
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > maxWaiting {
		return false
	}
	a.waits.Store(true)
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.transfers[a]; t != nil {
		t.progress = time.Now()
	}
	a.waits.Store(false)
	return true
}
