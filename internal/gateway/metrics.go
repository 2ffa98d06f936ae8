package gateway

import (
	"net/http"

	vm "github.com/VictoriaMetrics/metrics"
)

// metrics are the counters and histograms of a gateway.
type metrics struct {
	set           *vm.Set
	dials         *vm.Counter
	storeFailures *vm.Counter
	logDropped    *vm.Counter
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:           set,
		dials:         set.NewCounter("redwinggauge_upstream_connections_total"),
		storeFailures: set.NewCounter("redwinggauge_store_failures_total"),
		logDropped:    set.NewCounter("redwinggauge_log_lines_dropped_total"),
	}
}

func (m *metrics) outcome(kind, outcome string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_calls_total{kind="` + kind + `",outcome="` + outcome + `"}`)
}

func (m *metrics) storeCall(operation string) *vm.Counter {
	return m.set.GetOrCreateCounter(`redwinggauge_store_calls_total{operation="` + operation + `"}`)
}

func (m *metrics) latency(kind string) *vm.Histogram {
	return m.set.GetOrCreateHistogram(`redwinggauge_call_seconds{kind="` + kind + `"}`)
}

// serve answers a scrape.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
}
