package backend

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Fences holds the highest fencing number seen for each journal. It is safe for concurrent use.
type Fences struct {
	mu      sync.RWMutex
	highest map[int]uint64 // By journal; under mu. Numbers only increase.
}

// NewFences returns a Fences that has seen no numbers.
func NewFences() *Fences { return &Fences{highest: make(map[int]uint64)} }

// Admit records the fence's number. It returns an error with api.CodeStaleFence when a higher number has been seen for
// the journal.
func (f *Fences) Admit(fence api.Fence) *api.Error {
	if f.Current(fence.Journal) == fence.Number {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.highest[fence.Journal]
	if fence.Number < current {
		return api.Errorf(api.CodeStaleFence, "journal %d is owned under fencing number %d, but the request has %d",
			fence.Journal, current, fence.Number)
	}
	f.highest[fence.Journal] = fence.Number
	return nil
}

// Current returns the highest number seen for the journal, or 0 when none has been seen.
func (f *Fences) Current(journal int) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.highest[journal]
}
