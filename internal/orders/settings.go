package orders

import "time"

// Settings are the limits of a Planner's reactions.
type Settings struct {
	LostAfter  time.Duration // An engine that is not ready for that long is replaced.
	HighLoad   float64       // Load beyond which a deployment grows.
	LowLoad    float64       // Load below which it shrinks.
	GrowAfter  time.Duration // How long the load must stay high.
	ShrinkWait time.Duration // How long the load must stay low.
	BackoffMin time.Duration // Pause before the first repetition of an order that had no effect; doubled each time.
	BackoffMax time.Duration
}

// DefaultSettings returns the settings of a Planner.
func DefaultSettings() Settings {
	return Settings{
		LostAfter:  15 * time.Second,
		HighLoad:   0.85,
		LowLoad:    0.35,
		GrowAfter:  time.Minute,
		ShrinkWait: 15 * time.Minute,
		BackoffMin: 5 * time.Second,
		BackoffMax: 5 * time.Minute,
	}
}

// The interval between fetches is longer than the weight store asks for, as the delay between an order and its fetch varies:
// by a share of the interval, and by the time that a busy machine may delay one order more than the next.
const (
	fetchMargin    = 1.1
	minFetchMargin = 150 * time.Millisecond
)

// pace spaces the orders that read the weight store.
type pace struct{ last time.Time }

// take reports whether an order may read the weight store now, and if so counts it.
func (p *pace) take(now time.Time, interval time.Duration) bool {
	margin := max(time.Duration(float64(interval)*(fetchMargin-1)), minFetchMargin)
	if now.Before(p.last.Add(interval + margin)) {
		return false
	}
	p.last = now
	return true
}

// backoff returns how long after its ending an equal order may be given. jitter is in [0, 1).
func (s Settings) backoff(e Ending, jitter float64) time.Duration {
	pause := s.BackoffMin
	for range e.Repeats {
		pause = min(2*pause, s.BackoffMax)
	}
	return pause + time.Duration(jitter*float64(pause)/2)
}
