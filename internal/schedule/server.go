package schedule

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// BackendServer is the state of one backend server as known to an entry.
type BackendServer struct {
	ID            string
	FailureDomain string
	Service       string // Name of the model or service that the server runs.

	Load        api.Load
	ReportedAt  time.Time // When Load arrived; zero if the server has never reported.
	Leaving     bool      // According to the membership list or to the sidecar.
	Unreachable bool      // The entry cannot reach the sidecar.

	SentCalls  int // Calls that this entry has sent since the report.
	SentTokens int // Uncached prompt tokens of those calls.
}

// RecordSent records that the entry has sent a call to the server.
func (b *BackendServer) RecordSent(uncachedTokens int) {
	b.SentCalls++
	b.SentTokens += uncachedTokens
}

// SetLoad replaces the load report. It resets the counts of sent calls, as the report includes them.
func (b *BackendServer) SetLoad(load api.Load, at time.Time) {
	b.Load = load
	b.ReportedAt = at
	b.SentCalls = 0
	b.SentTokens = 0
}

// Snapshot is a fixed set of backend servers, indexed by id and by service. The owner of the snapshot may update the
// servers' fields, except those that are indexed.
type Snapshot struct {
	servers   []BackendServer
	byID      map[string]int
	byService map[string][]int
	positions []int // Position of each server in its list of byService.
}

// NewSnapshot returns a snapshot of the servers. It keeps a reference to the slice.
func NewSnapshot(servers []BackendServer) *Snapshot {
	s := &Snapshot{
		servers:   servers,
		byID:      make(map[string]int, len(servers)),
		byService: make(map[string][]int),
		positions: make([]int, len(servers)),
	}
	for i := range servers {
		service := servers[i].Service
		s.byID[servers[i].ID] = i
		s.positions[i] = len(s.byService[service])
		s.byService[service] = append(s.byService[service], i)
	}
	return s
}

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.servers) }

// Server returns the server with the id, or nil.
func (s *Snapshot) Server(id string) *BackendServer {
	i, ok := s.byID[id]
	if !ok {
		return nil
	}
	return &s.servers[i]
}

// CachedPrefix is the number of leading prompt tokens that a server has in its cache.
type CachedPrefix struct {
	ServerID string
	Tokens   int
}

// Request describes the call to route.
type Request struct {
	Service        string // Model or service.
	PromptTokens   int
	ExpectedOutput int // Tokens.
	Priority       int
	FailureDomain  string         // Failure domain of the entry.
	Cached         []CachedPrefix // Servers believed to have cached a prefix; stale or wrong elements only cost time.
	Tried          []string       // Servers to which earlier attempts of the call were sent.
	MaxWait        time.Duration  // Longest acceptable estimated wait; 0 means no limit.
	Now            time.Time
	Sequence       uint64 // Sequence number of the request at this entry, for round robin.
}

// cachedOn returns the number of prompt tokens that the server is believed to have cached.
func (r *Request) cachedOn(id string) int {
	for i := range r.Cached {
		if r.Cached[i].ServerID == id {
			return min(r.Cached[i].Tokens, r.PromptTokens)
		}
	}
	return 0
}

// Random is a random source. *rand.Rand of math/rand/v2 implements it.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}
