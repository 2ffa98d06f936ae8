package orders

import (
	"fmt"
	"testing"
)

// BenchmarkPlan measures one plan of a fleet at rest, with 31 models in 16 failure domains.
func BenchmarkPlan(b *testing.B) {
	var domains []string
	for i := range 16 {
		domains = append(domains, fmt.Sprintf("d%02d", i))
	}
	for _, engines := range []int{825, 1650, 3300, 6600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newWorld(engines, domains)
			for i := range 31 {
				name := fmt.Sprintf("m%02d", i)
				w.targets[name] = deployment(name, "", engines/31/16, domains...)
			}
			for i, e := range w.engines {
				e.Serving.Model = fmt.Sprintf("m%02d", i/16%31)
			}
			in := w.input()
			w.planner.Plan(in)
			b.ReportAllocs()
			for b.Loop() {
				if orders := w.planner.Plan(in); len(orders) > 0 {
					b.Fatalf("orders at rest: %+v", orders)
				}
			}
		})
	}
}
