// Package backend is the aggregate of one backend server as its sidecar sees it: the calls it was asked to run, the
// fencing numbers, the cached prefixes held for programs, and the end of its service.
package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	ledgerShards      = 16
	callOverheadBytes = 512
)

// Limits bounds what a Ledger remembers.
type Limits struct {
	Calls         int           // Records of calls.
	Bytes         int64         // Events of ended calls.
	Idempotent    time.Duration // How long ended idempotent calls are kept at most.
	NonIdempotent time.Duration // How long non-idempotent and refused calls are kept at least.
}

// Ledger remembers every call by its CallID, so that a call asked for again is joined instead of executed again. It is
// safe for concurrent use.
//
// Invariant: of a non-idempotent CallID at most one attempt ever begins, unless every attempt that ended before it ended
// in a result code that proves that it did not run.
type Ledger struct {
	limits Limits
	shards [ledgerShards]shard
	bytes  atomic.Int64 // Of ended calls.
	count  atomic.Int64 // Records.

	lowestMu sync.Mutex
	lowest   map[int]uint64 // By journal, a number that no call's fence is below; under lowestMu.
}

// shard holds the records whose CallID hashes to it. A shard's lock is taken before a call's.
type shard struct {
	mu      sync.Mutex
	records map[string]*record // Under mu.
	ended   []endedCall        // Oldest first; under mu.
}

// record is what is known of one CallID.
type record struct {
	call    *Call // Latest execution; nil when none was asked for.
	barred  int   // Attempts up to this one never start, unless call holds them already.
	hasBar  bool
	touched time.Time
}

// endedCall is an entry of a shard's retention list.
type endedCall struct {
	id   string
	call *Call // nil for a record that only bars attempts.
	size int64
	at   time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{limits: limits, lowest: make(map[int]uint64)}
	for i := range l.shards {
		l.shards[i].records = make(map[string]*record)
	}
	return l
}

func (l *Ledger) shard(id string) *shard {
	return &l.shards[xxhash.Sum64String(id)%ledgerShards]
}

// Started is the answer of Ledger.Start.
type Started struct {
	Call       *Call
	New        bool  // The call is new: the caller queues it.
	Superseded *Call // The earlier execution of an idempotent call that a new one replaces; nil when it has ended.
}

// Start returns the call that answers the request. gate, unless nil, may refuse a new execution. A request that neither
// joins a call nor may start one is refused with a code that proves that it did not run.
func (l *Ledger) Start(req *api.CallRequest, gate func() *api.Error) (Started, *api.Error) {
	s := l.shard(req.CallID)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[req.CallID]
	if rec != nil && rec.call != nil {
		join, err := rec.joins(req)
		if err != nil {
			return Started{}, err
		}
		if join {
			rec.call.Adopt(req.Fence.Number)
			return Started{Call: rec.call}, nil
		}
	}
	if rec != nil && rec.hasBar && req.Attempt <= rec.barred {
		return Started{}, api.Errorf(api.CodeCancelled, "attempt %d of call %s was settled as never started", req.Attempt, req.CallID)
	}
	if gate != nil {
		if err := gate(); err != nil {
			return Started{}, err
		}
	}
	if rec == nil {
		if l.count.Load() >= int64(l.limits.Calls) {
			return Started{}, api.Errorf(api.CodeOverloaded, "the sidecar remembers %d calls and takes no more", l.limits.Calls)
		}
		rec = &record{}
		s.records[req.CallID] = rec
		l.count.Add(1)
	}
	started := Started{Call: newCall(req), New: true}
	if rec.call != nil {
		if state, _ := rec.call.State(); state != Ended {
			started.Superseded = rec.call
		}
	}
	rec.call, rec.touched = started.Call, time.Now()
	l.noteFence(req.Fence.Journal, req.Fence.Number)
	return started, nil
}

// joins decides whether the request joins the record's call (true) or may start a new one (false).
func (r *record) joins(req *api.CallRequest) (bool, *api.Error) {
	held := r.call.Request
	state, code := r.call.State()
	if held.Idempotent && req.Idempotent {
		return joinsIdempotent(req.Attempt, held.Attempt, state, code), nil
	}
	if req.Attempt < held.Attempt {
		return false, api.Errorf(api.CodeCancelled, "attempt %d of call %s was replaced by attempt %d",
			req.Attempt, req.CallID, held.Attempt)
	}
	notRun := state == Ended && code.SafeToResend()
	return req.Attempt == held.Attempt || !notRun, nil
}

// joinsIdempotent is joins for calls that may be executed more than once. A lower attempt is a caller's fresh try: an
// answer, present or to come, serves it, and an error does not bind it.
func joinsIdempotent(asked, held int, state State, code api.Code) bool {
	switch {
	case asked > held:
		return false
	case state != Ended:
		return true
	case asked == held:
		return !code.SafeToResend()
	default:
		return code.Family() == api.FamilyRan
	}
}

// Find returns the latest execution of the call, nil when there is none.
func (l *Ledger) Find(id string) *Call {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec := s.records[id]; rec != nil {
		return rec.call
	}
	return nil
}

// Settle says what became of the attempt. An attempt that never started is refused from then on.
func (l *Ledger) Settle(id string, attempt int, fence uint64) api.SettleState {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[id]
	if rec != nil && rec.call != nil && rec.answers(attempt) {
		rec.call.Adopt(fence)
		if state, _ := rec.call.State(); state == Ended {
			return api.SettleFinished
		}
		return api.SettleRunning
	}
	l.bar(s, id, attempt)
	return api.SettleNever
}

// answers reports whether the record's call is the outcome of the attempt: it is that attempt or a later one, or an
// earlier one of a non-idempotent call, which no later attempt may follow.
func (r *record) answers(attempt int) bool {
	if r.call.Request.Attempt >= attempt {
		return true
	}
	state, code := r.call.State()
	return !r.call.Request.Idempotent && !(state == Ended && code.SafeToResend())
}

// Bar refuses the attempts of the call up to the given one that have not been asked for yet.
func (l *Ledger) Bar(id string, attempt int) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.bar(s, id, attempt)
}

// bar does the work of Bar. The caller holds the shard's lock.
func (l *Ledger) bar(s *shard, id string, attempt int) {
	rec := s.records[id]
	if rec == nil {
		rec = &record{}
		s.records[id] = rec
		l.count.Add(1)
	}
	now := time.Now()
	if !rec.hasBar || rec.barred < attempt {
		rec.hasBar, rec.barred = true, attempt
	}
	rec.touched = now
	s.ended = append(s.ended, endedCall{id: id, at: now})
}

// Retire tells the ledger that the call has ended, so that its memory is bounded from now on.
func (l *Ledger) Retire(c *Call) {
	size := c.size()
	s := l.shard(c.Request.CallID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, endedCall{id: c.Request.CallID, call: c, size: size, at: time.Now()})
	l.bytes.Add(size)
}
