package orders

import "time"

// Settings are the parameters of a Planner.
type Settings struct {
	LostAfter   time.Duration // Time without being ready after which an engine is replaced.
	HighLoad    float64       // Mean load of the ready replicas above which replicas are added.
	LowLoad     float64       // Mean load below which replicas are removed.
	GrowAfter   time.Duration // Time for which the load must be high before a replica is added.
	ShrinkAfter time.Duration // Time for which the load must be low before a replica is removed.
	BackoffMin  time.Duration // Pause before the first repetition of an order. It doubles with every repetition.
	BackoffMax  time.Duration // Maximum of the pause, before jitter.
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		LostAfter:   15 * time.Second,
		HighLoad:    0.85,
		LowLoad:     0.35,
		GrowAfter:   time.Minute,
		ShrinkAfter: 15 * time.Minute,
		BackoffMin:  5 * time.Second,
		BackoffMax:  5 * time.Minute,
	}
}

// The interval between orders that fetch is longer than the required interval between fetches, since the delay between an
// order and its fetch varies. The margin is a share of the interval, but at least the time by which a busy machine may delay
// one order more than the next.
const (
	fetchIntervalFactor = 1.1
	minFetchMargin      = 150 * time.Millisecond
)

// fetchLimiter limits the rate of orders that read from the weight store. last is when it last allowed one.
type fetchLimiter struct{ last time.Time }

// allow reports whether an order may read from the weight store now. If so, the next one must wait for the interval and a
// margin.
func (l *fetchLimiter) allow(now time.Time, interval time.Duration) bool {
	margin := max(time.Duration(float64(interval)*(fetchIntervalFactor-1)), minFetchMargin)
	if now.Before(l.last.Add(interval + margin)) {
		return false
	}
	l.last = now
	return true
}

// backoff returns how long after the outcome an order with the same kind and argument may be sent to the engine again.
// jitter is in [0, 1) and extends the pause by up to a half.
func (s Settings) backoff(o Outcome, jitter float64) time.Duration {
	pause := s.BackoffMin
	for range o.Repeats {
		pause = min(2*pause, s.BackoffMax)
	}
	return pause + time.Duration(jitter*float64(pause)/2)
}
