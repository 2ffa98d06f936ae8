package sidecar

import (
	"sync"
	"time"
)

// movingAverageWeight is the weight of the newest observation in an exponential moving average.
const movingAverageWeight = 0.2

// rates holds moving averages of the engine's speed, measured from its answers. It is safe for concurrent use.
type rates struct {
	mu          sync.Mutex
	prefillRate float64 // Tokens per second; under mu.
	decodeRate  float64 // Tokens per second and sequence; under mu.
}

// observe updates the rates from one answer. Each text chunk counts as one token.
func (r *rates) observe(startedAt, endedAt time.Time, answer *completion) {
	if answer.textChunks == 0 {
		return
	}
	computed := answer.result.Usage.PromptTokens - answer.result.Usage.CachedTokens
	first := answer.firstTextAt.Sub(startedAt).Seconds()
	rest := endedAt.Sub(answer.firstTextAt).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if computed > 0 && first > 0 {
		r.prefillRate = movingAverage(r.prefillRate, float64(computed)/first)
	}
	if answer.textChunks > 1 && rest > 0 {
		r.decodeRate = movingAverage(r.decodeRate, float64(answer.textChunks-1)/rest)
	}
}

// get returns the measured rates. A rate is 0 before its first observation.
func (r *rates) get() (prefill, decode float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefillRate, r.decodeRate
}

// movingAverage returns the exponential moving average after an observation. An old value of 0 means that there is none.
func movingAverage(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + movingAverageWeight*(observed-old)
}
