package standin

import (
	"sync"
	"time"
)

// RateLimiter is a token bucket whose burst is a tenth of a second's worth of calls, but at least one call. It is safe
// for concurrent use.
type RateLimiter struct {
	perSecond float64

	mu      sync.Mutex
	tokens  float64   // Guarded by mu. Negative while Reserve has granted calls ahead of the rate.
	updated time.Time // Guarded by mu. Time at which tokens was last refilled.
}

// burstSeconds is the time at the limiter's rate that a full bucket is worth.
const burstSeconds = 0.1

// NewRateLimiter returns a limiter of perSecond calls per second; 0 means no limit.
func NewRateLimiter(perSecond float64) *RateLimiter {
	return &RateLimiter{perSecond: perSecond, tokens: burstSize(perSecond), updated: time.Now()}
}

// burstSize returns the capacity of the bucket.
func burstSize(perSecond float64) float64 { return max(1, perSecond*burstSeconds) }

// refill adds the tokens that accrued since the last refill. The caller holds mu.
func (r *RateLimiter) refill() {
	now := time.Now()
	r.tokens = min(burstSize(r.perSecond), r.tokens+now.Sub(r.updated).Seconds()*r.perSecond)
	r.updated = now
}

// Allow takes a token if one is available and reports whether it did.
func (r *RateLimiter) Allow() bool {
	if r.perSecond == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Reserve takes a token, if necessary in advance, and returns how long the caller must wait before its call.
func (r *RateLimiter) Reserve() time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill()
	r.tokens--
	if r.tokens >= 0 {
		return 0
	}
	return time.Duration(-r.tokens / r.perSecond * float64(time.Second))
}
