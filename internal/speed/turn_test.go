package speed_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/speed"
)

// Guards against engines whose speed is learned from turns that waited for a slot, or were too short to tell.
func TestTimesPerTokenOfTurn(t *testing.T) {
	is := is.New(t)
	long := speed.TurnTimes{FirstMS: 120, OutputMS: 200, Tokens: 20, Stride: 2, Pending: 800, Ahead: 200, Load: 0.5}
	waited, cached, short, resumed, quick := long, long, long, long, long
	waited.Load, cached.Pending, short.Tokens, resumed.FirstMS, quick.FirstMS = 1, 799, 3, 0, 10
	for _, test := range []struct {
		times           speed.TurnTimes
		output, prefill float64
	}{{long, 10, 0.1}, {waited, 10, 0}, {cached, 10, 0}, {short, 0, 0}, {resumed, 10, 0}, {quick, 10, 0.001}} {
		output, prefill := test.times.PerToken()
		is.Equal(output, test.output)
		is.Equal(prefill, test.prefill)
	}
}
