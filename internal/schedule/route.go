package schedule

import (
	"fmt"
	"time"
)

// Filter rejects servers that must not get a call.
type Filter interface {
	// Reject returns the reason to reject the server, or ReasonNone.
	Reject(b *BackendServer, req *Request) Reason
}

// Scorer assigns costs to servers.
type Scorer interface {
	// Score returns the cost of running the call on the server, in seconds. Lower is better.
	Score(b *BackendServer, req *Request) float64
}

// Picker chooses among the servers of one service.
type Picker interface {
	// Pick returns the position of the chosen candidate, or -1 and the reason why none was chosen.
	Pick(c *Candidates, req *Request, random Random) (int, Reason)
}

// Candidates are the servers of one service together with the router's filters and scorers.
type Candidates struct {
	snapshot *Snapshot
	indexes  []int
	router   *Router
}

// Len returns the number of candidates before filtering.
func (c *Candidates) Len() int { return len(c.indexes) }

// Server returns the candidate at the position.
func (c *Candidates) Server(i int) *BackendServer { return &c.snapshot.servers[c.indexes[i]] }

// Reject returns the reason of the first filter that rejects the candidate, or ReasonNone.
func (c *Candidates) Reject(i int, req *Request) Reason { return c.router.reject(c.Server(i), req) }

// Score returns the sum of the scorers' costs of the candidate.
func (c *Candidates) Score(i int, req *Request) float64 { return c.router.score(c.Server(i), req) }

// Router chooses a server for a request: filters reject servers, scorers rate them and the picker chooses one.
type Router struct {
	Filters   []Filter
	Scorers   []Scorer
	Picker    Picker
	Estimator Estimator
}

// Choice is a chosen server.
type Choice struct {
	Server       *BackendServer // Points into the snapshot.
	Wait         time.Duration  // Estimated wait before the call starts.
	CachedTokens int            // Prompt tokens that the server is believed to have cached.
}

// Route chooses a server for the request. The error is a *NoServerError.
func (r *Router) Route(s *Snapshot, req *Request, random Random) (Choice, error) {
	indexes := s.byService[req.Service]
	if len(indexes) == 0 {
		return Choice{}, &NoServerError{Service: req.Service, Reason: ReasonUnknownService}
	}
	candidates := Candidates{snapshot: s, indexes: indexes, router: r}
	i, reason := r.Picker.Pick(&candidates, req, random)
	if i < 0 {
		return Choice{}, &NoServerError{Service: req.Service, Reason: reason}
	}
	server := candidates.Server(i)
	wait := r.Estimator.Wait(server, req)
	if req.MaxWait > 0 && wait > req.MaxWait {
		return Choice{}, &NoServerError{Service: req.Service, Reason: ReasonOverloaded}
	}
	return Choice{Server: server, Wait: wait, CachedTokens: req.cachedOn(server.ID)}, nil
}

func (r *Router) reject(b *BackendServer, req *Request) Reason {
	for _, f := range r.Filters {
		if reason := f.Reject(b, req); reason != ReasonNone {
			return reason
		}
	}
	return ReasonNone
}

func (r *Router) score(b *BackendServer, req *Request) float64 {
	total := 0.0
	for _, s := range r.Scorers {
		total += s.Score(b, req)
	}
	return total
}

// Names of routing policies.
const (
	RouteCacheAware = "cache-aware"
	RouteRoundRobin = "round-robin"
	RouteLeastLoad  = "least-load"
)

// RouteSettings configure the cache-aware policy.
type RouteSettings struct {
	Choices       int           // Number of random candidates that are compared.
	HalfLife      time.Duration // Age at which the weight of a load report is halved.
	PriorWait     time.Duration // Wait assumed for a server without a report.
	PrefillWeight float64       // Cost of a second of prefill in seconds of wait; other calls wait for it as well.
	RemotePenalty time.Duration // Cost of a server in another failure domain.
}

// DefaultRouteSettings returns the settings that apply unless the operators configure others.
func DefaultRouteSettings() RouteSettings {
	return RouteSettings{
		Choices:       3,
		HalfLife:      5 * time.Second,
		PriorWait:     500 * time.Millisecond,
		PrefillWeight: 4,
		RemotePenalty: 2 * time.Millisecond,
	}
}

// NewRouter returns a router with the named policy.
func NewRouter(name string, settings RouteSettings) (*Router, error) {
	wait := Estimator{HalfLife: settings.HalfLife, PriorWait: settings.PriorWait}
	router := &Router{Estimator: wait, Filters: []Filter{Available{}, Untried{}}}
	switch name {
	case RouteCacheAware:
		router.Scorers = []Scorer{
			WaitCost{wait},
			PrefillCost{wait, settings.PrefillWeight},
			RemoteCost{settings.RemotePenalty},
		}
		router.Picker = CachedOrRandom{Choices: settings.Choices}
	case RouteRoundRobin:
		router.Picker = RoundRobin{}
	case RouteLeastLoad:
		router.Scorers = []Scorer{ReportedLoad{}}
		router.Picker = LowestScore{}
	default:
		return nil, fmt.Errorf("routing policy %q does not exist", name)
	}
	return router, nil
}
