package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	// Range and precision of the histograms.
	maxRecordedMicros = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// stats collects the measurements of a run. It is safe for concurrent use: mu guards all other fields.
type stats struct {
	mu         sync.Mutex
	classes    map[string]*classStats
	codes      map[api.Code]int
	lost       int // Requests whose connection broke or whose response stream was truncated.
	started    int
	underway   int      // Programs that are running.
	notStarted int      // Programs not started because of the plan's limit on running programs.
	leftover   int      // Programs whose deletion failed.
	failures   []string // The first errors that ended programs, at most maxFailures.
}

// maxFailures is the maximum number of errors in a report.
const maxFailures = 8

// classStats holds the measurements of one class. Histograms are in microseconds.
type classStats struct {
	programLatency *hdrhistogram.Histogram // Latency of finished programs.
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	outcomes       map[outcome]int
}

func newStats() *stats {
	return &stats{classes: make(map[string]*classStats), codes: make(map[api.Code]int)}
}

// class returns the measurements of a class and creates them if necessary. The caller holds mu.
func (s *stats) class(name string) *classStats {
	c := s.classes[name]
	if c == nil {
		c = &classStats{programLatency: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram(), outcomes: make(map[outcome]int)}
		s.classes[name] = c
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// record adds a duration to a histogram. Durations outside the histogram's range count as its nearest limit.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for a value outside the histogram's range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

func (s *stats) recordFirstToken(class string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.class(class).firstToken, d)
}

func (s *stats) recordTokenInterval(class string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.class(class).betweenTokens, d)
}

// countResponse counts a request by the result code of its response, or as lost if it got none.
func (s *stats) countResponse(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var apiErr *api.Error
	switch {
	case err == nil:
		s.codes[api.CodeOK]++
	case errors.As(err, &apiErr):
		s.codes[apiErr.Code]++
	default:
		s.lost++
	}
}

// tryStart counts a program as started and running and returns true. If maximum programs are running, it counts the program
// as not started and returns false.
func (s *stats) tryStart(maximum int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.underway >= maximum {
		s.notStarted++
		return false
	}
	s.started++
	s.underway++
	return true
}

// recordOutcome records the end of a program with its outcome, and its latency if it finished.
func (s *stats) recordOutcome(class string, o outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underway--
	c := s.class(class)
	c.outcomes[o]++
	if o == outcomeFinished {
		record(c.programLatency, latency)
	}
}

// recordFailure stores the error that ended a program. It ignores a nil error and errors beyond the first maxFailures.
func (s *stats) recordFailure(program string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && len(s.failures) < maxFailures {
		s.failures = append(s.failures, program+": "+err.Error())
	}
}

// countLeftover counts a program whose deletion failed.
func (s *stats) countLeftover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftover++
}

// progress is the state of a run, for display.
type progress struct {
	started, underway, refused, unknown, lost int
}

func (s *stats) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := progress{started: s.started, underway: s.underway, lost: s.lost}
	for code, n := range s.codes {
		switch code.Family() {
		case api.FamilyNotRun, api.FamilyOverload, api.FamilyCaller:
			p.refused += n
		case api.FamilyUnknown:
			p.unknown += n
		}
	}
	return p
}
