package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * time.Second

// Target is the system under test.
type Target struct {
	Policy  string   // Name of its policy, for the report.
	Entries []string // Callers' addresses, host:port.
	Engines []string // Stand-in engines to ask for wasted cache; empty leaves it out.
}

// Run runs the plan against the target and returns the measurements. Progress goes to out.
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

// runArrivals starts every program at its time and waits until all have ended or the deadline has passed.
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
		if !c.stats.start(plan.Underway) {
			continue
		}
		a := &agent{caller: c, name: fmt.Sprintf("%s-%d-%d-%d", plan.Name, plan.Seed, began.UnixNano(), i)}
		running.Go(func() { a.run(ctx, next.program) })
	}
	running.Wait()
}

// sleepUntil reports whether the time came before ctx ended.
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

// showProgress prints the state of the run until it is stopped.
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
