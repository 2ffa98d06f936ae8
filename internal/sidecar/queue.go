package sidecar

import (
	"sort"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
)

// job is a call that waits for a slot or runs.
type job struct {
	call     *backend.Call
	request  *api.CallRequest // With bodies, which the call does not keep.
	prompt   []api.Message    // Of a model call: the history followed by the new messages.
	baseHash string           // Hash of the history, "" of an empty one.
	tokens   int              // Estimated prompt tokens.
	alone    bool
	queued   time.Time
}

// queue orders waiting jobs. It is used under the dispatcher's lock.
type queue interface {
	// Push adds a job. A full queue returns the job that gives way, which may be the new one.
	Push(j *job) *job
	// Pop removes the job to run next, nil when none waits.
	Pop(now time.Time) *job
	// Len returns the number of waiting jobs.
	Len() int
}

// rankedQueue runs the highest priority first and, within one priority, the least attained service.
type rankedQueue struct {
	limit int
	jobs  []*job // Best first.
}

// Push implements queue.
func (q *rankedQueue) Push(j *job) *job {
	at := sort.Search(len(q.jobs), func(i int) bool { return before(j, q.jobs[i]) })
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
	if len(q.jobs) <= q.limit {
		return nil
	}
	last := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// Pop implements queue.
func (q *rankedQueue) Pop(time.Time) *job {
	if len(q.jobs) == 0 {
		return nil
	}
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	return j
}

// Len implements queue.
func (q *rankedQueue) Len() int { return len(q.jobs) }

func before(a, b *job) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.request.Attained < b.request.Attained
}
