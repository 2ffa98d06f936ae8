package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// job is a call that waits for a slot or runs.
type job struct {
	call     *backend.Call
	request  *api.CallRequest // With bodies, which the call does not keep.
	prompt   []api.Message    // Of a model call: the history followed by the new messages.
	baseHash string           // Hash of the history, "" of an empty one.
	tokens   int              // Estimated prompt tokens that the engine has to compute.
	alone    bool
	queued   time.Time
	begun    time.Time // When the job got its slot.
}

// key names the job in the queue. Two attempts of one call may be queued for a moment.
func (j *job) key() string { return engineRequestID(j.call.Request) }

// item returns the job as the queue sees it.
func (j *job) item() schedule.Item {
	return schedule.Item{
		CallID:       j.key(),
		Root:         j.request.Root,
		Priority:     j.request.Priority,
		Attained:     j.request.Attained,
		PromptTokens: j.tokens,
		Enqueued:     j.queued,
	}
}

// jobQueue is a schedule.Queue of jobs. Its holder locks it.
type jobQueue struct {
	order *schedule.Queue
	jobs  map[string]*job // Queued jobs by key.
}

func newJobQueue(settings schedule.QueueSettings) (*jobQueue, error) {
	order, err := schedule.NewQueue(settings)
	if err != nil {
		return nil, err
	}
	return &jobQueue{order: order, jobs: make(map[string]*job)}, nil
}

// Push adds a job. A full queue returns the job that gives way, which may be the new one.
func (q *jobQueue) Push(j *job) *job {
	q.jobs[j.key()] = j
	refused, full := q.order.Push(j.item())
	if !full {
		return nil
	}
	dropped := q.jobs[refused.CallID]
	delete(q.jobs, refused.CallID)
	return dropped
}

// Pop removes the job that runs next, nil when none waits.
func (q *jobQueue) Pop() *job {
	item, ok := q.order.Pop()
	if !ok {
		return nil
	}
	j := q.jobs[item.CallID]
	delete(q.jobs, item.CallID)
	return j
}

// Remove takes a job out; nil when it does not wait.
func (q *jobQueue) Remove(key string) *job {
	if _, ok := q.order.Remove(key); !ok {
		return nil
	}
	j := q.jobs[key]
	delete(q.jobs, key)
	return j
}
