package backend

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Sweep forgets ended calls that are older than the limits allow or exceed the bound in bytes: idempotent calls first,
// then the answers of non-idempotent ones, of which a record without the answer stays until its time is over.
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

// expire removes what is past its time.
func (l *Ledger) expire(s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.ended[:0]
	for _, e := range s.ended {
		limit := l.limits.NonIdempotent
		if e.call != nil && e.call.Request.Idempotent {
			limit = l.limits.Idempotent
		}
		if now.Sub(e.at) < limit {
			kept = append(kept, e)
			continue
		}
		l.forget(s, e, now)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// shrink removes ended idempotent calls, oldest first, or else the answers of non-idempotent ones, until the ledger is
// within its bound in bytes.
func (l *Ledger) shrink(s *shard, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.ended[:0]
	for _, e := range s.ended {
		over := l.bytes.Load() > l.limits.Bytes && e.call != nil
		switch {
		case over && e.call.Request.Idempotent:
			l.forget(s, e, time.Time{})
		case over && answers && e.size > callOverheadBytes:
			kept = append(kept, l.dropAnswer(s, e))
		default:
			kept = append(kept, e)
		}
	}
	clear(s.ended[len(kept):])
	s.ended = kept
}

// forget removes the entry's record unless a later execution or a recent bar needs it. The caller holds the lock.
func (l *Ledger) forget(s *shard, e endedCall, now time.Time) {
	l.bytes.Add(-e.size)
	rec := s.records[e.id]
	if rec == nil || rec.call != e.call && e.call != nil {
		return
	}
	if e.call == nil && rec.call != nil {
		return
	}
	if rec.hasBar && (now.IsZero() || now.Sub(rec.touched) < l.limits.NonIdempotent) {
		rec.call = nil
		return
	}
	delete(s.records, e.id)
	l.count.Add(-1)
}

// dropAnswer replaces the entry's call by one that remembers its end but not its answer. The caller holds the lock.
func (l *Ledger) dropAnswer(s *shard, e endedCall) endedCall {
	l.bytes.Add(callOverheadBytes - e.size)
	_, code := e.call.State()
	stub := newCall(e.call.Request)
	failure := api.Errorf(api.CodeOutcomeUnknown, "call %s ended with code %d; its answer is no longer kept", e.id, code)
	if code.SafeToResend() {
		failure = api.Errorf(code, "call %s did not run", e.id)
	}
	stub.Fail(failure)
	if rec := s.records[e.id]; rec != nil && rec.call == e.call {
		rec.call = stub
	}
	return endedCall{id: e.id, call: stub, size: callOverheadBytes, at: e.at}
}

// Counts returns the number of calls that have not ended, and of calls that a reader still follows or whose last event no
// reader has got.
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
			if !rec.call.read || len(rec.call.readers) > 0 {
				unread++
			}
			rec.call.mu.Unlock()
		}
		s.mu.Unlock()
	}
	return unfinished, unread
}

// Size returns the number of records and the bytes of ended calls.
func (l *Ledger) Size() (records int, bytes int64) {
	return int(l.count.Load()), l.bytes.Load()
}
