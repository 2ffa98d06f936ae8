package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// Guards against a stream that is cut although its caller would still wait for the next event.
func TestStalledStreamIsEndedOnlyAfterItsCallerHasLeft(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ objective, gap, callerLeaves time.Duration }{
		{250 * time.Millisecond, 150 * time.Millisecond, 2 * time.Second},
		{250 * time.Millisecond, 300 * time.Millisecond, 2400 * time.Millisecond},
		{time.Second, 300 * time.Millisecond, 4 * time.Second},
	} {
		route := &fleet.Route{Objective: c.objective, GapLimit: c.gap}
		is.True(maxEventPause(route) > c.callerLeaves)
		is.True(maxEventPause(route) < 2*c.callerLeaves)
	}
}
