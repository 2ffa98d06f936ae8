package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// TestBrokenExecutionsCountAsOneCrash checks that broken executions of one body on a crashed server count as one crash
// until the server has answered a probe.
func TestBrokenExecutionsCountAsOneCrash(t *testing.T) {
	is := is.New(t)
	s := newSuspects("engine-1")
	now := time.Now()
	s.RecordAlive(now)
	for range 3 {
		s.RecordBroken("body", now.Add(-time.Second), now)
		s.RecordRefused(now)
	}
	is.Equal(s.Mode("body"), schedule.RunModeAlone)
	s.RecordAlive(now)
	s.RecordBroken("body", now, now)
	s.RecordRefused(now)
	is.Equal(s.Mode("body"), schedule.RunModeRefused)
}
