package orders

import (
	"fmt"
	"testing"
)

// BenchmarkPlan measures one plan for a fleet that needs no orders, with 31 models in 16 failure domains.
func BenchmarkPlan(b *testing.B) {
	var domains []string
	for i := range 16 {
		domains = append(domains, fmt.Sprintf("d%02d", i))
	}
	for _, engines := range []int{825, 1650, 3300, 6600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newTestFleet(engines, domains)
			for i := range 31 {
				name := fmt.Sprintf("m%02d", i)
				f.targets[name] = deployment(name, "", engines/31/16, domains...)
			}
			for i, e := range f.engines {
				e.Serving.Model = fmt.Sprintf("m%02d", i/16%31)
			}
			in := f.input()
			f.planner.Plan(in)
			b.ReportAllocs()
			for b.Loop() {
				if orders := f.planner.Plan(in); len(orders) > 0 {
					b.Fatalf("orders for a fleet that needs none: %+v", orders)
				}
			}
		})
	}
}
