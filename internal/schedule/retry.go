package schedule

import "time"

// RetryBudget limits retries to a share of the successes, so that a failing fleet is not loaded further.
type RetryBudget struct {
	Ratio     float64 // Retries earned by one success.
	Max       float64 // Most retries that can be saved up.
	PerSecond float64 // Retries earned by time alone.

	tokens float64
	last   time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, maximum, perSecond float64, now time.Time) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Max: maximum, PerSecond: perSecond, tokens: maximum, last: now}
}

// Success earns a share of a retry.
func (b *RetryBudget) Success() { b.tokens = min(b.tokens+b.Ratio, b.Max) }

// Withdraw takes one retry and reports whether there was one.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that are left.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

func (b *RetryBudget) accrue(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.PerSecond, b.Max)
		b.last = now
	}
}

// Hedge decides on a second attempt beside one that is late.
type Hedge struct {
	Factor   float64       // Multiple of the expected time to the first token that counts as late.
	MinDelay time.Duration // No hedge before this time.
	MaxLoad  float64       // Calls per slot above which no hedge is sent.
}

// DefaultHedge returns the settings in force when the operators give none.
func DefaultHedge() Hedge {
	return Hedge{Factor: 4, MinDelay: 2 * time.Second, MaxLoad: 0.7}
}

// HedgeInput describes an attempt that has not answered yet.
type HedgeInput struct {
	Repeatable bool          // Whether the call may be executed more than once.
	Started    bool          // Whether the first token has arrived.
	Elapsed    time.Duration // Since the call was sent.
	Expected   time.Duration // Time to the first token that was estimated when the call was routed.
	Load       float64       // Running and queued calls per slot on the server that would run the second attempt.
}

// Send reports whether to send a second attempt now. It withdraws from the budget when it does.
func (h Hedge) Send(in HedgeInput, budget *RetryBudget, now time.Time) bool {
	if !in.Repeatable || in.Started || in.Load > h.MaxLoad {
		return false
	}
	if in.Elapsed < h.Delay(in.Expected) {
		return false
	}
	return budget.Withdraw(now)
}

// Delay returns the time after which an attempt without a first token counts as late.
func (h Hedge) Delay(expected time.Duration) time.Duration {
	return max(seconds(expected.Seconds()*h.Factor), h.MinDelay)
}
