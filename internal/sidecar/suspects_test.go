package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Executions of one body that break one after another on a dead server are one crash, until the server has answered.
func TestOneDeathIsOneCrash(t *testing.T) {
	is := is.New(t)
	s := newSuspects("engine-1")
	now := time.Now()
	s.Alive(now)
	for range 3 {
		s.Broke("body", now.Add(-time.Second), now)
		s.Refused(now)
	}
	is.Equal(s.Verdict("body"), schedule.RunModeAlone)
	s.Alive(now)
	s.Broke("body", now, now)
	s.Refused(now)
	is.Equal(s.Verdict("body"), schedule.RunModeRefused)
}
