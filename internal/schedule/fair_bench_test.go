package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// BenchmarkRefuseLate measures what a call costs the hub that arrives at an engine with 100 waiting calls of 80 organisations, one
// of which floods, while the last of them is about to give up.
func BenchmarkRefuseLate(b *testing.B) {
	shares := &schedule.FairShares{}
	rates := make(map[string]float64)
	for i := range 80 {
		rates[strconv.Itoa(i)] = 0
	}
	shares.Configure(rates)
	q := schedule.NewFairQueue[int](shares)
	for i := range 100 {
		name := "0"
		if i%2 == 0 {
			name = strconv.Itoa(i % 80)
		}
		q.Push(newProgram(name, i), 1000, floodEpoch.Add(time.Duration(500+15*i)*time.Millisecond), i)
	}
	b.ReportAllocs()
	for b.Loop() {
		w := q.Push(newProgram("1", 200), 1000, floodEpoch.Add(2*time.Second), 200)
		q.RefuseLate(floodEpoch, w, func(ahead, _ int) time.Duration { return time.Duration(ahead) * 10 * time.Millisecond })
		q.Remove(floodEpoch, w)
	}
}
