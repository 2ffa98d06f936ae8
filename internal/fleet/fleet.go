// Package fleet holds what a process believes about the operators' configuration and the backend servers. A View is
// immutable; a Directory replaces it as news arrive.
package fleet

import (
	"strings"
	"time"
)

// Kind says how often a call may be executed.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // At most once for each attempt of the caller.
	Idempotent                // Any number of times.
	Stream                    // A series of events; at most once unless the route is resumable.
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

// Target is one service of a route with its share of the calls.
type Target struct {
	Service string
	Weight  int
}

// Route says where calls of a host and path go and what may be done with them.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Kind      Kind
	Targets   []Target
	Timeout   time.Duration // Longest time that a call is kept waiting.
	Objective time.Duration // Latency within which an answer is on time; of streams: of the first event.
	GapLimit  time.Duration // Of streams: longest pause between events that is on time.
	Attempts  int           // Most backend servers that may run one call.
	Priority  int           // 0 is the highest.
	Sticky    bool          // Servers that handled the object lately are faster.
	Resumable bool          // A stream may go on at another server after its last event.
	Stateful  bool          // The system keeps the turns; a turn carries only its new input.
	Retain    time.Duration // How long turns are kept.
}

// Repeatable reports whether a call of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots         int
	CacheTokens   int // Memory for running calls and cached prompt parts.
	TokensOfEvent int // Output tokens that one event counts for.
}

// Service is a set of equal backend servers.
type Service struct {
	Name           string
	MaxConnections int     // Connections that one server accepts from all callers together.
	Engine         *Engine // nil for a plain service.
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	HeaderWait  time.Duration
	IdleWait    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

// NewConfig indexes a configuration. It keeps the slices.
func NewConfig(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	return c
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
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

// BackendServer is one backend server as it describes itself.
type BackendServer struct {
	ID            string
	Service       string
	Address       string // host:port.
	FailureDomain string
	Slots         int
	Draining      bool
	Born          int64 // Start of this run in Unix milliseconds: with ID it names an incarnation.
	Revision      int64 // Of the store, when this was written.
}
