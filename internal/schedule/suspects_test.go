package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunAloneClearsSuspect checks that a body that has run alone without a crash is no longer suspected, also in ledgers
// to which the earlier crash is reported again or only later.
func TestRunAloneClearsSuspect(t *testing.T) {
	is := is.New(t)
	mine, other := NewSuspectLedger(8, MaxCrashes), NewSuspectLedger(8, MaxCrashes)
	mine.Crash("body", "engine-1/1", testNow)
	other.Crash("body", "engine-1/1", testNow)
	is.Equal(mine.Mode("body"), RunModeAlone)
	mine.Clear("body")
	is.Equal(mine.Mode("body"), RunModeNormal)
	mine.Merge(other.Records())
	is.Equal(mine.Mode("body"), RunModeNormal)
	other.Merge(mine.Records())
	is.Equal(other.Mode("body"), RunModeNormal)
	other.Crash("body", "engine-2/1", testNow)
	is.Equal(other.Mode("body"), RunModeAlone)
	other.Crash("body", "engine-3/1", testNow)
	is.Equal(other.Mode("body"), RunModeRefused)
}

// Guards against refused bodies that are forgotten because a server has ended under many other calls.
func TestRefusedBodyOutlastsABurstOfSingleCrashes(t *testing.T) {
	is := is.New(t)
	l := NewSuspectLedger(8, 3)
	for _, crash := range []string{"engine-1/1", "engine-2/1", "engine-3/1"} {
		l.Crash("body", crash, testNow)
	}
	for i := range 20 {
		l.Crash(fmt.Sprint("other-", i), "engine-4/1", testNow.Add(time.Second))
	}
	is.Equal(l.Mode("body"), RunModeRefused)
	is.Equal(l.Len(), 8)
}
