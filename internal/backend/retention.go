package backend

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Sweep removes ended calls whose retention time is over. If the ended calls still exceed Limits.Bytes, it then removes
// idempotent calls, and after those the answers of non-idempotent ones. The record of a non-idempotent call without its
// answer stays until its retention time is over.
func (l *Ledger) Sweep(now time.Time) {
	for i := range l.shards {
		l.expire(&l.shards[i], now)
	}
	for pass := range 2 {
		for i := 0; i < ledgerShards && l.bytes.Load() > l.limits.Bytes; i++ {
			l.shrink(&l.shards[i], pass == 1)
		}
	}
}

// expire removes the shard's ended calls whose retention time is over.
func (l *Ledger) expire(s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.ended[:0]
	for _, e := range s.ended {
		limit := l.limits.NonIdempotent
		if e.call != nil && e.call.Request.Idempotent {
			limit = l.limits.Idempotent
		}
		if now.Sub(e.endedAt) < limit {
			kept = append(kept, e)
			continue
		}
		l.removeRecord(s, e, now)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// shrink removes ended idempotent calls of the shard, oldest first, until the ledger is within Limits.Bytes. When answers
// is set, it also drops the answers of non-idempotent calls.
func (l *Ledger) shrink(s *shard, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.ended[:0]
	for _, e := range s.ended {
		over := l.bytes.Load() > l.limits.Bytes && e.call != nil
		switch {
		case over && e.call.Request.Idempotent:
			l.removeRecord(s, e, time.Time{})
		case over && answers && e.size > callOverheadBytes:
			kept = append(kept, l.dropAnswer(s, e))
		default:
			kept = append(kept, e)
		}
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// removeRecord removes the record of the ended call. It keeps a record that has a later execution, and one with a recent
// rejection of attempts. A zero now counts every rejection as recent. The caller holds the shard's lock.
func (l *Ledger) removeRecord(s *shard, e endedCall, now time.Time) {
	l.bytes.Add(-e.size)
	rec := s.records[e.id]
	if rec == nil || rec.call != e.call && e.call != nil {
		return
	}
	if e.call == nil && rec.call != nil {
		return
	}
	if rec.hasRejection && (now.IsZero() || now.Sub(rec.updatedAt) < l.limits.NonIdempotent) {
		rec.call = nil
		return
	}
	delete(s.records, e.id)
	l.count.Add(-1)
}

// dropAnswer replaces the ended call by one whose only event is an error. The error replaces the answer; its code tells
// whether the call did not run or its outcome can no longer be returned. The caller holds the shard's lock.
func (l *Ledger) dropAnswer(s *shard, e endedCall) endedCall {
	l.bytes.Add(callOverheadBytes - e.size)
	_, code := e.call.State()
	stub := newCall(e.call.Request)
	failure := api.Errorf(api.CodeOutcomeUnknown, "call %s ended with code %d, but its answer is no longer stored", e.id, code)
	if code.SafeToResend() {
		failure = api.Errorf(code, "call %s did not run", e.id)
	}
	stub.Fail(failure)
	if rec := s.records[e.id]; rec != nil && rec.call == e.call {
		rec.call = stub
	}
	return endedCall{id: e.id, call: stub, size: callOverheadBytes, endedAt: e.endedAt}
}

// Counts returns the number of calls that have not ended, and the number of unread calls: those that have a reader
// attached or whose last event has not been delivered.
func (l *Ledger) Counts() (unfinished, unread int) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, rec := range s.records {
			if rec.call == nil {
				continue
			}
			rec.call.mu.Lock()
			if rec.call.state != Ended {
				unfinished++
			}
			if !rec.call.delivered || len(rec.call.readers) > 0 {
				unread++
			}
			rec.call.mu.Unlock()
		}
		s.mu.Unlock()
	}
	return unfinished, unread
}

// Size returns the number of records and the memory of ended calls in bytes.
func (l *Ledger) Size() (records int, bytes int64) {
	return int(l.count.Load()), l.bytes.Load()
}
