package standin

import (
	"sync"
	"time"
)

// Rate is a token bucket that holds a tenth of a second's worth. It is safe for concurrent use.
type Rate struct {
	perSecond float64

	mu   sync.Mutex
	left float64   // Guarded by mu. Negative while delayed calls have drawn ahead.
	at   time.Time // Guarded by mu. When left was brought up to date.
}

const burstSeconds = 0.1

// NewRate returns a Rate; perSecond of 0 means no limit.
func NewRate(perSecond float64) *Rate {
	return &Rate{perSecond: perSecond, left: burst(perSecond), at: time.Now()}
}

func burst(perSecond float64) float64 { return max(1, perSecond*burstSeconds) }

// refill brings left up to date. The caller holds mu.
func (r *Rate) refill() {
	now := time.Now()
	r.left = min(burst(r.perSecond), r.left+now.Sub(r.at).Seconds()*r.perSecond)
	r.at = now
}

// Allow takes one call if the rate has one left.
func (r *Rate) Allow() bool {
	if r.perSecond == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

// Reserve takes one call and returns how long the caller must wait for it.
func (r *Rate) Reserve() time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	r.left--
	if r.left >= 0 {
		return 0
	}
	return time.Duration(-r.left / r.perSecond * float64(time.Second))
}
