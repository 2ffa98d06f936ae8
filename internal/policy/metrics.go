package policy

import "github.com/VictoriaMetrics/metrics"

// unknownAge is the value of the age metric, in seconds, if the newest revision was never confirmed.
const unknownAge = 1e9

// RegisterMetrics adds the tracker's gauges to set.
func (t *Tracker) RegisterMetrics(set *metrics.Set) {
	set.NewGauge("redwinggauge_config_revision", func() float64 {
		return float64(t.Current().Entry.Revision)
	})
	set.NewGauge("redwinggauge_config_known_revision", func() float64 {
		return float64(t.Known())
	})
	set.NewGauge("redwinggauge_config_age_seconds", func() float64 {
		age := t.Age(t.now())
		if age < 0 {
			return unknownAge
		}
		return age.Seconds()
	})
	set.NewGauge("redwinggauge_config_fresh", func() float64 {
		if t.Fresh(t.now()) {
			return 1
		}
		return 0
	})
}
