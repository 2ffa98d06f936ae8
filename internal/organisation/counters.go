package organisation

import (
	"strings"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"
)

const (
	// maxLabels bounds the values of the label organisation. Each takes memory, and space in every scrape.
	maxLabels  = 100
	otherLabel = "other"
)

// Counters counts events by organisation. The first maxLabels-1 organisations have labels of their own, the others share otherLabel.
// It is safe for concurrent use.
type Counters struct {
	set  *vm.Set
	name string

	mu      sync.Mutex
	counted map[string]map[string]*vm.Counter // Guarded by mu. By organisation and outcome.
}

// NewCounters returns counters that are exported with the name and the labels organisation and outcome.
func NewCounters(set *vm.Set, name string) *Counters {
	return &Counters{set: set, name: name, counted: make(map[string]map[string]*vm.Counter)}
}

// Inc counts an event. organisation is empty if none is known. outcome must be one of a few constants.
func (c *Counters) Inc(organisation, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byOutcome, known := c.counted[organisation]
	if !known && len(c.counted) >= maxLabels-1 {
		organisation = otherLabel
		byOutcome = c.counted[organisation]
	}
	if byOutcome == nil {
		byOutcome = make(map[string]*vm.Counter)
		c.counted[organisation] = byOutcome
	}
	counter := byOutcome[outcome]
	if counter == nil {
		counter = c.set.GetOrCreateCounter(c.name + `{organisation="` + escape.Replace(organisation) + `",outcome="` + outcome + `"}`)
		byOutcome[outcome] = counter
	}
	counter.Inc()
}

// escape makes a text the value of a label.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
