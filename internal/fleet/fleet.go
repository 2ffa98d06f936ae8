// Package fleet holds the operators' configuration and the backend servers as known to a process. A View is an immutable
// snapshot; a Directory replaces it when changes arrive.
package fleet

import (
	"strings"
	"time"
)

// Kind determines how often a call may be executed.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // At most once for each attempt of the caller.
	Idempotent                // Any number of times.
	Stream                    // Answered by a series of events; at most once unless the route is resumable.
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Target is one service of a route with its weight, which determines its share of the calls.
type Target struct {
	Service string
	Weight  int
}

// Route defines how calls of a host and path prefix are routed and handled.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Path prefix; begins and ends with a slash.
	Kind      Kind
	Targets   []Target
	Timeout   time.Duration // Maximum time that a call may wait.
	Objective time.Duration // Target latency of the answer; for streams, of the first event.
	GapLimit  time.Duration // For streams: target for the maximum time between events.
	Attempts  int           // Maximum number of backend servers that may run one call.
	Priority  int           // 0 is the highest.
	Sticky    bool          // Servers that recently handled the same object are faster.
	Resumable bool          // A stream may continue at another server after its last event.
	Stateful  bool          // Turns are stored; a request carries only the new input.
	Retain    time.Duration // Retention time of stored turns.
	Public    bool          // Callers need no key, also where the configuration has organisations.
}

// Repeatable reports whether a call of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the engines of a service, which run a language model.
type Engine struct {
	Slots          int
	CacheTokens    int // Capacity for running calls and cached prompt parts.
	TokensPerEvent int // Output tokens per event.
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int     // Connections that one server accepts in total.
	Engine         *Engine // nil for a plain service.
}

// Limits bound the requests and connections of callers.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations whose keys callers must present, except on public routes. nil: no keys are in use.
	Organisations []Organisation

	byHost map[string][]*Route
	byKey  map[keyDigest]*Organisation
}

// NewConfig returns a configuration that is indexed by host. It keeps references to routes and services.
func NewConfig(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	return c
}

// Match returns the route of the host with the longest matching path prefix, or nil. It ignores the case and the port of
// the host.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, port, ok := strings.Cut(host, ":"); ok && port != "" {
		host = name
	}
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// BackendServer is the description that a backend server publishes about itself.
type BackendServer struct {
	ID            string
	Service       string
	Address       string // In the form host:port.
	FailureDomain string
	Slots         int
	Draining      bool
	Version       string // Version of its software. What two versions write in one stream does not fit together.
	Born          int64  // Start of this run of the server in Unix milliseconds; identifies the run together with ID.
	Revision      int64  // Revision of the key-value store at which this was written.
}
