package policy

import (
	"slices"
	"strings"
	"time"
)

// index holds the lookup tables that Compile builds from a Config, so that lookups do not allocate.
type index struct {
	compiled      bool
	limits        Limits
	orgs          map[string]*Organisation
	classes       map[string]*Class
	models        map[string]*Model
	services      map[string]*compiledService
	domains       map[string]*FailureDomain
	checksFence   map[string]bool
	fencePrefixes []BackendServer // Name prefixes without "*", longest first.
}

// compiledService is a service with its defaults filled in, prepared for the lookup of action rules.
type compiledService struct {
	service     Service
	actions     actionNode // Root of the tree of path patterns.
	defaultRule ActionRule // Applies to calls that match no rule.
}

// ActionRule is the rule that applies to a call to a service, with its timeout filled in.
type ActionRule struct {
	Method     string
	Path       string // The pattern; empty if no rule matched.
	Idempotent bool
	Retry      bool
	Timeout    time.Duration
}

// Compile builds the lookup tables of a Config that was not made by Parse, and returns it. The Config must be valid.
func (c *Config) Compile() *Config {
	idx := index{
		compiled:    true,
		limits:      c.Limits.withDefaults(),
		orgs:        make(map[string]*Organisation, len(c.Organisations)),
		classes:     make(map[string]*Class, len(c.Classes)),
		models:      make(map[string]*Model, len(c.Models)),
		services:    make(map[string]*compiledService, len(c.Services)),
		domains:     make(map[string]*FailureDomain, len(c.FailureDomains)),
		checksFence: make(map[string]bool),
	}
	for i := range c.Organisations {
		idx.orgs[c.Organisations[i].Name] = &c.Organisations[i]
	}
	for i := range c.Classes {
		idx.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Models {
		idx.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.FailureDomains {
		idx.domains[c.FailureDomains[i].Name] = &c.FailureDomains[i]
	}
	for _, s := range c.Services {
		idx.services[s.Name] = compileService(s, idx.limits)
	}
	idx.indexFences(c.BackendServers)
	c.index = idx
	return c
}

// compileService fills in the service's defaults and builds the tree of its action rules.
func compileService(s Service, limits Limits) *compiledService {
	if s.Kind == "" {
		s.Kind = BackendService
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = limits.TimeoutMS
	}
	out := &compiledService{service: s, defaultRule: ActionRule{Timeout: milliseconds(s.TimeoutMS)}}
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

// indexFences separates exact names from name prefixes and sorts the prefixes, longest first.
func (idx *index) indexFences(servers []BackendServer) {
	for _, b := range servers {
		prefix, isPrefix := strings.CutSuffix(b.Name, "*")
		if isPrefix {
			idx.fencePrefixes = append(idx.fencePrefixes, BackendServer{Name: prefix, ChecksFence: b.ChecksFence})
			continue
		}
		idx.checksFence[b.Name] = b.ChecksFence
	}
	slices.SortFunc(idx.fencePrefixes, func(a, b BackendServer) int { return len(b.Name) - len(a.Name) })
}

// Organisation returns the organisation with its default for MaxPrograms filled in.
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

// Class returns the class with its default idle timeout filled in. Its budget is as declared; Config.Budget returns the
// effective one.
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

// Budget returns the budget of a program. Each component comes from the class, else from the organisation, else from
// Limits.
func (c *Config) Budget(organisation, class string) Budget {
	var b Budget
	if cl, ok := c.index.classes[class]; ok {
		b = cl.Budget
	}
	if o, ok := c.index.orgs[organisation]; ok {
		b = b.withFallback(o.Budget)
	}
	return b.withFallback(c.index.limits.Budget)
}

// Service returns the service with the defaults of its kind and timeout filled in.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.index.services[name]
	if !ok {
		return Service{}, false
	}
	return s.service, true
}

// Model returns the model with its default timeout filled in.
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

// FailureDomain returns the failure domain with the given name.
func (c *Config) FailureDomain(name string) (FailureDomain, bool) {
	d, ok := c.index.domains[name]
	if !ok {
		return FailureDomain{}, false
	}
	return *d, true
}

// Action returns the rule for a call to the service and whether a declared rule matched. If none matched, the returned
// rule is not idempotent and has the service's timeout. A query string in the path is ignored.
//
// The most specific rule wins. Patterns are compared segment by segment from the left: a literal takes precedence over
// "*", and "*" over "**". Among rules with the same pattern, one for the call's method takes precedence over "*".
// A path that a backend server might interpret in more than one way matches no rule (see canonicalPath).
func (c *Config) Action(service, method, path string) (ActionRule, bool) {
	s, ok := c.index.services[service]
	if !ok {
		return ActionRule{Timeout: c.index.limits.Timeout()}, false
	}
	path, ok = canonicalPath(path)
	if !ok {
		return s.defaultRule, false
	}
	if rule := s.actions.find(method, path); rule != nil {
		return *rule, true
	}
	return s.defaultRule, false
}

// ChecksFence reports whether the backend server is declared to reject orders with an outdated fencing number. An exact
// name takes precedence over a prefix, and a longer prefix over a shorter one. The default is false.
func (c *Config) ChecksFence(backendServer string) bool {
	if checks, ok := c.index.checksFence[backendServer]; ok {
		return checks
	}
	for i := range c.index.fencePrefixes {
		if strings.HasPrefix(backendServer, c.index.fencePrefixes[i].Name) {
			return c.index.fencePrefixes[i].ChecksFence
		}
	}
	return false
}

// FetchInterval returns the minimum time between two orders that make engines read the weight store.
func (c *Config) FetchInterval() time.Duration {
	perMinute := c.WeightStore.FetchesPerMinute
	if perMinute == 0 {
		perMinute = defaultFetchesPerMinute
	}
	return time.Minute / time.Duration(perMinute)
}

// EffectiveLimits returns the limits with their defaults filled in.
func (c *Config) EffectiveLimits() Limits { return c.index.limits }
