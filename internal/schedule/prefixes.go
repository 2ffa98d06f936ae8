package schedule

import (
	"container/list"
	"slices"
)

const (
	// maxServersPerPrefix bounds the number of servers kept for one prefix.
	maxServersPerPrefix = 4
	// maxServersPerSharedPrefix is the bound for prefixes of so many calls that they are spread over many servers. With the lower
	// bound, the calls would go back to the last servers recorded.
	maxServersPerSharedPrefix = 64
)

// PrefixIndex records which servers have recently computed prompt prefixes, such as a system message that many programs
// share. It is updated from the calls that are sent. It holds a bounded number of prefixes and evicts the least recently
// used one. Its data may be stale, which only costs time.
type PrefixIndex struct {
	maxPrefixes int
	prefixes    map[uint64]*list.Element
	lru         *list.List // Of *sharedPrefix, most recently used first.
}

// sharedPrefix holds the servers of one prefix, the most recent last.
type sharedPrefix struct {
	digest  uint64
	servers []CachedPrefix
}

// NewPrefixIndex returns an index of at most maximum prefixes.
func NewPrefixIndex(maximum int) *PrefixIndex {
	return &PrefixIndex{maxPrefixes: maximum, prefixes: make(map[uint64]*list.Element), lru: list.New()}
}

// Record records that the server computes the prefix with the digest.
func (x *PrefixIndex) Record(digest uint64, serverID string, tokens int) {
	p := x.touch(digest)
	p.record(serverID, tokens, max(maxServersPerPrefix, len(p.servers)-1)) // A prefix that is no longer shared loses its servers gradually.
}

// RecordShared is Record for a prefix that is spread over many servers.
func (x *PrefixIndex) RecordShared(digest uint64, serverID string, tokens int) {
	x.touch(digest).record(serverID, tokens, maxServersPerSharedPrefix)
}

// record makes the server the most recent one, and keeps at most maximum servers.
func (p *sharedPrefix) record(serverID string, tokens, maximum int) {
	servers := make([]CachedPrefix, 0, len(p.servers)+1)
	for _, s := range p.servers {
		if s.ServerID != serverID {
			servers = append(servers, s)
		}
	}
	servers = append(servers, CachedPrefix{ServerID: serverID, Tokens: tokens})
	p.servers = servers[max(0, len(servers)-maximum):]
}

// Lookup returns the servers that have computed the prefix. Later calls do not modify the returned slice.
func (x *PrefixIndex) Lookup(digest uint64) []CachedPrefix {
	e, ok := x.prefixes[digest]
	if !ok {
		return nil
	}
	x.lru.MoveToFront(e)
	return e.Value.(*sharedPrefix).servers
}

// RemoveServer removes a server whose cache is lost from all prefixes.
func (x *PrefixIndex) RemoveServer(serverID string) {
	for e := x.lru.Front(); e != nil; e = e.Next() {
		p := e.Value.(*sharedPrefix)
		p.servers = slices.DeleteFunc(slices.Clone(p.servers), func(s CachedPrefix) bool { return s.ServerID == serverID })
	}
}

// touch returns the prefix with the digest and marks it as used. It adds a missing prefix, evicting another one if the index
// is full.
func (x *PrefixIndex) touch(digest uint64) *sharedPrefix {
	if e, ok := x.prefixes[digest]; ok {
		x.lru.MoveToFront(e)
		return e.Value.(*sharedPrefix)
	}
	if len(x.prefixes) >= x.maxPrefixes {
		oldest := x.lru.Back()
		delete(x.prefixes, x.lru.Remove(oldest).(*sharedPrefix).digest)
	}
	p := &sharedPrefix{digest: digest}
	x.prefixes[digest] = x.lru.PushFront(p)
	return p
}
