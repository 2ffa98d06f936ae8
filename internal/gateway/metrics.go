package gateway

import (
	"net/http"

	vm "github.com/VictoriaMetrics/metrics"
)

// metrics holds the counters, gauges and histograms of a gateway.
type metrics struct {
	set           *vm.Set
	dials         *vm.Counter
	storeFailures *vm.Counter
	// leavingAvoided counts the calls that were placed at a leaving server and not sent to it.
	leavingAvoided *vm.Counter
	shareRefusals  *vm.Counter
	crashes        *vm.Counter // Of servers, while they ran calls of this process.
	// updatesDeferred counts the answers to followers whose updates had to wait, because too many were on the way.
	updatesDeferred *vm.Counter
	domains         domainMetrics
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:            set,
		dials:          set.NewCounter("redwinggauge_upstream_connections_total"),
		storeFailures:  set.NewCounter("redwinggauge_store_failures_total"),
		leavingAvoided: set.NewCounter("redwinggauge_calls_kept_from_leaving_servers_total"),
		shareRefusals:  set.NewCounter("redwinggauge_share_refusals_total"),
		crashes:        set.NewCounter("redwinggauge_server_crashes_total"),

		updatesDeferred: set.NewCounter("redwinggauge_updates_deferred_total"),
	}
}

// CountDroppedLines exports the number of dropped log lines as a metric.
func (g *Gateway) CountDroppedLines(dropped func() uint64) {
	g.metrics.set.NewGauge("redwinggauge_log_lines_dropped_total", func() float64 { return float64(dropped()) })
}

// registerGauges exports the state of the gateway as gauges.
func (g *Gateway) registerGauges() {
	set := g.metrics.set
	set.NewGauge("redwinggauge_calls_under_way", func() float64 { return float64(g.active.Load()) })
	set.NewGauge("redwinggauge_buffered_bytes", func() float64 { return float64(g.buffers.Held()) })
	set.NewGauge("redwinggauge_configuration_version", func() float64 {
		if c := g.directory.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	set.NewGauge("redwinggauge_backend_servers", func() float64 { return float64(g.directory.View().Len()) })
	set.NewGauge("redwinggauge_turns_waiting", func() float64 { return float64(g.admission.waiting.Load()) })
	set.NewGauge("redwinggauge_limited_servers", func() float64 { return float64(g.limits.Limited()) })
	set.NewGauge("redwinggauge_leaving_servers", func() float64 { return float64(g.leaving.Len()) })
	set.NewGauge("redwinggauge_crash_suspects", func() float64 { return float64(len(g.suspects.AllRecords())) })
	set.NewGauge("redwinggauge_refused_requests", func() float64 { return float64(len(g.suspects.refused())) })
	set.NewGauge("redwinggauge_gateways", func() float64 { return float64(g.group.Len()) })
	set.NewGauge("redwinggauge_is_hub", func() float64 {
		if g.isHub() {
			return 1
		}
		return 0
	})
}

// outcome returns the counter of the calls of a kind that ended with an outcome.
func (m *metrics) outcome(kind, outcome string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_calls_total{kind="` + kind + `",outcome="` + outcome + `"}`)
}

// storeCall returns the counter of the calls of an operation to the key-value service.
func (m *metrics) storeCall(operation string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_store_calls_total{operation="` + operation + `"}`)
}

// leavingAnnounced returns the counter of the announcements of leaving servers that came from a source.
func (m *metrics) leavingAnnounced(source string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_leaving_announcements_total{source="` + source + `"}`)
}

// slowCallEnded returns the counter of the calls that were ended because their callers were the slowest in a direction.
func (m *metrics) slowCallEnded(direction string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_slow_calls_ended_total{direction="` + direction + `"}`)
}

// latency returns the histogram of the times, in seconds, from the arrival to the end of the calls of a kind.
func (m *metrics) latency(kind string) *vm.Histogram {
	return m.set.GetOrCreateHistogram(`redwinggauge_call_seconds{kind="` + kind + `"}`)
}

// serve answers a Prometheus scrape.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
}
