package sidecar

import (
	"sync"
	"time"
)

// rateWeight is the share of the newest observation in a measured rate.
const rateWeight = 0.2

// rates measures the engine's speed from the answers seen. It is safe for concurrent use.
type rates struct {
	mu      sync.Mutex
	prefill float64 // Tokens per second; under mu.
	decode  float64 // Tokens per second and sequence; under mu.
}

// observe takes in one answer.
func (r *rates) observe(begun, ended time.Time, answer *completion) {
	if answer.tokens == 0 {
		return
	}
	computed := answer.result.Usage.PromptTokens - answer.result.Usage.CachedTokens
	first := answer.firstText.Sub(begun).Seconds()
	rest := ended.Sub(answer.firstText).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if computed > 0 && first > 0 {
		r.prefill = blend(r.prefill, float64(computed)/first)
	}
	if answer.tokens > 1 && rest > 0 {
		r.decode = blend(r.decode, float64(answer.tokens-1)/rest)
	}
}

// get returns the measured rates, 0 before the first observation.
func (r *rates) get() (prefill, decode float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefill, r.decode
}

func blend(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + rateWeight*(observed-old)
}
