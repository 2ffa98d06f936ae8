package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	highestRecorded = int64(24 * time.Hour / time.Microsecond)
	recordedDigits  = 3
)

// stats collects what a run measures. It is safe for concurrent use: mu guards every field below it.
type stats struct {
	mu         sync.Mutex
	classes    map[string]*classStats
	codes      map[api.Code]int
	lost       int // Requests whose connection broke or whose stream was cut off.
	started    int
	underway   int
	notStarted int
	leftover   int      // Programs that could not be deleted.
	failures   []string // The first few errors that ended programs.
}

const maxFailures = 8

// classStats holds the measurements of one class, in microseconds.
type classStats struct {
	program  *hdrhistogram.Histogram // Of finished programs.
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	outcomes map[outcome]int
}

func newStats() *stats {
	return &stats{classes: make(map[string]*classStats), codes: make(map[api.Code]int)}
}

// class returns the measurements of a class. The caller holds mu.
func (s *stats) class(name string) *classStats {
	c := s.classes[name]
	if c == nil {
		c = &classStats{program: newHistogram(), first: newHistogram(), between: newHistogram(), outcomes: make(map[outcome]int)}
		s.classes[name] = c
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestRecorded, recordedDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestRecorded))
}

func (s *stats) firstToken(class string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.class(class).first, d)
}

func (s *stats) betweenTokens(class string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.class(class).between, d)
}

// answer counts the answer to one request by its code.
func (s *stats) answer(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answered *api.Error
	switch {
	case err == nil:
		s.codes[api.CodeOK]++
	case errors.As(err, &answered):
		s.codes[answered.Code]++
	default:
		s.lost++
	}
}

// start counts a program as under way, unless maximum are.
func (s *stats) start(maximum int) bool {
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

// ended counts a program's outcome.
func (s *stats) ended(class string, o outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underway--
	c := s.class(class)
	c.outcomes[o]++
	if o == outcomeFinished {
		record(c.program, latency)
	}
}

// failed keeps the error that ended a program.
func (s *stats) failed(program string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && len(s.failures) < maxFailures {
		s.failures = append(s.failures, program+": "+err.Error())
	}
}

func (s *stats) notEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftover++
}

// progress is the state of a run for its display.
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
