package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// entryMetrics are the metrics of one entry.
type entryMetrics struct {
	set        *metrics.Set
	firstToken *metrics.Summary // Seconds from a call's arrival to its first text.
	calls      *metrics.Summary // Seconds from a call's arrival to its end.
	commits    *metrics.Summary // Seconds that a commit took.
	takeovers  *metrics.Summary // Seconds that taking a journal took.
	resumes    *metrics.Counter // Answers continued at another server or owner.
}

func newMetrics(e *Entry) *entryMetrics {
	set := metrics.NewSet()
	e.tracker.RegisterMetrics(set)
	set.NewGauge("redwinggauge_journals_owned", func() float64 { return float64(len(e.ownership.all())) })
	set.NewGauge("redwinggauge_programs", func() float64 { return float64(e.programCount()) })
	set.NewGauge("redwinggauge_retry_budget", func() float64 { return e.retries.left() })
	return &entryMetrics{
		set:        set,
		firstToken: set.NewSummary("redwinggauge_first_token_seconds"),
		calls:      set.NewSummary("redwinggauge_call_seconds"),
		commits:    set.NewSummary("redwinggauge_commit_seconds"),
		takeovers:  set.NewSummary("redwinggauge_takeover_seconds"),
		resumes:    set.NewCounter("redwinggauge_resumed_answers_total"),
	}
}

// ended counts a caller's call by its result code.
func (m *entryMetrics) ended(code api.Code, began time.Time) {
	m.calls.UpdateDuration(began)
	m.set.GetOrCreateCounter(fmt.Sprintf(`redwinggauge_calls_total{code="%d"}`, code)).Inc()
}

// write answers with the metrics of the entry and of the process.
func (m *entryMetrics) write(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	m.set.WritePrometheus(ctx)
	metrics.WritePrometheus(ctx, true)
}

// programCount returns the number of trees in the owned journals.
func (e *Entry) programCount() int {
	n := 0
	for _, s := range e.ownership.all() {
		n += s.store.Len()
	}
	return n
}
