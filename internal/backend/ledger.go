// Package backend keeps the state that a sidecar holds about its backend server: the calls it was asked to run with
// their buffered events, the highest fencing number of each journal, and the leases on prompt prefixes that a model
// engine caches for programs.
package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	ledgerShards      = 16  // Each shard has its own lock.
	callOverheadBytes = 512 // Estimated memory of a call and its record apart from events and ResumeText.
)

// Limits bounds the size of a Ledger and the retention of its calls.
type Limits struct {
	Calls         int           // Maximum number of records; Start refuses further calls.
	Bytes         int64         // Maximum memory of ended calls, in bytes; enforced by Sweep.
	Idempotent    time.Duration // Maximum retention of ended idempotent calls.
	NonIdempotent time.Duration // Minimum retention of non-idempotent calls and of rejected attempts.
}

// Ledger records every call by its CallID, so that a repeated request joins the existing execution instead of starting
// another. It is safe for concurrent use.
//
// Invariant: at most one attempt of a non-idempotent CallID ever begins, unless every attempt that ended before it ended
// with a result code that proves that it did not run.
type Ledger struct {
	limits Limits
	shards [ledgerShards]shard
	bytes  atomic.Int64 // Memory of ended calls, in bytes.
	count  atomic.Int64 // Number of records.

	lowestFencesMu sync.Mutex
	lowestFences   map[int]uint64 // By journal, a lower bound on the fencing numbers of its calls; under lowestFencesMu.
}

// shard holds the records whose CallID hashes to it. Lock order: a shard's lock is taken before a call's.
type shard struct {
	mu      sync.Mutex
	records map[string]*record // Under mu.
	ended   []endedCall        // Oldest first; under mu.
}

// record is the state of one CallID.
type record struct {
	call         *Call     // Latest execution; nil when there was none or it has been removed.
	rejectedUpTo int       // Attempts up to this one never start, except one that call already executes.
	hasRejection bool      // rejectedUpTo is set.
	updatedAt    time.Time // Time of the latest Start, Settle or RejectUpTo that changed the record.
}

// endedCall is an entry of a shard's retention list.
type endedCall struct {
	id      string
	call    *Call // nil for a rejection of attempts by Settle or RejectUpTo.
	size    int64 // Memory of the call, in bytes; 0 for a rejection of attempts.
	endedAt time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{limits: limits, lowestFences: make(map[int]uint64)}
	for i := range l.shards {
		l.shards[i].records = make(map[string]*record)
	}
	return l
}

// shard returns the shard of the CallID.
func (l *Ledger) shard(id string) *shard {
	return &l.shards[xxhash.Sum64String(id)%ledgerShards]
}

// StartResult is the result of Ledger.Start.
type StartResult struct {
	Call       *Call
	New        bool  // Call is a new execution, which the caller must queue.
	Superseded *Call // Unfinished execution of an idempotent call that Call replaces; nil when there is none.
}

// Start returns the execution that serves the request: an existing one that the request joins, or a new one. admit,
// unless nil, is called before a new execution is created and may refuse it. The code of an error proves that the request
// did not run.
func (l *Ledger) Start(req *api.CallRequest, admit func() *api.Error) (StartResult, *api.Error) {
	s := l.shard(req.CallID)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[req.CallID]
	if rec != nil && rec.call != nil {
		join, err := rec.shouldJoin(req)
		if err != nil {
			return StartResult{}, err
		}
		if join {
			rec.call.RaiseFence(req.Fence.Number)
			return StartResult{Call: rec.call}, nil
		}
	}
	if rec != nil && rec.hasRejection && req.Attempt <= rec.rejectedUpTo {
		return StartResult{}, api.Errorf(api.CodeCancelled, "attempt %d of call %s was settled as never started", req.Attempt, req.CallID)
	}
	if admit != nil {
		if err := admit(); err != nil {
			return StartResult{}, err
		}
	}
	if rec == nil {
		if l.count.Load() >= int64(l.limits.Calls) {
			return StartResult{}, api.Errorf(api.CodeOverloaded, "the sidecar's call ledger is full: it holds %d calls", l.limits.Calls)
		}
		rec = &record{}
		s.records[req.CallID] = rec
		l.count.Add(1)
	}
	started := StartResult{Call: newCall(req), New: true}
	if rec.call != nil {
		if state, _ := rec.call.State(); state != Ended {
			started.Superseded = rec.call
		}
	}
	rec.call, rec.updatedAt = started.Call, time.Now()
	l.recordFence(req.Fence.Journal, req.Fence.Number)
	return started, nil
}

// shouldJoin returns true when the request joins the record's call, and false when it may start a new one. A later
// attempt of a non-idempotent call that may have run joins it, so that the call does not run twice. shouldJoin returns
// an error for an attempt of a non-idempotent call that a later one has replaced.
func (r *record) shouldJoin(req *api.CallRequest) (bool, *api.Error) {
	existing := r.call.Request
	state, code := r.call.State()
	if existing.Idempotent && req.Idempotent {
		return shouldJoinIdempotent(req.Attempt, existing.Attempt, state, code), nil
	}
	if req.Attempt < existing.Attempt {
		return false, api.Errorf(api.CodeCancelled, "attempt %d of call %s was replaced by attempt %d",
			req.Attempt, req.CallID, existing.Attempt)
	}
	notRun := state == Ended && code.SafeToResend()
	return req.Attempt == existing.Attempt || !notRun, nil
}

// shouldJoinIdempotent is shouldJoin for idempotent calls. An attempt number below that of the existing execution comes
// from a new request of the caller: it can use an answer that exists or is still being produced, but an error does not
// prevent a new execution.
func shouldJoinIdempotent(requested, existing int, state State, code api.Code) bool {
	switch {
	case requested > existing:
		return false
	case state != Ended:
		return true
	case requested == existing:
		return !code.SafeToResend()
	default:
		return code.Family() == api.FamilyRan
	}
}

// Find returns the latest execution of the call, or nil when there is none.
func (l *Ledger) Find(id string) *Call {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec := s.records[id]; rec != nil {
		return rec.call
	}
	return nil
}

// Settle returns the state of the attempt. fence is the fencing number of the caller; the call's own number is raised
// to it if it is lower. An attempt that never started is rejected from then on, so that it cannot start after the
// caller has been informed that it never started.
func (l *Ledger) Settle(id string, attempt int, fence uint64) api.SettleState {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[id]
	if rec != nil && rec.call != nil && rec.coversAttempt(attempt) {
		rec.call.RaiseFence(fence)
		if state, _ := rec.call.State(); state == Ended {
			return api.SettleFinished
		}
		return api.SettleRunning
	}
	l.rejectUpTo(s, id, attempt)
	return api.SettleNever
}

// coversAttempt reports whether the state of the record's call is also the state of the given attempt. That holds when
// the call executes that attempt or a later one. It also holds for an earlier attempt of a non-idempotent call that may
// have run, because no later attempt may start after it.
func (r *record) coversAttempt(attempt int) bool {
	if r.call.Request.Attempt >= attempt {
		return true
	}
	state, code := r.call.State()
	return !r.call.Request.Idempotent && !(state == Ended && code.SafeToResend())
}

// RejectUpTo makes Start refuse all attempts of the call up to the given one, except one that already executes.
func (l *Ledger) RejectUpTo(id string, attempt int) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.rejectUpTo(s, id, attempt)
}

// rejectUpTo implements RejectUpTo. The caller holds the shard's lock.
func (l *Ledger) rejectUpTo(s *shard, id string, attempt int) {
	rec := s.records[id]
	if rec == nil {
		rec = &record{}
		s.records[id] = rec
		l.count.Add(1)
	}
	now := time.Now()
	if !rec.hasRejection || rec.rejectedUpTo < attempt {
		rec.hasRejection, rec.rejectedUpTo = true, attempt
	}
	rec.updatedAt = now
	s.ended = append(s.ended, endedCall{id: id, endedAt: now})
}

// AddEnded adds a call that has ended to the retention list, so that Sweep can remove it and its memory counts toward
// Limits.Bytes.
func (l *Ledger) AddEnded(c *Call) {
	size := c.size()
	s := l.shard(c.Request.CallID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, endedCall{id: c.Request.CallID, call: c, size: size, endedAt: time.Now()})
	l.bytes.Add(size)
}
