package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// A prefix counts as shared by the calls of the last second only, and the memory for counts is bounded.
func TestPrefixUse(t *testing.T) {
	is := is.New(t)
	u := schedule.NewPrefixUse(2)
	now := floodEpoch
	for range 30 { // 10 calls a second
		now = now.Add(100 * time.Millisecond)
		u.Record(now, 1)
	}
	is.True(u.Rate(now, 1) >= 9 && u.Rate(now, 1) <= 11)
	u.Record(now, 2)
	u.Record(now, 3)
	is.Equal(u.Rate(now, 3), 0.0) // beyond the bound
	is.Equal(u.Rate(now.Add(3*time.Second), 1), 0.0)
}

// A prefix that is spread over many servers must be found at all of them, and others at no more servers than before.
func TestPrefixIndexKeepsManyServersOfSharedPrefixes(t *testing.T) {
	is := is.New(t)
	x := schedule.NewPrefixIndex(10)
	for i := range 20 {
		x.RecordShared(1, strconv.Itoa(i), 100)
		x.Record(2, strconv.Itoa(i), 100)
	}
	is.Equal(len(x.Lookup(1)), 20)
	is.Equal(len(x.Lookup(2)), 4)
	for range 30 {
		x.Record(1, "0", 100)
	}
	is.True(len(x.Lookup(1)) <= 20)
	for i := range 40 {
		x.Record(1, strconv.Itoa(100+i), 100)
	}
	is.Equal(len(x.Lookup(1)), 4) // no longer shared
}
