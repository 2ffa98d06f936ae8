package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryMB       = 134 // limits.memory_mb of the settings.
	restartDelay   = 500 * time.Millisecond
	memoryInterval = 5 * time.Millisecond
)

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("statm has too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// memoryLimiter does what the platform does with a process that uses more memory than it may: it kills the process, and starts it
// again after a short delay.
type memoryLimiter struct {
	s    *scene
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	kills map[string]int // Guarded by mu. By gateway.
	peak  int64          // Guarded by mu. The most that any gateway used.
}

// watch enforces the limit for a gateway until stop is closed.
func (m *memoryLimiter) watch(g *gateway) {
	defer m.done.Done()
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(memoryInterval):
		}
		used, err := residentBytes(g.cmd.Process.Pid)
		if err != nil {
			continue
		}
		m.mu.Lock()
		m.peak = max(m.peak, used)
		m.mu.Unlock()
		if used <= memoryMB<<20 {
			continue
		}
		m.s.record.add("platform", "process uses more memory than it may", "machine", g.name, "mb", used>>20, "limit_mb", memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.ended
		m.mu.Lock()
		m.kills[g.name]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			m.s.record.add("platform", "gateway not started", "machine", g.name, "error", err)
			return
		}
	}
}

// playMemory sends turns with long inputs through five gateways at the rate of the sheet, in groups, as when many users come at once.
func playMemory(s *scene) error {
	const (
		rounds     = 18
		perRound   = 45              // Turns at once.
		roundEvery = 4 * time.Second // So 11 turns a second; the sheet has 20.
		longInput  = 900 << 10       // max_body_bytes is 4 MiB.
		usualInput = 5100            // Of the sheet.
		endsOfOne  = 3               // Ends of one machine's process,
		machines   = 2               // and such machines, that are a fault.
	)
	s.putConfig(7, route("turns", "stream", "llm", 1, map[string]any{
		"stateful": true, "retain_s": 60.0, "sticky": true, "gap_target_ms": 250,
	}))
	for i := range 12 {
		if _, err := newWorker(s.record, s.store, fmt.Sprintf("i-%d", i+1), "llm", "v1", 10, 30*time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.startGateways(5); err != nil {
		return err
	}
	limiter := &memoryLimiter{s: s, stop: make(chan struct{}), kills: make(map[string]int)}
	for _, g := range s.gateways {
		limiter.done.Add(1)
		go limiter.watch(g)
	}
	input := usualInput
	if s.trouble {
		input = longInput
	}
	body := strings.Repeat("x", input)
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for range rounds {
		next := time.Now().Add(roundEvery)
		var group sync.WaitGroup
		for i := range perRound {
			mu.Lock()
			c := call{ID: newID(), Path: "/turns/4b", Body: body, MaxOutput: 50}
			mu.Unlock()
			c.Program = "p" + c.ID
			group.Go(func() {
				a := send(s.record, s.gateways[i%len(s.gateways)].callers, c, nil)
				mu.Lock()
				defer mu.Unlock()
				outcomes[fmt.Sprintf("status %d, whole %t", a.Status, a.Complete)]++
			})
		}
		group.Wait()
		time.Sleep(time.Until(next))
	}
	close(limiter.stop)
	limiter.done.Wait()
	affected := 0
	for _, n := range limiter.kills {
		if n >= endsOfOne {
			affected++
		}
	}
	s.record.add("case", "ends by memory", "by_machine", fmt.Sprint(limiter.kills), "peak_mb", limiter.peak>>20, "outcomes", fmt.Sprint(outcomes))
	fmt.Println("ends", limiter.kills, "peak MB", limiter.peak>>20, outcomes)
	if affected >= machines {
		return fmt.Errorf("%w: the processes of %d machines used more than %d MB and ended %d times or more", errBroken, affected, memoryMB, endsOfOne)
	}
	return nil
}
