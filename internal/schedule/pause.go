package schedule

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minPauseMS             = int64(1)         // Lower bound of the histograms; shorter pauses are recorded as this value.
	maxPauseMS             = int64(3_600_000) // Upper bound of the histograms; longer pauses are recorded as this value.
	pauseSignificantDigits = 1                // Precision of the histograms in significant decimal digits.
	pauseGenerationSize    = 256              // Observations per generation; a full generation replaces the previous one.
	minPauseSamples        = 8                // Observations below which the forecast of all tools is used for a tool.
	pauseUnit              = time.Millisecond // Unit of the histograms.
	defaultPause           = 3 * time.Second  // Pause assumed if there are no observations.
)

// PauseStats records how long programs pause for each tool. It holds a bounded number of tools and evicts the one
// that was least recently observed. Old observations are dropped in generations.
type PauseStats struct {
	maxTools int
	tools    map[string]*list.Element
	lru      *list.List // Of *toolPauses, most recently observed first.
	all      toolPauses
}

// toolPauses holds the current and the previous generation of a tool's observations.
type toolPauses struct {
	tool     string
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

// NewPauseStats returns an empty PauseStats for at most maximum tools.
func NewPauseStats(maximum int) *PauseStats {
	return &PauseStats{
		maxTools: maximum,
		tools:    make(map[string]*list.Element, maximum),
		lru:      list.New(),
		all:      newToolPauses(""),
	}
}

// Observe records one pause for the tool.
func (s *PauseStats) Observe(tool string, pause time.Duration) {
	s.all.observe(pause)
	s.touch(tool).observe(pause)
}

// Forecast returns the distribution of the tool's pauses, or that of all tools if the tool has too few observations.
func (s *PauseStats) Forecast(tool string) PauseForecast {
	if e, ok := s.tools[tool]; ok {
		if t := e.Value.(*toolPauses); t.count() >= minPauseSamples {
			return t.forecast()
		}
	}
	return s.all.forecast()
}

// Tools returns the number of tools with statistics.
func (s *PauseStats) Tools() int { return len(s.tools) }

// touch returns the statistics of the tool and marks them as most recently observed. It adds a missing tool, evicting
// another one if there are maxTools already.
func (s *PauseStats) touch(tool string) *toolPauses {
	if e, ok := s.tools[tool]; ok {
		s.lru.MoveToFront(e)
		return e.Value.(*toolPauses)
	}
	if len(s.tools) >= s.maxTools {
		oldest := s.lru.Back()
		delete(s.tools, s.lru.Remove(oldest).(*toolPauses).tool)
	}
	t := newToolPauses(tool)
	s.tools[tool] = s.lru.PushFront(&t)
	return &t
}

func newToolPauses(tool string) toolPauses {
	return toolPauses{tool: tool, current: newPauseHistogram(), previous: newPauseHistogram()}
}

func newPauseHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minPauseMS, maxPauseMS, pauseSignificantDigits)
}

// observe records one pause. When the current generation is full, it becomes the previous one and a new one begins.
func (t *toolPauses) observe(pause time.Duration) {
	ms := min(max(pause.Milliseconds(), minPauseMS), maxPauseMS)
	if err := t.current.RecordValue(ms); err != nil {
		return // Cannot happen: the value is within the bounds of the histogram.
	}
	if t.current.TotalCount() >= pauseGenerationSize {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
	}
}

func (t *toolPauses) count() int64 { return t.current.TotalCount() + t.previous.TotalCount() }

// forecast returns the distribution of the previous generation, or of the current one if that is the first. Without
// observations it returns defaultPause for all quantiles.
func (t *toolPauses) forecast() PauseForecast {
	var f PauseForecast
	if t.count() == 0 {
		for i := range f {
			f[i] = defaultPause
		}
		return f
	}
	source := t.current
	if t.previous.TotalCount() > 0 {
		source = t.previous
	}
	for i := range f {
		f[i] = time.Duration(source.ValueAtQuantile(forecastQuantile(i))) * pauseUnit
	}
	return f
}

// forecastQuantile returns the percentile at the centre of the i-th of forecastQuantiles equal intervals.
func forecastQuantile(i int) float64 {
	return 100 * (float64(i) + 0.5) / forecastQuantiles
}
