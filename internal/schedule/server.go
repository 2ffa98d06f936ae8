package schedule

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// BackendServer is what an entry knows about one backend server.
type BackendServer struct {
	ID            string
	FailureDomain string
	Service       string // Model or service that it serves.

	Load       api.Load
	ReportedAt time.Time // When Load arrived; zero if the server has never reported.
	Leaving    bool      // By the membership list or by the sidecar's own word.
	Lost       bool      // The entry cannot reach the sidecar.

	SentCalls  int // Calls that this entry sent since the report.
	SentTokens int // Prompt tokens of those calls that were not cached.
}

// Sent records that the entry has sent a call to the server.
func (b *BackendServer) Sent(uncachedTokens int) {
	b.SentCalls++
	b.SentTokens += uncachedTokens
}

// Report replaces the load report. Calls that the report already counts are no longer counted as sent.
func (b *BackendServer) Report(load api.Load, at time.Time) {
	b.Load = load
	b.ReportedAt = at
	b.SentCalls = 0
	b.SentTokens = 0
}

// Snapshot is an indexed set of backend servers. The index is fixed; the servers' fields may be updated by its holder.
type Snapshot struct {
	servers   []BackendServer
	byID      map[string]int
	byService map[string][]int
	ordinal   []int // Position of each server within its service.
}

// NewSnapshot indexes the servers. It keeps the slice.
func NewSnapshot(servers []BackendServer) *Snapshot {
	s := &Snapshot{
		servers:   servers,
		byID:      make(map[string]int, len(servers)),
		byService: make(map[string][]int),
		ordinal:   make([]int, len(servers)),
	}
	for i := range servers {
		service := servers[i].Service
		s.byID[servers[i].ID] = i
		s.ordinal[i] = len(s.byService[service])
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

// CachedPrefix says that a server holds the first tokens of a prompt.
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
	FailureDomain  string         // Of the entry.
	Cached         []CachedPrefix // Servers believed to hold a prefix of the prompt; late or wrong entries cost time only.
	Tried          []string       // Servers that an earlier attempt of the call used.
	MaxWait        time.Duration  // Longest acceptable estimated wait; 0 means any.
	Now            time.Time
	Sequence       uint64 // Number of the request at this entry, for round robin.
}

// cachedOn returns the tokens of the prompt that the server is believed to hold.
func (r *Request) cachedOn(id string) int {
	for i := range r.Cached {
		if r.Cached[i].ServerID == id {
			return min(r.Cached[i].Tokens, r.PromptTokens)
		}
	}
	return 0
}

// Random is the source of randomness of a decision. *math/rand/v2.Rand implements it.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}
