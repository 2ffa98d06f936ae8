package kv

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
)

// lease is a lease with the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// change is one event with the revision that made it.
type change struct {
	revision int64
	event    gateway.Event
}

// store is the key space. Every field is guarded by mu.
type store struct {
	limit     int // Changes kept at least; never changed.
	mu        sync.Mutex
	revision  int64
	keys      []string // Sorted; exactly the keys of values.
	values    map[string]*gateway.KeyValue
	leases    map[int64]*lease
	nextLease int64
	history   []change // In order of revision.
	compacted int64    // Changes up to this revision are gone from history.
	changed   chan struct{}
	bytes     int64 // Sum of the values' sizes.
}

func newStore(historyLimit int) *store {
	return &store{
		limit:     historyLimit,
		revision:  1,
		values:    make(map[string]*gateway.KeyValue),
		leases:    make(map[int64]*lease),
		nextLease: 1000,
		changed:   make(chan struct{}),
	}
}

// bounds returns the indexes of the keys in the range. The caller holds mu.
func (s *store) bounds(key, end []byte) (int, int) {
	from, found := slices.BinarySearch(s.keys, string(key))
	if len(end) == 0 {
		if found {
			return from, from + 1
		}
		return from, from
	}
	if len(end) == 1 && end[0] == 0 {
		return from, len(s.keys)
	}
	to, _ := slices.BinarySearch(s.keys, string(end))
	return from, max(from, to)
}

// rangeKeys reads a range. The caller holds mu.
func (s *store) rangeKeys(in *gateway.RangeRequest) *gateway.RangeResponse {
	from, to := s.bounds(in.Key, in.RangeEnd)
	out := &gateway.RangeResponse{Header: s.header(), Count: gateway.Int(to - from)}
	for _, key := range s.keys[from:to] {
		if in.Limit > 0 && len(out.KVs) == int(in.Limit) {
			out.More = true
			break
		}
		kv := *s.values[key]
		if in.KeysOnly {
			kv.Value = nil
		}
		out.KVs = append(out.KVs, kv)
	}
	return out
}

func (s *store) header() gateway.Header { return gateway.Header{Revision: gateway.Int(s.revision)} }

// put writes a key at the revision. The caller holds mu.
func (s *store) put(in *gateway.PutRequest, revision int64) {
	key := string(in.Key)
	next := &gateway.KeyValue{
		Key:            []byte(key),
		CreateRevision: gateway.Int(revision),
		ModRevision:    gateway.Int(revision),
		Version:        1,
		Value:          in.Value,
		Lease:          in.Lease,
	}
	if old := s.values[key]; old != nil {
		next.CreateRevision, next.Version = old.CreateRevision, old.Version+1
		s.bytes -= int64(len(old.Value))
		s.detach(old)
	} else {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.values[key] = next
	s.bytes += int64(len(in.Value))
	if l := s.leases[int64(in.Lease)]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.history = append(s.history, change{revision, gateway.Event{KV: *next}})
}

// detach removes a key from its lease. The caller holds mu.
func (s *store) detach(kv *gateway.KeyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// deleteRange removes a range at the revision and returns the number of keys. The caller holds mu.
func (s *store) deleteRange(key, end []byte, revision int64) int {
	from, to := s.bounds(key, end)
	for _, name := range s.keys[from:to] {
		old := s.values[name]
		s.detach(old)
		s.bytes -= int64(len(old.Value))
		delete(s.values, name)
		gone := gateway.KeyValue{Key: []byte(name), ModRevision: gateway.Int(revision)}
		s.history = append(s.history, change{revision, gateway.Event{Type: gateway.EventDelete, KV: gone}})
	}
	s.keys = slices.Delete(s.keys, from, to)
	return to - from
}

// commit ends a write at the revision: it wakes the watches and trims the history. The caller holds mu.
func (s *store) commit(revision int64) {
	if len(s.history) == 0 || s.history[len(s.history)-1].revision != revision {
		return
	}
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
	if len(s.history) > 2*s.limit {
		cut := len(s.history) - s.limit
		s.compacted = s.history[cut-1].revision
		s.history = slices.Clone(s.history[cut:])
	}
}

// holds reports whether the condition is met. The caller holds mu.
func (s *store) holds(c gateway.Compare) bool {
	var revision gateway.Int
	if kv := s.values[string(c.Key)]; kv != nil {
		revision = kv.ModRevision
	}
	return revision == c.ModRevision
}

// txn runs a transaction. All its writes carry one revision.
func (s *store) txn(in *gateway.TxnRequest) *gateway.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &gateway.TxnResponse{Succeeded: true}
	for _, c := range in.Compare {
		out.Succeeded = out.Succeeded && s.holds(c)
	}
	ops := in.Success
	if !out.Succeeded {
		ops = in.Failure
	}
	revision := s.revision + 1
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op, revision))
	}
	s.commit(revision)
	out.Header = s.header()
	return out
}

// apply runs one operation of a transaction. The caller holds mu.
func (s *store) apply(op gateway.RequestOp, revision int64) gateway.ResponseOp {
	header := gateway.Header{Revision: gateway.Int(revision)}
	switch {
	case op.Range != nil:
		return gateway.ResponseOp{Range: s.rangeKeys(op.Range)}
	case op.Put != nil:
		s.put(op.Put, revision)
		return gateway.ResponseOp{Put: &gateway.PutResponse{Header: header}}
	case op.DeleteRange != nil:
		n := s.deleteRange(op.DeleteRange.Key, op.DeleteRange.RangeEnd, revision)
		return gateway.ResponseOp{DeleteRange: &gateway.DeleteRangeResponse{Header: header, Deleted: gateway.Int(n)}}
	}
	return gateway.ResponseOp{}
}

// leaseExists reports whether id is 0 or names a live lease.
func (s *store) leaseExists(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id == 0 || s.leases[id] != nil
}

// grant creates a lease.
func (s *store) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{})}
	return s.nextLease
}

// renew renews a lease and returns its time to live; 0 means that it has lapsed.
func (s *store) renew(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	return l.ttl
}

// expire ends the leases that have lapsed and deletes their keys.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		revision := s.revision + 1
		keys := l.keys
		delete(s.leases, id)
		for key := range keys {
			s.deleteRange([]byte(key), nil, revision)
		}
		s.commit(revision)
	}
}

// since returns the changes of the range from the revision on, the revision to go on from and the channel that closes
// at the next change. compacted is above 0 when changes from the revision on are gone.
func (s *store) since(key, end []byte, from int64) (events []gateway.Event, next, compacted int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, 0, s.compacted + 1, nil
	}
	at, _ := slices.BinarySearchFunc(s.history, from, func(c change, r int64) int { return int(c.revision - r) })
	for _, c := range s.history[at:] {
		if inRange(c.event.KV.Key, key, end) {
			events = append(events, c.event)
		}
	}
	return events, max(from, s.revision+1), 0, s.changed
}

func inRange(name, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(name, key)
	}
	if bytes.Compare(name, key) < 0 {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || bytes.Compare(name, end) < 0
}
