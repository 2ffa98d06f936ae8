package schedule

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	pauseLowest       = int64(1)         // Milliseconds.
	pauseHighest      = int64(3_600_000) // Milliseconds; longer pauses count as this.
	pauseDigits       = 1                // Significant decimal digits.
	pauseGeneration   = 256              // Observations after which the older half is forgotten.
	pauseMinimumCount = 8                // Observations below which a tool has no forecast of its own.
	millisecond       = time.Millisecond // Unit of the histograms.
	defaultPause      = 3 * time.Second  // Pause assumed without observations.
)

// PauseStats observes how long programs pause for each tool. It keeps a bounded number of tools, forgetting the one
// used longest ago, and older observations decay.
type PauseStats struct {
	max   int
	tools map[string]*list.Element
	used  *list.List // Of *toolPauses, latest use first.
	all   toolPauses
}

// toolPauses holds two generations of observations.
type toolPauses struct {
	tool    string
	current *hdrhistogram.Histogram
	older   *hdrhistogram.Histogram
}

// NewPauseStats returns statistics for at most maximum tools.
func NewPauseStats(maximum int) *PauseStats {
	return &PauseStats{
		max:   maximum,
		tools: make(map[string]*list.Element, maximum),
		used:  list.New(),
		all:   newToolPauses(""),
	}
}

// Observe records one pause for the tool.
func (s *PauseStats) Observe(tool string, pause time.Duration) {
	s.all.observe(pause)
	s.touch(tool).observe(pause)
}

// Forecast returns the distribution of the tool's pauses. A tool that was seen too rarely gets the one of all tools.
func (s *PauseStats) Forecast(tool string) PauseForecast {
	if e, ok := s.tools[tool]; ok {
		if t := e.Value.(*toolPauses); t.count() >= pauseMinimumCount {
			return t.forecast()
		}
	}
	return s.all.forecast()
}

// Tools returns the number of tools that are observed.
func (s *PauseStats) Tools() int { return len(s.tools) }

func (s *PauseStats) touch(tool string) *toolPauses {
	if e, ok := s.tools[tool]; ok {
		s.used.MoveToFront(e)
		return e.Value.(*toolPauses)
	}
	if len(s.tools) >= s.max {
		oldest := s.used.Back()
		delete(s.tools, s.used.Remove(oldest).(*toolPauses).tool)
	}
	t := newToolPauses(tool)
	s.tools[tool] = s.used.PushFront(&t)
	return &t
}

func newToolPauses(tool string) toolPauses {
	return toolPauses{tool: tool, current: newPauseHistogram(), older: newPauseHistogram()}
}

func newPauseHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(pauseLowest, pauseHighest, pauseDigits)
}

func (t *toolPauses) observe(pause time.Duration) {
	ms := min(max(pause.Milliseconds(), pauseLowest), pauseHighest)
	if err := t.current.RecordValue(ms); err != nil {
		return // The value is within the bounds of the histogram.
	}
	if t.current.TotalCount() >= pauseGeneration {
		t.current, t.older = t.older, t.current
		t.current.Reset()
	}
}

func (t *toolPauses) count() int64 { return t.current.TotalCount() + t.older.TotalCount() }

func (t *toolPauses) forecast() PauseForecast {
	var f PauseForecast
	if t.count() == 0 {
		for i := range f {
			f[i] = defaultPause
		}
		return f
	}
	source := t.current
	if t.older.TotalCount() > 0 {
		source = t.older
	}
	for i := range f {
		f[i] = time.Duration(source.ValueAtQuantile(forecastQuantile(i))) * millisecond
	}
	return f
}

// forecastQuantile returns the percentile in the middle of the i-th of equal shares.
func forecastQuantile(i int) float64 {
	return 100 * (float64(i) + 0.5) / forecastShares
}
