package sidecar

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// dispatcher queues jobs and runs them on the backend server, at most slots at a time. It is safe for concurrent use.
type dispatcher struct {
	slots     int
	admission *schedule.Admission // Refuses calls that would wait too long; nil accepts all that fit into the queue.
	run       func(*job)          // Called in a goroutine of its own; returns when the job no longer uses the backend server.
	drop      func(*job)          // Called for a job that was refused or evicted from the queue; mu is not held.

	mu           sync.Mutex
	queue        *jobQueue         // Under mu, like all below.
	running      map[*job]struct{} // Jobs that occupy a slot.
	waitingAlone *job              // Job taken from the queue that waits until no other job runs; nil when there is none.
	runningAlone bool              // A job that must run alone is running.
	pausedAt     time.Time         // Time of Pause; zero when not paused.
	callTime     time.Duration     // Moving average of the time that a job occupies a slot.
}

func newDispatcher(slots int, queue *jobQueue, admission *schedule.Admission, run, drop func(*job)) *dispatcher {
	return &dispatcher{
		slots: slots, queue: queue, admission: admission, run: run, drop: drop, running: make(map[*job]struct{}),
	}
}

// Add queues a job. prefillRate is the measured prefill rate in tokens per second; 0 means unknown. A job that would wait
// too long is dropped. If the queue is full, the job with the lowest rank is dropped.
func (d *dispatcher) Add(j *job, prefillRate float64) {
	j.queuedAt = time.Now()
	d.mu.Lock()
	dropped := j
	if d.admits(j, prefillRate) {
		dropped = d.queue.Push(j)
		d.startJobs()
	}
	d.mu.Unlock()
	if dropped != nil {
		d.drop(dropped)
	}
}

// admits reports whether the job's estimated wait is within the limit. The caller holds mu.
func (d *dispatcher) admits(j *job, prefillRate float64) bool {
	if d.admission == nil {
		return true
	}
	capacity := schedule.Capacity{Slots: d.slots, Running: len(d.running), PrefillRate: prefillRate, CallTime: d.callTime}
	wait := d.queue.items.EstimateWait(j.request.Priority, capacity)
	factor := j.request.CostFactor
	if factor <= 0 {
		factor = 1
	}
	return d.admission.AdmitCost(j.request.Priority, j.request.Attained, wait, factor)
}

// Remove removes the job with the given key from the queue and returns it. It returns false when the job is not queued.
func (d *dispatcher) Remove(key string) (*job, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.queue.Remove(key)
	return j, j != nil
}

// Clear removes all waiting jobs and returns them.
func (d *dispatcher) Clear() []*job {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*job
	if d.waitingAlone != nil {
		out = append(out, d.waitingAlone)
		d.waitingAlone = nil
	}
	for j := d.queue.Pop(); j != nil; j = d.queue.Pop() {
		out = append(out, j)
	}
	return out
}

// startJobs starts waiting jobs while slots are free. While a job waits to run alone, no other job starts. The caller
// holds mu.
func (d *dispatcher) startJobs() {
	for !d.runningAlone && d.pausedAt.IsZero() && len(d.running) < d.slots {
		j := d.waitingAlone
		if j == nil {
			j = d.queue.Pop()
		}
		if j == nil {
			return
		}
		if j.alone && len(d.running) > 0 {
			d.waitingAlone = j
			return
		}
		d.waitingAlone = nil
		d.runningAlone = j.alone
		d.running[j] = struct{}{}
		go d.execute(j)
	}
}

// Pause stops the dispatcher from starting jobs until Resume. It is called when a connection broke, because the backend
// server may have crashed.
func (d *dispatcher) Pause(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pausedAt = now
}

// Resume starts jobs again after a probe that was sent at the given time. It has no effect if the probe was sent before
// the pause, because its result does not show the state of the backend server after the connection broke.
func (d *dispatcher) Resume(sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sentAt.Before(d.pausedAt) {
		return
	}
	d.pausedAt = time.Time{}
	d.startJobs()
}

// execute runs a job and then frees its slot.
func (d *dispatcher) execute(j *job) {
	startedAt := time.Now()
	d.run(j)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, j)
	if j.alone {
		d.runningAlone = false
	}
	d.callTime = time.Duration(movingAverage(float64(d.callTime), float64(time.Since(startedAt))))
	d.startJobs()
}

// fillLoad sets the slot and queue counts of load.
func (d *dispatcher) fillLoad(load *api.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load.Slots = d.slots
	load.Running = len(d.running)
	load.Queued = d.queue.items.Len()
	load.QueuedTokens = d.queue.items.Tokens()
	if d.waitingAlone != nil {
		load.Queued++
		load.QueuedTokens += d.waitingAlone.tokens
	}
}
