package window_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/window"
)

// Guards against values that count for longer or shorter than the window, also after a time without calls, and against times that
// go back.
func TestSumCoversTheWindowOnly(t *testing.T) {
	is := is.New(t)
	s := window.NewSum(time.Second, 10)
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s.Add(at(0), 2)
	s.Add(at(550), 3)
	s.Add(at(520), 1)
	is.Equal(s.Total(at(999)), 6.0)
	is.Equal(s.Total(at(1000)), 4.0)
	s.Add(at(400), 1) // counts as now
	is.Equal(s.Total(at(1499)), 5.0)
	is.Equal(s.Total(at(1999)), 1.0)
	is.Equal(s.Total(at(2000)), 0.0)
	s.Add(at(60_000), 7)
	is.Equal(s.Total(at(60_000)), 7.0)
	is.Equal(s.Total(at(120_000)), 0.0)
}
