package sidecar

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// dispatcher hands queued jobs to the backend server, at most slots at a time. It is safe for concurrent use.
type dispatcher struct {
	slots int
	run   func(*job) // Called in a goroutine of its own; returns when the job has left the backend server.
	drop  func(*job) // Called for a job that gives way to others.

	mu      sync.Mutex
	queue   queue             // Under mu, as all below.
	running map[*job]struct{} // Jobs that occupy a slot.
	next    *job              // A job popped that waits to run alone.
	alone   bool              // A job runs alone.
	tokens  int               // Prompt tokens of queued jobs.
}

func newDispatcher(slots int, q queue, run, drop func(*job)) *dispatcher {
	return &dispatcher{slots: slots, queue: q, run: run, drop: drop, running: make(map[*job]struct{})}
}

// Add queues a job. When the queue is full, the job of the lowest rank is dropped.
func (d *dispatcher) Add(j *job) {
	j.queued = time.Now()
	d.mu.Lock()
	dropped := d.queue.Push(j)
	d.tokens += j.tokens
	if dropped != nil {
		d.tokens -= dropped.tokens
	}
	d.pump()
	d.mu.Unlock()
	if dropped != nil {
		d.drop(dropped)
	}
}

// pump starts jobs while slots are free. The caller holds mu.
func (d *dispatcher) pump() {
	for !d.alone && len(d.running) < d.slots {
		j := d.next
		if j == nil {
			j = d.queue.Pop(time.Now())
		}
		if j == nil {
			return
		}
		if j.alone && len(d.running) > 0 {
			d.next = j
			return
		}
		d.next = nil
		d.tokens -= j.tokens
		d.alone = j.alone
		d.running[j] = struct{}{}
		go d.execute(j)
	}
}

// execute runs a job and frees its slot.
func (d *dispatcher) execute(j *job) {
	d.run(j)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, j)
	if j.alone {
		d.alone = false
	}
	d.pump()
}

// fill writes the live counts into load.
func (d *dispatcher) fill(load *api.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load.Slots = d.slots
	load.Running = len(d.running)
	load.Queued = d.queue.Len()
	if d.next != nil {
		load.Queued++
	}
	load.QueuedTokens = d.tokens
}
