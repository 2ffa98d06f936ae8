//go:build measure

package integration

import (
	"fmt"
	"testing"
	"time"
)

// TestMeasureDeployment measures how long it takes from the submission of a deployment until N engines serve it, and how
// many calls the key-value service gets meanwhile, for several N and rates of the weight store.
func TestMeasureDeployment(t *testing.T) {
	for _, m := range []struct{ engines, perSecond int }{{2, 2}, {4, 2}, {8, 2}, {4, 1}, {4, 4}} {
		t.Run(fmt.Sprintf("engines=%d,rate=%d", m.engines, m.perSecond), func(t *testing.T) {
			c, weights := startOrderCluster(t, 2, m.engines, float64(m.perSecond), 500*time.Millisecond)
			c.deployReplicas(60*m.perSecond, nil)
			time.Sleep(2 * time.Second)
			before := c.kvCalls()
			idleStart := time.Now()
			time.Sleep(3 * time.Second)
			idleCalls := c.kvCalls() - before
			idleTime := time.Since(idleStart)
			began := time.Now()
			before = c.kvCalls()
			c.deployReplicas(60*m.perSecond, map[string]int{modelA: m.engines})
			eventually(t, time.Minute, "every engine serves the model", func() bool { return c.enginesServing(modelA) == m.engines })
			took := time.Since(began)
			time.Sleep(time.Second)
			calls := c.kvCalls() - before
			extra := float64(calls) - float64(idleCalls)*time.Since(began).Seconds()/idleTime.Seconds()
			t.Logf("FIGURES engines %d rate %d/s: served after %.2f s; ideal %.2f s; key-value calls per order %.1f; refused reads %d; duplicate loads %d",
				m.engines, m.perSecond, took.Seconds(), float64(m.engines-1)/float64(m.perSecond)+0.5,
				extra/float64(m.engines), c.refusedFetches(weights), c.duplicateLoads())
		})
	}
}

// kvCalls returns how many calls the key-value service has received.
func (c *cluster) kvCalls() int {
	c.t.Helper()
	var stats struct {
		Calls map[string]int `json:"calls"`
	}
	c.requestJSON("GET", c.kvAddress, "/stats", nil, &stats)
	return total(stats.Calls)
}
