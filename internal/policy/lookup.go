package policy

import (
	"slices"
	"strings"
	"time"
)

// index holds what Compile derives from a Config, so that lookups allocate nothing.
type index struct {
	compiled bool
	limits   Limits
	orgs     map[string]*Organisation
	classes  map[string]*Class
	models   map[string]*Model
	services map[string]*compiledService
	domains  map[string]*FailureDomain
	fences   map[string]bool
	prefixes []BackendServer // Names without "*", longest first.
}

type compiledService struct {
	service Service
	actions actionNode
	unknown ActionRule
}

// ActionRule is the rule in force for one call of a service.
type ActionRule struct {
	Method     string
	Path       string // The pattern; empty when no rule matched.
	Idempotent bool
	Retry      bool
	Timeout    time.Duration
}

// Compile builds the lookups of a Config made by hand. It assumes that the Config is valid.
func (c *Config) Compile() *Config {
	x := index{
		compiled: true,
		limits:   c.Limits.withDefaults(),
		orgs:     make(map[string]*Organisation, len(c.Organisations)),
		classes:  make(map[string]*Class, len(c.Classes)),
		models:   make(map[string]*Model, len(c.Models)),
		services: make(map[string]*compiledService, len(c.Services)),
		domains:  make(map[string]*FailureDomain, len(c.FailureDomains)),
		fences:   make(map[string]bool),
	}
	for i := range c.Organisations {
		x.orgs[c.Organisations[i].Name] = &c.Organisations[i]
	}
	for i := range c.Classes {
		x.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Models {
		x.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.FailureDomains {
		x.domains[c.FailureDomains[i].Name] = &c.FailureDomains[i]
	}
	for _, s := range c.Services {
		x.services[s.Name] = compileService(s, x.limits)
	}
	x.compileFences(c.BackendServers)
	c.index = x
	return c
}

func compileService(s Service, limits Limits) *compiledService {
	if s.Kind == "" {
		s.Kind = BackendService
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = limits.TimeoutMS
	}
	out := &compiledService{service: s, unknown: ActionRule{Timeout: milliseconds(s.TimeoutMS)}}
	for _, a := range s.Actions {
		if a.TimeoutMS == 0 {
			a.TimeoutMS = s.TimeoutMS
		}
		out.actions.insert(&ActionRule{
			Method:     a.Method,
			Path:       a.Path,
			Idempotent: a.Idempotent,
			Retry:      a.Retry,
			Timeout:    milliseconds(a.TimeoutMS),
		})
	}
	return out
}

func (x *index) compileFences(servers []BackendServer) {
	for _, b := range servers {
		prefix, isPrefix := strings.CutSuffix(b.Name, "*")
		if isPrefix {
			x.prefixes = append(x.prefixes, BackendServer{Name: prefix, ChecksFence: b.ChecksFence})
			continue
		}
		x.fences[b.Name] = b.ChecksFence
	}
	slices.SortFunc(x.prefixes, func(a, b BackendServer) int { return len(b.Name) - len(a.Name) })
}

// Organisation returns the organisation with its limit on programs filled in.
func (c *Config) Organisation(name string) (Organisation, bool) {
	o, ok := c.index.orgs[name]
	if !ok {
		return Organisation{}, false
	}
	out := *o
	if out.MaxPrograms == 0 {
		out.MaxPrograms = c.index.limits.MaxPrograms
	}
	return out, true
}

// Class returns the class with its idle timeout filled in. Its budget is as declared: see Budget.
func (c *Config) Class(name string) (Class, bool) {
	class, ok := c.index.classes[name]
	if !ok {
		return Class{}, false
	}
	out := *class
	if out.IdleTimeoutMS == 0 {
		out.IdleTimeoutMS = c.index.limits.IdleTimeoutMS
	}
	return out, true
}

// Budget returns the budget of a program: each component is the class's, else the organisation's, else the limits'.
func (c *Config) Budget(organisation, class string) Budget {
	var b Budget
	if cl, ok := c.index.classes[class]; ok {
		b = cl.Budget
	}
	if o, ok := c.index.orgs[organisation]; ok {
		b = b.or(o.Budget)
	}
	return b.or(c.index.limits.Budget)
}

// Service returns the service with its kind and timeout filled in.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.index.services[name]
	if !ok {
		return Service{}, false
	}
	return s.service, true
}

// Model returns the model with its timeout filled in.
func (c *Config) Model(name string) (Model, bool) {
	m, ok := c.index.models[name]
	if !ok {
		return Model{}, false
	}
	out := *m
	if out.TimeoutMS == 0 {
		out.TimeoutMS = c.index.limits.TimeoutMS
	}
	return out, true
}

// FailureDomain returns the failure domain.
func (c *Config) FailureDomain(name string) (FailureDomain, bool) {
	d, ok := c.index.domains[name]
	if !ok {
		return FailureDomain{}, false
	}
	return *d, true
}

// Action returns the rule for a call of the service and whether one matched. Without a match the call counts as not
// idempotent, with the timeout of the service. The path may carry a query string, which takes no part.
//
// The most specific rule wins: patterns are compared segment by segment from the left, where a literal goes before
// "*" and "*" before "**"; among rules with the same pattern one that names the method goes before "*".
// A path that a backend server might read in more than one way matches no rule (see canonicalPath).
func (c *Config) Action(service, method, path string) (ActionRule, bool) {
	s, ok := c.index.services[service]
	if !ok {
		return ActionRule{Timeout: c.index.limits.Timeout()}, false
	}
	path, ok = canonicalPath(path)
	if !ok {
		return s.unknown, false
	}
	if rule := s.actions.find(method, path); rule != nil {
		return *rule, true
	}
	return s.unknown, false
}

// ChecksFence reports whether operators declared that the backend server refuses orders with an old fencing number.
// An exact name goes before a prefix, and a longer prefix before a shorter one. Unknown ones count as not checking.
func (c *Config) ChecksFence(backendServer string) bool {
	if checks, ok := c.index.fences[backendServer]; ok {
		return checks
	}
	for i := range c.index.prefixes {
		if strings.HasPrefix(backendServer, c.index.prefixes[i].Name) {
			return c.index.prefixes[i].ChecksFence
		}
	}
	return false
}

// FetchInterval returns the least time between two orders that read the weight store.
func (c *Config) FetchInterval() time.Duration {
	perMinute := c.WeightStore.FetchesPerMinute
	if perMinute == 0 {
		perMinute = defaultFetchesPerMinute
	}
	return time.Minute / time.Duration(perMinute)
}

// EffectiveLimits returns the limits with defaults filled in.
func (c *Config) EffectiveLimits() Limits { return c.index.limits }
