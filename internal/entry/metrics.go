package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// entryMetrics holds the metrics of one entry.
type entryMetrics struct {
	set               *metrics.Set
	firstTokenSeconds *metrics.Summary // From the arrival of a call to its first text.
	callSeconds       *metrics.Summary // From the arrival of a call to its end.
	commitSeconds     *metrics.Summary // Duration of a commit.
	takeoverSeconds   *metrics.Summary // Duration of taking a journal, including its replay.
	resumedAnswers    *metrics.Counter // Calls sent to an owner again after part of the answer had been delivered.
}

func newMetrics(e *Entry) *entryMetrics {
	set := metrics.NewSet()
	e.tracker.RegisterMetrics(set)
	set.NewGauge("redwinggauge_journals_owned", func() float64 { return float64(len(e.ownership.all())) })
	set.NewGauge("redwinggauge_programs", func() float64 { return float64(e.programCount()) })
	set.NewGauge("redwinggauge_retry_budget", func() float64 { return e.retryBudget.remaining() })
	return &entryMetrics{
		set:               set,
		firstTokenSeconds: set.NewSummary("redwinggauge_first_token_seconds"),
		callSeconds:       set.NewSummary("redwinggauge_call_seconds"),
		commitSeconds:     set.NewSummary("redwinggauge_commit_seconds"),
		takeoverSeconds:   set.NewSummary("redwinggauge_takeover_seconds"),
		resumedAnswers:    set.NewCounter("redwinggauge_resumed_answers_total"),
	}
}

// callEnded records the duration of a caller's call and counts it by its result code.
func (m *entryMetrics) callEnded(code api.Code, began time.Time) {
	m.callSeconds.UpdateDuration(began)
	m.set.GetOrCreateCounter(fmt.Sprintf(`redwinggauge_calls_total{code="%d"}`, code)).Inc()
}

// write writes the metrics of the entry and of the process as the response, in the Prometheus text format.
func (m *entryMetrics) write(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	m.set.WritePrometheus(ctx)
	metrics.WritePrometheus(ctx, true)
}

// programCount returns the number of program trees in the owned journals. A tree is a root program with its sub-agents.
func (e *Entry) programCount() int {
	n := 0
	for _, s := range e.ownership.all() {
		n += s.store.Len()
	}
	return n
}
