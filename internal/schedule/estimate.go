package schedule

import (
	"math"
	"time"
)

// Values assumed for a server that has not reported its own.
const (
	defaultPrefillRate = 5000.0 // Tokens per second.
	defaultDecodeRate  = 50.0   // Tokens per second of one sequence.
	defaultSlots       = 8
)

// Estimator estimates wait and prefill times from load reports.
type Estimator struct {
	HalfLife  time.Duration // Age at which the weight of a report is halved.
	PriorWait time.Duration // Wait assumed for a server without a report.
}

// Wait returns the expected time until the server starts a call that is sent now.
//
// The report's weight halves with every HalfLife of its age; the remaining weight is that of PriorWait. Calls that this
// entry has sent since the report always count in full.
func (e Estimator) Wait(b *BackendServer, req *Request) time.Duration {
	weight := e.weight(b, req.Now)
	reported := backlog(b, req, b.Load.Running+b.Load.Queued, b.Load.QueuedTokens)
	withSent := backlog(b, req, b.Load.Running+b.Load.Queued+b.SentCalls, b.Load.QueuedTokens+b.SentTokens)
	prior := e.PriorWait.Seconds()
	return seconds(weight*reported + (1-weight)*prior + (withSent - reported))
}

// weight returns the weight of the server's report in [0, 1].
func (e Estimator) weight(b *BackendServer, now time.Time) float64 {
	if b.ReportedAt.IsZero() {
		return 0
	}
	age := now.Sub(b.ReportedAt)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / e.HalfLife.Seconds())
}

// Prefill returns the time to compute the part of the prompt that the server has not cached.
func (e Estimator) Prefill(b *BackendServer, req *Request) time.Duration {
	missing := req.PromptTokens - req.cachedOn(b.ID)
	return seconds(float64(missing) / prefillRate(b))
}

// backlog returns the seconds until a slot and the prefill unit are free, given the calls and prefill tokens ahead.
func backlog(b *BackendServer, req *Request, calls, tokens int) float64 {
	prefill := float64(tokens) / prefillRate(b)
	over := calls + 1 - slots(b)
	if over <= 0 {
		return prefill
	}
	perCall := float64(max(req.ExpectedOutput, 1)) / decodeRate(b)
	return prefill + float64(over)*perCall/float64(slots(b))
}

// prefillRate returns the server's prefill rate in tokens per second.
func prefillRate(b *BackendServer) float64 {
	if b.Load.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return b.Load.PrefillRate
}

// decodeRate returns the server's decode rate of one sequence in tokens per second.
func decodeRate(b *BackendServer) float64 {
	if b.Load.DecodeRate <= 0 {
		return defaultDecodeRate
	}
	return b.Load.DecodeRate
}

// slots returns the number of calls that the server runs concurrently.
func slots(b *BackendServer) int {
	if b.Load.Slots <= 0 {
		return defaultSlots
	}
	return b.Load.Slots
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
