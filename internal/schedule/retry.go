package schedule

import "time"

// RetryBudget is a token bucket that limits retries to a share of the successful calls, so that retries do not overload
// servers that are failing.
type RetryBudget struct {
	Ratio     float64 // Retries added by one success.
	Max       float64 // Capacity of the bucket, in retries.
	PerSecond float64 // Retries added per second, regardless of successes.

	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, maximum, perSecond float64, now time.Time) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Max: maximum, PerSecond: perSecond, tokens: maximum, lastRefill: now}
}

// Success records a successful call.
func (b *RetryBudget) Success() { b.tokens = min(b.tokens+b.Ratio, b.Max) }

// Withdraw takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that are left.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

func (b *RetryBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.PerSecond, b.Max)
		b.lastRefill = now
	}
}

// Hedge decides when a second, concurrent attempt is sent because the first one is late.
type Hedge struct {
	Factor   float64       // Multiple of the expected time to first token after which an attempt is late.
	MinDelay time.Duration // Minimum delay before a second attempt.
	MaxLoad  float64       // Calls per slot above which no second attempt is sent.
}

// DefaultHedge returns the settings that apply unless the operators configure others.
func DefaultHedge() Hedge {
	return Hedge{Factor: 4, MinDelay: 2 * time.Second, MaxLoad: 0.7}
}

// HedgeInput describes an attempt in progress.
type HedgeInput struct {
	Repeatable bool          // Whether the call may be executed more than once.
	Started    bool          // Whether the first token has arrived.
	Elapsed    time.Duration // Time since the attempt was sent.
	Expected   time.Duration // Time to first token that was estimated when the call was routed.
	Load       float64       // Running and queued calls per slot of the server that would run the second attempt.
}

// Allow reports whether to send a second attempt now. If so, it withdraws one retry from the budget.
func (h Hedge) Allow(in HedgeInput, budget *RetryBudget, now time.Time) bool {
	if !in.Repeatable || in.Started || in.Load > h.MaxLoad {
		return false
	}
	if in.Elapsed < h.Delay(in.Expected) {
		return false
	}
	return budget.Withdraw(now)
}

// Delay returns the time after which an attempt without a first token is late.
func (h Hedge) Delay(expected time.Duration) time.Duration {
	return max(seconds(expected.Seconds()*h.Factor), h.MinDelay)
}
