package sidecar

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// dispatcher hands queued jobs to the backend server, at most slots at a time. It is safe for concurrent use.
type dispatcher struct {
	slots     int
	admission *schedule.Admission // Refuses calls that would wait too long; nil takes all that fit into the queue.
	run       func(*job)          // Called in a goroutine of its own; returns when the job has left the backend server.
	drop      func(*job)          // Called for a job that was refused or gave way to others.

	mu       sync.Mutex
	queue    *jobQueue         // Under mu, as all below.
	running  map[*job]struct{} // Jobs that occupy a slot.
	next     *job              // A job popped that waits to run alone.
	alone    bool              // A job runs alone.
	paused   time.Time         // When a connection broke: the backend server may be dead. Zero after a later probe.
	callTime time.Duration     // Measured time that a job occupies a slot.
}

func newDispatcher(slots int, q *jobQueue, admission *schedule.Admission, run, drop func(*job)) *dispatcher {
	return &dispatcher{
		slots: slots, queue: q, admission: admission, run: run, drop: drop, running: make(map[*job]struct{}),
	}
}

// Add queues a job. prefillRate is the measured rate in tokens per second. A job that would wait too long is dropped at
// once; when the queue is full, the job of the lowest rank is.
func (d *dispatcher) Add(j *job, prefillRate float64) {
	j.queued = time.Now()
	d.mu.Lock()
	dropped := j
	if d.admits(j, prefillRate) {
		dropped = d.queue.Push(j)
		d.pump()
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
	wait := d.queue.order.EstimateWait(j.request.Priority, capacity)
	factor := j.request.CostFactor
	if factor <= 0 {
		factor = 1
	}
	return d.admission.AdmitCost(j.request.Priority, j.request.Attained, wait, factor)
}

// Remove takes out a job that waits; false means that it does not.
func (d *dispatcher) Remove(key string) (*job, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.queue.Remove(key)
	return j, j != nil
}

// Clear takes out all jobs that wait.
func (d *dispatcher) Clear() []*job {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*job
	if d.next != nil {
		out = append(out, d.next)
		d.next = nil
	}
	for j := d.queue.Pop(); j != nil; j = d.queue.Pop() {
		out = append(out, j)
	}
	return out
}

// pump starts jobs while slots are free. The caller holds mu.
func (d *dispatcher) pump() {
	for !d.alone && d.paused.IsZero() && len(d.running) < d.slots {
		j := d.next
		if j == nil {
			j = d.queue.Pop()
		}
		if j == nil {
			return
		}
		if j.alone && len(d.running) > 0 {
			d.next = j
			return
		}
		d.next = nil
		d.alone = j.alone
		d.running[j] = struct{}{}
		go d.execute(j)
	}
}

// Pause starts no job until Resume.
func (d *dispatcher) Pause(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = now
}

// Resume starts jobs again after a probe that was sent at the given time. One sent before the pause tells nothing.
func (d *dispatcher) Resume(asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asked.Before(d.paused) {
		return
	}
	d.paused = time.Time{}
	d.pump()
}

// execute runs a job and frees its slot.
func (d *dispatcher) execute(j *job) {
	begun := time.Now()
	d.run(j)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, j)
	if j.alone {
		d.alone = false
	}
	d.callTime = time.Duration(blend(float64(d.callTime), float64(time.Since(begun))))
	d.pump()
}

// fill writes the live counts into load.
func (d *dispatcher) fill(load *api.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load.Slots = d.slots
	load.Running = len(d.running)
	load.Queued = d.queue.order.Len()
	load.QueuedTokens = d.queue.order.Tokens()
	if d.next != nil {
		load.Queued++
		load.QueuedTokens += d.next.tokens
	}
}
