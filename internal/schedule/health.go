package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Health counts the outcomes of calls at a server, for outlier detection: it finds servers that fail part of their calls
// although their own health check passes. The weight of an outcome decays, so that an ejected server is tried again.
type Health struct {
	served, failed float64
	decayedAt      time.Time // Time up to which the weights have been decayed.
}

const (
	healthHalfLife  = 3 * time.Second // Time in which the weight of an outcome is halved.
	minFailures     = 1.5             // Decayed failures below which a server is not ejected.
	ejectShare      = 0.15            // Share of failed calls from which on a server is ejected.
	maxEjectedShare = 1.0 / 3         // Largest share of a service's servers to eject; more would overload the others.
)

// Add counts calls that have ended.
func (h *Health) Add(now time.Time, served, failed float64) {
	h.decay(now)
	h.served += served
	h.failed += failed
}

// decay reduces the weights of the outcomes to those at now.
func (h *Health) decay(now time.Time) {
	if !h.decayedAt.IsZero() && now.After(h.decayedAt) {
		weight := math.Exp2(-now.Sub(h.decayedAt).Seconds() / healthHalfLife.Seconds())
		h.served *= weight
		h.failed *= weight
	}
	h.decayedAt = now
}

// failureShare returns the share of failed calls, or 0 if too few calls have failed.
func (h *Health) failureShare(now time.Time) float64 {
	h.decay(now)
	if h.failed < minFailures {
		return 0
	}
	return h.failed / (h.failed + h.served)
}

// Eject reports for each of a service's servers whether it should get no calls. It ejects the servers with the highest
// failure shares, but never more than a third, so that wrong decisions cannot leave a service without servers.
func Eject(list []*Health, now time.Time) []bool {
	type outlier struct {
		index int
		share float64
	}
	var outliers []outlier
	for i, h := range list {
		if share := h.failureShare(now); share >= ejectShare {
			outliers = append(outliers, outlier{i, share})
		}
	}
	slices.SortFunc(outliers, func(a, b outlier) int { return cmp.Compare(b.share, a.share) })
	limit := int(float64(len(list)) * maxEjectedShare)
	out := make([]bool, len(list))
	for _, s := range outliers[:min(limit, len(outliers))] {
		out[s.index] = true
	}
	return out
}
