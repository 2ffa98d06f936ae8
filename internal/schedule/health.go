package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Health counts how calls ended at a server. Old outcomes weigh less, so that a server that no call reaches is tried again.
// It answers servers that fail part of their calls while their own health check is good.
type Health struct {
	served, failed float64
	at             time.Time // Until when the weights have decayed.
}

const (
	healthHalfLife  = 3 * time.Second // Time in which an outcome loses half of its weight.
	minFailures     = 1.5             // Weight of failures below which a server is not ejected.
	ejectShare      = 0.15            // Share of failed calls from which a server is ejected.
	maxEjectedShare = 1.0 / 3         // Of a service's servers: more would overload the others.
)

// Add counts calls that ended.
func (h *Health) Add(now time.Time, served, failed float64) {
	h.decay(now)
	h.served += served
	h.failed += failed
}

func (h *Health) decay(now time.Time) {
	if !h.at.IsZero() && now.After(h.at) {
		weight := math.Exp2(-now.Sub(h.at).Seconds() / healthHalfLife.Seconds())
		h.served *= weight
		h.failed *= weight
	}
	h.at = now
}

// failureShare returns the share of failed calls, or 0 when too few have failed to tell.
func (h *Health) failureShare(now time.Time) float64 {
	h.decay(now)
	if h.failed < minFailures {
		return 0
	}
	return h.failed / (h.failed + h.served)
}

// Eject returns which of a service's servers should get no calls: those that fail most, and never more than a third, so
// that a wrong verdict cannot empty a service.
func Eject(list []*Health, now time.Time) []bool {
	type suspect struct {
		index int
		share float64
	}
	var suspects []suspect
	for i, h := range list {
		if share := h.failureShare(now); share >= ejectShare {
			suspects = append(suspects, suspect{i, share})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.share, a.share) })
	limit := int(float64(len(list)) * maxEjectedShare)
	out := make([]bool, len(list))
	for _, s := range suspects[:min(limit, len(suspects))] {
		out[s.index] = true
	}
	return out
}
