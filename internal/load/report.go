package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Report holds the measurements of one run.
type Report struct {
	Plan       string           `json:"plan"`
	Mix        string           `json:"mix"`
	Policy     string           `json:"policy"`
	Seed       uint64           `json:"seed"`
	Rate       float64          `json:"rate"`    // Programs started per second, according to the plan.
	Seconds    float64          `json:"seconds"` // Duration of the run.
	Started    int              `json:"started"`
	NotStarted int              `json:"not_started"`        // Programs not started because of the plan's limit on running programs.
	Leftover   int              `json:"leftover"`           // Programs whose deletion failed.
	Lost       int              `json:"lost"`               // Requests without a complete response, such as those whose connection broke.
	Codes      map[api.Code]int `json:"codes"`              // Number of responses by result code, including those to resent requests.
	Classes    []ClassReport    `json:"classes"`            // The last element is the total of all classes.
	Waste      *Waste           `json:"waste,omitempty"`    // Nil if no cache memory was held or no engine was queried.
	Failures   []string         `json:"failures,omitempty"` // The first errors that ended programs, at most maxFailures.
}

// ClassReport holds the measurements of one class of programs.
type ClassReport struct {
	Class         string          `json:"class"`
	Outcomes      map[outcome]int `json:"outcomes"`
	Program       Percentiles     `json:"program"`        // Latency of finished programs.
	FirstToken    Percentiles     `json:"first_token"`    // Time from the first attempt of a model call to its first token.
	BetweenTokens Percentiles     `json:"between_tokens"` // Time between consecutive tokens.
}

// Percentiles summarizes a distribution of durations in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// allClasses is the name of the total of all classes.
const allClasses = "all"

func newReport(plan *Plan, policy string, s *stats, waste Waste, elapsed time.Duration) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Report{
		Plan: plan.Name, Mix: plan.Mix, Policy: policy, Seed: plan.Seed, Rate: plan.Rate, Seconds: elapsed.Seconds(),
		Started: s.started, NotStarted: s.notStarted, Leftover: s.leftover, Lost: s.lost, Codes: maps.Clone(s.codes), Failures: slices.Clone(s.failures),
	}
	if waste.HeldTokenSeconds > 0 {
		r.Waste = &waste
	}
	sum := &classStats{programLatency: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram(), outcomes: make(map[outcome]int)}
	for _, name := range slices.Sorted(maps.Keys(s.classes)) {
		c := s.classes[name]
		r.Classes = append(r.Classes, c.report(name))
		sum.add(c)
	}
	r.Classes = append(r.Classes, sum.report(allClasses))
	return r
}

// add adds the measurements of another class.
func (c *classStats) add(other *classStats) {
	c.programLatency.Merge(other.programLatency)
	c.firstToken.Merge(other.firstToken)
	c.betweenTokens.Merge(other.betweenTokens)
	for o, n := range other.outcomes {
		c.outcomes[o] += n
	}
}

func (c *classStats) report(name string) ClassReport {
	return ClassReport{
		Class: name, Outcomes: maps.Clone(c.outcomes),
		Program: percentilesOf(c.programLatency), FirstToken: percentilesOf(c.firstToken), BetweenTokens: percentilesOf(c.betweenTokens),
	}
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	ms := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

// class returns the measurements of a class, or nil if there are none.
func (r *Report) class(name string) *ClassReport {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// WriteTable writes the report as text with a table of the classes.
func (r *Report) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "plan %s, mix %s, policy %s, seed %d, %.2f programs/s, %.0f s\n", r.Plan, r.Mix, r.Policy, r.Seed, r.Rate, r.Seconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tfinished\trefused\tunknown\tfailed\tunfinished\tprogram p50\tp95\tp99 ms\tfirst p50\tp95\tp99 ms\tbetween p50\tp95\tp99 ms\t")
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", c.Class, c.Outcomes[outcomeFinished], c.Outcomes[outcomeRefused],
			c.Outcomes[outcomeUnknown], c.Outcomes[outcomeFailed], c.Outcomes[outcomeUnfinished], c.Program, c.FirstToken, c.BetweenTokens)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	var codes []string
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		codes = append(codes, fmt.Sprintf("%d: %d", code, r.Codes[code]))
	}
	fmt.Fprintf(out, "answers by code  %s\nlost requests %d, not started %d, not deleted %d\n", strings.Join(codes, ", "), r.Lost, r.NotStarted, r.Leftover)
	for _, failure := range r.Failures {
		fmt.Fprintf(out, "program ended by  %s\n", failure)
	}
	if r.Waste != nil {
		fmt.Fprintf(out, "wasted cache  %.0f of %.0f token seconds (%.1f%%)\n", r.Waste.WastedTokenSeconds, r.Waste.HeldTokenSeconds, 100*r.Waste.Share())
	}
	return nil
}

// String formats the percentiles as three columns separated by tabs.
func (p Percentiles) String() string { return fmt.Sprintf("%.1f\t%.1f\t%.1f", p.P50, p.P95, p.P99) }

// WriteJSON writes reports to a file as JSON.
func WriteJSON(path string, reports []*Report) error {
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return fmt.Errorf("encode load report: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write load report: %w", err)
	}
	return nil
}

// WriteComparison writes the ratios of a report's measurements to those of a baseline with the same plan and seed.
func WriteComparison(out io.Writer, report, baseline *Report) error {
	fmt.Fprintf(out, "policy %s against %s, same plan and seed; below 1 is better\n", report.Policy, baseline.Policy)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tfinished\tprogram p50\tp95\tp99\tfirst token p95\tbetween tokens p95\t")
	for i := range report.Classes {
		c := &report.Classes[i]
		b := baseline.class(c.Class)
		if b == nil {
			continue
		}
		fmt.Fprintf(w, "%s\t%d of %d\t%s\t%s\t%s\t%s\t%s\t\n", c.Class, c.Outcomes[outcomeFinished], b.Outcomes[outcomeFinished],
			ratio(c.Program.P50, b.Program.P50), ratio(c.Program.P95, b.Program.P95), ratio(c.Program.P99, b.Program.P99),
			ratio(c.FirstToken.P95, b.FirstToken.P95), ratio(c.BetweenTokens.P95, b.BetweenTokens.P95))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	if report.Waste != nil && baseline.Waste != nil {
		fmt.Fprintf(out, "wasted cache  %s token seconds, %s as a share of what was held\n",
			ratio(report.Waste.WastedTokenSeconds, baseline.Waste.WastedTokenSeconds), ratio(report.Waste.Share(), baseline.Waste.Share()))
	}
	return nil
}

// ratio formats the ratio of a value to the baseline's. It returns "-" if the baseline is 0.
func ratio(value, baseline float64) string {
	if baseline == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2fx", value/baseline)
}
