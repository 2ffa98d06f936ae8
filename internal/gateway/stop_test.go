package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls that begin so late in a planned stop that they are cut, and against refusals while callers know no other gateway.
func TestPlannedStopAdmitsCallsThatEndInTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stop := &plannedStop{deregistered: now.Add(2 * time.Second), end: now.Add(7 * time.Second)}
	is.True(stop.admits(now, now.Add(time.Hour)))
	is.True(stop.admits(now.Add(3*time.Second), now.Add(7*time.Second)))
	is.True(!stop.admits(now.Add(3*time.Second), now.Add(7*time.Second+1)))
	is.True(!stop.admits(now.Add(8*time.Second), now.Add(8*time.Second)))
	is.True((*plannedStop)(nil).admits(now, now.Add(time.Hour)))
}

// Guards against requests that cross the end of their connection, because a stop ends connections that are in use.
func TestPlannedStopKeepsConnectionsInUseUntilCallersKnowOtherGateways(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stop := &plannedStop{deregistered: now.Add(2 * time.Second), end: now.Add(7 * time.Second)}
	is.Equal(stop.retirableAfter(now), idleBeforeRetire)
	is.Equal(stop.retirableAfter(now.Add(2*time.Second)), time.Duration(0))
}
