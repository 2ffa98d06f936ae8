package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// job is a call that waits for a slot or occupies one.
type job struct {
	call        *backend.Call
	request     *api.CallRequest // Complete request; call.Request has no bodies.
	prompt      []api.Message    // For a model call: the history followed by the new messages.
	historyHash string           // Hash of the history; "" when it is empty.
	tokens      int              // Estimated prompt tokens that are not cached on the engine.
	alone       bool             // Runs only while no other job runs.
	queuedAt    time.Time
	startedAt   time.Time // When the job began to run on the backend server.
}

// key identifies the job in the queue. It includes the attempt, because two attempts of a call may be queued at a time.
func (j *job) key() string { return engineRequestID(j.call.Request) }

// item returns the job as an item of schedule.Queue.
func (j *job) item() schedule.Item {
	return schedule.Item{
		CallID:       j.key(),
		Root:         j.request.Root,
		Priority:     j.request.Priority,
		Attained:     j.request.Attained,
		PromptTokens: j.tokens,
		Enqueued:     j.queuedAt,
	}
}

// jobQueue is a schedule.Queue of jobs. It is not safe for concurrent use.
type jobQueue struct {
	items *schedule.Queue
	jobs  map[string]*job // Queued jobs by key.
}

func newJobQueue(settings schedule.QueueSettings) (*jobQueue, error) {
	items, err := schedule.NewQueue(settings)
	if err != nil {
		return nil, err
	}
	return &jobQueue{items: items, jobs: make(map[string]*job)}, nil
}

// Push adds a job. If the queue is full, it evicts and returns the job with the lowest rank, which may be the new one.
func (q *jobQueue) Push(j *job) *job {
	q.jobs[j.key()] = j
	refused, full := q.items.Push(j.item())
	if !full {
		return nil
	}
	dropped := q.jobs[refused.CallID]
	delete(q.jobs, refused.CallID)
	return dropped
}

// Pop removes and returns the job that runs next, or nil when the queue is empty.
func (q *jobQueue) Pop() *job {
	item, ok := q.items.Pop()
	if !ok {
		return nil
	}
	j := q.jobs[item.CallID]
	delete(q.jobs, item.CallID)
	return j
}

// Remove removes and returns the job with the given key, or returns nil when it is not queued.
func (q *jobQueue) Remove(key string) *job {
	if _, ok := q.items.Remove(key); !ok {
		return nil
	}
	j := q.jobs[key]
	delete(q.jobs, key)
	return j
}
