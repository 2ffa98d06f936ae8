package backend

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Fences keeps the highest fencing number seen of each journal. It is safe for concurrent use.
type Fences struct {
	mu      sync.RWMutex
	highest map[int]uint64 // By journal; under mu. Numbers only rise.
}

// NewFences returns an empty Fences.
func NewFences() *Fences { return &Fences{highest: make(map[int]uint64)} }

// Admit records the fence. It returns an error with api.CodeStaleFence when a higher number was seen.
func (f *Fences) Admit(fence api.Fence) *api.Error {
	if f.Current(fence.Journal) == fence.Number {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.highest[fence.Journal]
	if fence.Number < current {
		return api.Errorf(api.CodeStaleFence, "journal %d is owned under fencing number %d, the request carries %d",
			fence.Journal, current, fence.Number)
	}
	f.highest[fence.Journal] = fence.Number
	return nil
}

// Current returns the highest number seen of the journal, 0 when none was.
func (f *Fences) Current(journal int) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.highest[journal]
}
