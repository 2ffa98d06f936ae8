package schedule

import (
	"container/list"
	"slices"
)

// maxServersPerPrefix bounds the servers remembered for one prefix.
const maxServersPerPrefix = 4

// PrefixIndex remembers which servers lately computed a prompt prefix that many programs share, such as a system
// message. An entry learns it from the calls that it sends. It keeps a bounded number of prefixes and forgets the one
// used longest ago; what it says may be out of date, which costs time only.
type PrefixIndex struct {
	max      int
	prefixes map[uint64]*list.Element
	used     *list.List // Of *sharedPrefix, latest use first.
}

// sharedPrefix holds the servers of one prefix, the latest last.
type sharedPrefix struct {
	digest  uint64
	servers []CachedPrefix
}

// NewPrefixIndex returns an index of at most maximum prefixes.
func NewPrefixIndex(maximum int) *PrefixIndex {
	return &PrefixIndex{max: maximum, prefixes: make(map[uint64]*list.Element), used: list.New()}
}

// Note records that the server computes the prefix with the digest.
func (x *PrefixIndex) Note(digest uint64, serverID string, tokens int) {
	p := x.touch(digest)
	servers := make([]CachedPrefix, 0, maxServersPerPrefix+1)
	for _, s := range p.servers {
		if s.ServerID != serverID {
			servers = append(servers, s)
		}
	}
	servers = append(servers, CachedPrefix{ServerID: serverID, Tokens: tokens})
	p.servers = servers[max(0, len(servers)-maxServersPerPrefix):]
}

// Lookup returns the servers that computed the prefix. Later calls do not change the slice.
func (x *PrefixIndex) Lookup(digest uint64) []CachedPrefix {
	e, ok := x.prefixes[digest]
	if !ok {
		return nil
	}
	x.used.MoveToFront(e)
	return e.Value.(*sharedPrefix).servers
}

// Forget removes a server whose cache is lost.
func (x *PrefixIndex) Forget(serverID string) {
	for e := x.used.Front(); e != nil; e = e.Next() {
		p := e.Value.(*sharedPrefix)
		p.servers = slices.DeleteFunc(slices.Clone(p.servers), func(s CachedPrefix) bool { return s.ServerID == serverID })
	}
}

func (x *PrefixIndex) touch(digest uint64) *sharedPrefix {
	if e, ok := x.prefixes[digest]; ok {
		x.used.MoveToFront(e)
		return e.Value.(*sharedPrefix)
	}
	if len(x.prefixes) >= x.max {
		oldest := x.used.Back()
		delete(x.prefixes, x.used.Remove(oldest).(*sharedPrefix).digest)
	}
	p := &sharedPrefix{digest: digest}
	x.prefixes[digest] = x.used.PushFront(p)
	return p
}
