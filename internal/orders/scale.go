package orders

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// place is a model in a failure domain.
type place struct{ model, domain string }

// scale is the number of replicas wanted at a place between the declared bounds, with hysteresis.
type scale struct {
	want      int
	highSince time.Time // Zero while the load is not high.
	lowSince  time.Time // Zero while the load is not low.
}

// update moves the wanted number by at most one. load is the mean of the ready replicas.
func (s *scale) update(now time.Time, r policy.Replicas, ready int, load float64, set Settings) {
	s.want = min(max(s.want, r.Min), max(r.Min, r.Max))
	s.mark(&s.highSince, now, ready > 0 && load > set.HighLoad)
	s.mark(&s.lowSince, now, ready > 1 && load < set.LowLoad)
	if held(s.highSince, now, set.GrowAfter) && s.want < r.Max && ready >= s.want {
		s.want++
		s.highSince = now
	}
	if held(s.lowSince, now, set.ShrinkWait) && s.want > r.Min {
		s.want--
		s.lowSince = now
	}
}

func (s *scale) mark(since *time.Time, now time.Time, holds bool) {
	if !holds {
		*since = time.Time{}
		return
	}
	if since.IsZero() {
		*since = now
	}
}

func held(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}
