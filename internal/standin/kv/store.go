package kv

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
)

// lease contains the term of a lease and the keys attached to it, which are deleted when it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// change is a watch event and the revision of the write that caused it.
type change struct {
	revision int64
	event    gateway.Event
}

// store is the key space. mu guards every field except historyLimit.
type store struct {
	historyLimit int // Minimum number of changes kept in history; immutable.
	mu           sync.Mutex
	revision     int64
	keys         []string // The keys of values, sorted.
	values       map[string]*gateway.KeyValue
	leases       map[int64]*lease
	lastLeaseID  int64
	history      []change      // Ordered by revision.
	compacted    int64         // Changes up to this revision have been removed from history.
	changed      chan struct{} // Closed and replaced at each change.
	bytes        int64         // Sum of the sizes of values.
}

func newStore(historyLimit int) *store {
	return &store{
		historyLimit: historyLimit,
		revision:     1,
		values:       make(map[string]*gateway.KeyValue),
		leases:       make(map[int64]*lease),
		lastLeaseID:  1000,
		changed:      make(chan struct{}),
	}
}

// indexRange returns the range of indexes into keys for a key range of etcd: an empty end means the single key, an end of
// one zero byte means all keys from key on. The caller holds mu.
func (s *store) indexRange(key, end []byte) (int, int) {
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

// rangeKeys reads a range of keys. The caller holds mu.
func (s *store) rangeKeys(in *gateway.RangeRequest) *gateway.RangeResponse {
	from, to := s.indexRange(in.Key, in.RangeEnd)
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

// put writes a key with the revision. The caller holds mu.
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
		s.detachFromLease(old)
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

// detachFromLease removes a key from its lease. The caller holds mu.
func (s *store) detachFromLease(kv *gateway.KeyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// deleteRange deletes a range of keys with the revision and returns their number. The caller holds mu.
func (s *store) deleteRange(key, end []byte, revision int64) int {
	from, to := s.indexRange(key, end)
	for _, name := range s.keys[from:to] {
		old := s.values[name]
		s.detachFromLease(old)
		s.bytes -= int64(len(old.Value))
		delete(s.values, name)
		deleted := gateway.KeyValue{Key: []byte(name), ModRevision: gateway.Int(revision)}
		s.history = append(s.history, change{revision, gateway.Event{Type: gateway.EventDelete, KV: deleted}})
	}
	s.keys = slices.Delete(s.keys, from, to)
	return to - from
}

// commit completes a write with the revision: it advances the store's revision, notifies the watches and trims the
// history. It does nothing if the write changed no key. The caller holds mu.
func (s *store) commit(revision int64) {
	if len(s.history) == 0 || s.history[len(s.history)-1].revision != revision {
		return
	}
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
	if len(s.history) > 2*s.historyLimit {
		cut := len(s.history) - s.historyLimit
		s.compacted = s.history[cut-1].revision
		s.history = slices.Clone(s.history[cut:])
	}
}

// conditionMet reports whether the key has the mod revision that the condition names; 0 stands for a missing key. The
// caller holds mu.
func (s *store) conditionMet(c gateway.Compare) bool {
	var revision gateway.Int
	if kv := s.values[string(c.Key)]; kv != nil {
		revision = kv.ModRevision
	}
	return revision == c.ModRevision
}

// txn runs a transaction. All its writes get the same revision.
func (s *store) txn(in *gateway.TxnRequest) *gateway.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &gateway.TxnResponse{Succeeded: true}
	for _, c := range in.Compare {
		out.Succeeded = out.Succeeded && s.conditionMet(c)
	}
	ops := in.Success
	if !out.Succeeded {
		ops = in.Failure
	}
	revision := s.revision + 1
	for _, op := range ops {
		out.Responses = append(out.Responses, s.applyOp(op, revision))
	}
	s.commit(revision)
	out.Header = s.header()
	return out
}

// applyOp runs one operation of a transaction. The caller holds mu.
func (s *store) applyOp(op gateway.RequestOp, revision int64) gateway.ResponseOp {
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

// leaseExists reports whether id is 0, which means no lease, or the ID of an existing lease.
func (s *store) leaseExists(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id == 0 || s.leases[id] != nil
}

// grantLease creates a lease and returns its ID.
func (s *store) grantLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{})}
	return s.lastLeaseID
}

// renewLease renews a lease and returns its time to live, or 0 if the lease does not exist.
func (s *store) renewLease(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	return l.ttl
}

// expireLeases removes the expired leases and deletes their keys, with one revision per lease.
func (s *store) expireLeases(now time.Time) {
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

// changesSince returns the events of a key range from the revision from on, the revision from which to continue, and a
// channel that is closed at the next change. If some of these changes are no longer in the history, it only returns a
// compacted revision above 0: the first one still available.
func (s *store) changesSince(key, end []byte, from int64) (events []gateway.Event, next, compacted int64, changed chan struct{}) {
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

// inRange reports whether the key name is in the key range, which is defined as in indexRange.
func inRange(name, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(name, key)
	}
	if bytes.Compare(name, key) < 0 {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || bytes.Compare(name, end) < 0
}
