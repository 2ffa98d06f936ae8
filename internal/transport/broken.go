package transport

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/http1"
)

// RecordBrokenAnswers returns what logs the broken answers that a client gets, and counts them in the set.
func RecordBrokenAnswers(log *slog.Logger, set *metrics.Set) func(address string, e *http1.MalformedError) {
	return func(address string, e *http1.MalformedError) {
		set.GetOrCreateCounter(`redwinggauge_broken_answers_total{reason="` + string(e.Reason) + `"}`).Inc()
		log.Warn("broken answer", "address", address, "reason", string(e.Reason), "detail", e.Detail)
	}
}
