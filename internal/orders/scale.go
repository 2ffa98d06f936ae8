package orders

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// placement is a model in a failure domain.
type placement struct{ model, domain string }

// replicaScaler adjusts the wanted number of replicas of a placement to the load, within the declared bounds and with
// hysteresis.
type replicaScaler struct {
	want      int       // Wanted number of replicas.
	highSince time.Time // Zero while the load is not high.
	lowSince  time.Time // Zero while the load is not low.
}

// update changes the wanted number by at most one, apart from moving it into the declared bounds. load is the mean load of
// the ready replicas. The number increases only if all wanted replicas are ready.
func (s *replicaScaler) update(now time.Time, r policy.Replicas, ready int, load float64, settings Settings) {
	s.want = min(max(s.want, r.Min), max(r.Min, r.Max))
	s.updateSince(&s.highSince, now, ready > 0 && load > settings.HighLoad)
	s.updateSince(&s.lowSince, now, ready > 1 && load < settings.LowLoad)
	if heldFor(s.highSince, now, settings.GrowAfter) && s.want < r.Max && ready >= s.want {
		s.want++
		s.highSince = now
	}
	if heldFor(s.lowSince, now, settings.ShrinkAfter) && s.want > r.Min {
		s.want--
		s.lowSince = now
	}
}

// updateSince sets since to now if the condition has become true, and to the zero time if it is false.
func (s *replicaScaler) updateSince(since *time.Time, now time.Time, holds bool) {
	if !holds {
		*since = time.Time{}
		return
	}
	if since.IsZero() {
		*since = now
	}
}

// heldFor reports whether a condition that is true since the given time has lasted for the limit.
func heldFor(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}
