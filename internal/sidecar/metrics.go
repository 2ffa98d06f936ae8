package sidecar

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// sidecarMetrics holds the metrics of one sidecar.
type sidecarMetrics struct {
	set             *metrics.Set
	calls           *metrics.Counter
	joins           *metrics.Counter
	refusals        *metrics.Counter
	crashes         *metrics.Counter
	releases        *metrics.Counter
	releaseFailures *metrics.Counter
	queueTime       *metrics.Histogram
	executionTime   *metrics.Histogram
}

// newMetrics registers the metrics, including gauges that read the state of s when they are scraped.
func newMetrics(s *Sidecar) *sidecarMetrics {
	set := metrics.NewSet()
	m := &sidecarMetrics{
		set:             set,
		calls:           set.NewCounter("redwinggauge_sidecar_calls_total"),
		joins:           set.NewCounter("redwinggauge_sidecar_joins_total"),
		refusals:        set.NewCounter("redwinggauge_sidecar_refusals_total"),
		crashes:         set.NewCounter("redwinggauge_sidecar_backend_crashes_total"),
		releases:        set.NewCounter("redwinggauge_sidecar_cache_releases_total"),
		releaseFailures: set.NewCounter("redwinggauge_sidecar_cache_release_failures_total"),
		queueTime:       set.NewHistogram("redwinggauge_sidecar_queue_seconds"),
		executionTime:   set.NewHistogram("redwinggauge_sidecar_execution_seconds"),
	}
	gauge := func(name string, read func(api.Load) float64) {
		set.NewGauge(name, func() float64 { return read(s.load()) })
	}
	gauge("redwinggauge_sidecar_running", func(l api.Load) float64 { return float64(l.Running) })
	gauge("redwinggauge_sidecar_queued", func(l api.Load) float64 { return float64(l.Queued) })
	gauge("redwinggauge_sidecar_healthy", func(l api.Load) float64 { return boolToFloat(l.Healthy) })
	gauge("redwinggauge_sidecar_draining", func(l api.Load) float64 { return boolToFloat(l.Draining) })
	set.NewGauge("redwinggauge_sidecar_ledger_calls", func() float64 { n, _ := s.ledger.Size(); return float64(n) })
	set.NewGauge("redwinggauge_sidecar_ledger_bytes", func() float64 { _, n := s.ledger.Size(); return float64(n) })
	set.NewGauge("redwinggauge_sidecar_history_bytes", func() float64 { return float64(s.histories.Bytes()) })
	return m
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
