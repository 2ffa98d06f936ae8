package schedule

import (
	"testing"

	"github.com/matryer/is"
)

// A body that has run alone without harm is no longer a suspect, also where the crash is heard of again or later.
func TestLoneRunClearsASuspect(t *testing.T) {
	is := is.New(t)
	mine, other := NewSuspectLedger(8, MaxCrashes), NewSuspectLedger(8, MaxCrashes)
	mine.Crash("body", "engine-1/1", testNow)
	other.Crash("body", "engine-1/1", testNow)
	is.Equal(mine.Verdict("body"), VerdictAlone)
	mine.Clear("body")
	is.Equal(mine.Verdict("body"), VerdictRun)
	mine.Merge(other.Records())
	is.Equal(mine.Verdict("body"), VerdictRun)
	other.Merge(mine.Records())
	is.Equal(other.Verdict("body"), VerdictRun)
	other.Crash("body", "engine-2/1", testNow)
	is.Equal(other.Verdict("body"), VerdictAlone)
	other.Crash("body", "engine-3/1", testNow)
	is.Equal(other.Verdict("body"), VerdictRefuse)
}
