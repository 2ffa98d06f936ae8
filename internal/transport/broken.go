package transport

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/http1"
)

// RecordBrokenAnswer logs a broken answer with the attributes of its sender, and counts it in the set.
func RecordBrokenAnswer(log *slog.Logger, set *metrics.Set, e *http1.MalformedError, sender ...any) {
	set.GetOrCreateCounter(`redwinggauge_broken_answers_total{reason="` + string(e.Reason) + `"}`).Inc()
	log.Warn("broken answer", append(sender, "reason", string(e.Reason), "detail", e.Detail)...)
}

// RecordBrokenAnswers returns what records the broken answers that a client gets.
func RecordBrokenAnswers(log *slog.Logger, set *metrics.Set) func(address string, e *http1.MalformedError) {
	return func(address string, e *http1.MalformedError) { RecordBrokenAnswer(log, set, e, "address", address) }
}
