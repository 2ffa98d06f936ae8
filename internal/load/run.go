package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// progressInterval is the interval between two lines of progress output.
const progressInterval = 2 * time.Second

// Target is the system under test.
type Target struct {
	Policy  string   // Name of its routing policy, for the report.
	Entries []string // Addresses of the entries' caller ports, host:port.
	Engines []string // Addresses of stand-in engines to query for wasted cache memory; if empty, it is not reported.
}

// Run runs the plan against the target and returns the measurements. It writes progress to out.
func Run(ctx context.Context, plan *Plan, target Target, out io.Writer) (*Report, error) {
	if len(target.Entries) == 0 {
		return nil, fmt.Errorf("load plan %q: no entry address is given", plan.Name)
	}
	arrivals, err := plan.arrivals()
	if err != nil {
		return nil, err
	}
	before, err := readWaste(ctx, target.Engines)
	if err != nil {
		return nil, err
	}
	stats := newStats()
	began := time.Now()
	runArrivals(ctx, plan, newCaller(plan, target.Entries, stats), arrivals, out)
	elapsed := time.Since(began)
	after, err := readWaste(context.WithoutCancel(ctx), target.Engines)
	if err != nil {
		return nil, err
	}
	return newReport(plan, target.Policy, stats, after.since(before), elapsed), nil
}

// runArrivals starts every program at its time and waits until all have ended. The deadline of the plan cancels programs
// that are still running.
func runArrivals(ctx context.Context, plan *Plan, c *caller, arrivals []arrival, out io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, plan.Deadline)
	defer cancel()
	stopProgress := showProgress(c.stats, out)
	defer stopProgress()
	began := time.Now()
	var running sync.WaitGroup
	for i, next := range arrivals {
		if !sleepUntil(ctx, began.Add(next.at)) {
			break
		}
		if !c.stats.tryStart(plan.Underway) {
			continue
		}
		a := &agent{caller: c, name: fmt.Sprintf("%s-%d-%d-%d", plan.Name, plan.Seed, began.UnixNano(), i)}
		running.Go(func() { a.run(ctx, next.program) })
	}
	running.Wait()
}

// sleepUntil waits until the given time. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// showProgress writes the state of the run to out at regular intervals until stop is called.
func showProgress(s *stats, out io.Writer) (stop func()) {
	done := make(chan struct{})
	var printer sync.WaitGroup
	printer.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for began := time.Now(); ; {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				p := s.progress()
				fmt.Fprintf(out, "%4.0fs  started %d  under way %d  refusals %d  unknown %d  lost %d\n",
					now.Sub(began).Seconds(), p.started, p.underway, p.refused, p.unknown, p.lost)
			}
		}
	})
	return func() {
		close(done)
		printer.Wait()
	}
}
