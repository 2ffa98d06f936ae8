package entry

import (
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// maxCostClasses is how many classes an entry keeps the usual cost of.
const maxCostClasses = 256

// classCosts is what ended programs of each class had used, so that overload refuses those first whose refusal saves
// most.
type classCosts struct {
	mu    sync.Mutex // Guards costs.
	costs *schedule.ClassCosts
}

func newClassCosts() *classCosts {
	return &classCosts{costs: schedule.NewClassCosts(maxCostClasses)}
}

// observe records the tokens that an ended program and its sub-agents had used.
func (c *classCosts) observe(class string, priority, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.costs.Observe(class, priority, uint64(tokens))
}

// factor returns the usual cost of the class's programs as a multiple of others of the same priority.
func (c *classCosts) factor(class string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.costs.Factor(class)
}
