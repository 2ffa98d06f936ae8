// Package operator builds a redwinggauge configuration in Go and prints it as the JSON document that
// `redwinggauge config submit` accepts:
//
//	err := operator.New().
//		Organisation(operator.Organisation{Name: "example", MaxPrograms: 100}).
//		Class(operator.Class{Name: "drafting", Priority: 10}).
//		Print(os.Stdout)
//
// The configuration is validated by Build and Print, which report all errors together with the paths of their fields.
package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// Configuration builds a configuration. It is not safe for concurrent use.
type Configuration struct {
	config policy.Config
	faults []Fault // Faults found before Build.
}

// Fault is one validation error of a configuration.
type Fault struct {
	Path    string // Path of the field, such as "services[archive].actions[GET /slips/*].retry".
	Message string
}

// Error lists all validation errors of a configuration.
type Error struct{ Faults []Fault }

// Error implements error. It returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Path + ": " + f.Message
	}
	return strings.Join(lines, "\n")
}

// New returns an empty configuration.
func New() *Configuration {
	return &Configuration{config: policy.Config{Organisations: []policy.Organisation{}, Classes: []policy.Class{}}}
}

// FailureDomains adds failure domains in a region.
func (c *Configuration) FailureDomains(region string, names ...string) *Configuration {
	for _, name := range names {
		c.config.FailureDomains = append(c.config.FailureDomains, policy.FailureDomain{Name: name, Region: region})
	}
	return c
}

// Organisation adds an organisation.
func (c *Configuration) Organisation(o Organisation) *Configuration {
	location := fmt.Sprintf("organisation %q", o.Name)
	c.config.Organisations = append(c.config.Organisations, policy.Organisation{
		Name:        o.Name,
		MaxPrograms: o.MaxPrograms,
		Budget:      c.budget(location, o.Budget),
	})
	return c
}

// Class adds a class of programs.
func (c *Configuration) Class(class Class) *Configuration {
	location := fmt.Sprintf("class %q", class.Name)
	c.config.Classes = append(c.config.Classes, policy.Class{
		Name:          class.Name,
		Priority:      class.Priority,
		Budget:        c.budget(location, class.Budget),
		IdleTimeoutMS: c.milliseconds(location+", idle timeout", class.IdleTimeout),
	})
	return c
}

// Service adds a service and its action rules. Its backend servers are plain services, not engines.
func (c *Configuration) Service(s Service) *Configuration {
	location := fmt.Sprintf("service %q", s.Name)
	out := policy.Service{
		Name:      s.Name,
		Kind:      policy.BackendService,
		TimeoutMS: c.milliseconds(location+", timeout", s.Timeout),
	}
	for _, a := range s.Actions {
		out.Actions = append(out.Actions, policy.Action{
			Method:     a.Method,
			Path:       a.Path,
			Idempotent: a.Idempotent,
			Retry:      a.Retry,
			TimeoutMS:  c.milliseconds(fmt.Sprintf("%s, timeout of %s %s", location, a.Method, a.Path), a.Timeout),
		})
	}
	c.config.Services = append(c.config.Services, out)
	return c
}

// Model adds a model.
func (c *Configuration) Model(m Model) *Configuration {
	c.config.Models = append(c.config.Models, policy.Model{
		Name:      m.Name,
		MaxTokens: m.MaxTokens,
		Context:   m.Context,
		TimeoutMS: c.milliseconds(fmt.Sprintf("model %q, timeout", m.Name), m.Timeout),
	})
	return c
}

// Deploy declares how many engines serve a model, and with which weights, adapters and role.
func (c *Configuration) Deploy(d Deployment) *Configuration {
	out := policy.Deployment{Name: d.Model, Version: d.Version, Role: policy.EngineRole(d.Role), Replicas: []policy.Replicas{}}
	for _, name := range d.Adapters {
		out.Adapters = append(out.Adapters, policy.Adapter{Name: name})
	}
	for _, r := range d.Replicas {
		out.Replicas = append(out.Replicas, policy.Replicas{FailureDomain: r.FailureDomain, Min: r.Min, Max: r.Max})
	}
	c.config.Deployments = append(c.config.Deployments, out)
	return c
}

// WeightStoreRate sets the maximum number of orders per minute that make engines read the weight store. 0 means the
// system's default.
func (c *Configuration) WeightStoreRate(fetchesPerMinute int) *Configuration {
	c.config.WeightStore.FetchesPerMinute = fetchesPerMinute
	return c
}

// ChecksFence declares that backend servers reject orders with an outdated fencing number. A name is a name from the
// membership list, or a name prefix followed by "*". Undeclared backend servers are assumed not to check it.
func (c *Configuration) ChecksFence(names ...string) *Configuration {
	return c.declareFence(true, names)
}

// IgnoresFence declares that backend servers accept orders with any fencing number. Use it for exceptions from a prefix
// that is declared with ChecksFence.
func (c *Configuration) IgnoresFence(names ...string) *Configuration {
	return c.declareFence(false, names)
}

func (c *Configuration) declareFence(checks bool, names []string) *Configuration {
	for _, name := range names {
		c.config.BackendServers = append(c.config.BackendServers, policy.BackendServer{Name: name, ChecksFence: checks})
	}
	return c
}

// Limits sets the defaults and limits that apply system-wide.
func (c *Configuration) Limits(l Limits) *Configuration {
	c.config.Limits = policy.Limits{
		Budget:        c.budget("limits", l.Budget),
		MaxPrograms:   l.MaxPrograms,
		IdleTimeoutMS: c.milliseconds("limits, idle timeout", l.IdleTimeout),
		TimeoutMS:     c.milliseconds("limits, timeout", l.Timeout),
	}
	return c
}

// Build validates the configuration and returns it as JSON. Lists are sorted by name, so that equal configurations give
// equal bytes regardless of the order of their declarations. An invalid configuration gives an *Error.
func (c *Configuration) Build() ([]byte, error) {
	c.sort()
	faults := slices.Clone(c.faults)
	for _, f := range c.config.Validate() {
		faults = append(faults, Fault{Path: c.namedPath(f.Path), Message: f.Message})
	}
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	data, err := c.config.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := policy.Parse(data); err != nil {
		return nil, fmt.Errorf("validate the encoded configuration: %w", err)
	}
	return data, nil
}

// Print writes the result of Build to w.
func (c *Configuration) Print(w io.Writer) error {
	data, err := c.Build()
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	return nil
}

// sort sorts all lists by name, and actions by path and method.
func (c *Configuration) sort() {
	sortByName(c.config.FailureDomains, func(d policy.FailureDomain) string { return d.Name })
	sortByName(c.config.Organisations, func(o policy.Organisation) string { return o.Name })
	sortByName(c.config.Classes, func(c policy.Class) string { return c.Name })
	sortByName(c.config.Services, func(s policy.Service) string { return s.Name })
	sortByName(c.config.Models, func(m policy.Model) string { return m.Name })
	sortByName(c.config.Deployments, func(d policy.Deployment) string { return d.Name })
	for _, d := range c.config.Deployments {
		sortByName(d.Adapters, func(a policy.Adapter) string { return a.Name })
		sortByName(d.Replicas, func(r policy.Replicas) string { return r.FailureDomain })
	}
	sortByName(c.config.BackendServers, func(b policy.BackendServer) string { return b.Name })
	for _, s := range c.config.Services {
		sortByName(s.Actions, func(a policy.Action) string { return a.Path + " " + a.Method })
	}
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func (c *Configuration) budget(location string, b Budget) policy.Budget {
	return policy.Budget{Calls: b.Calls, Tokens: b.Tokens, TimeMS: c.milliseconds(location+", budget of time", b.Time)}
}

// milliseconds converts a duration. It records a fault if the duration is not a whole number of milliseconds.
func (c *Configuration) milliseconds(location string, d time.Duration) int64 {
	if d%time.Millisecond != 0 {
		c.faults = append(c.faults, Fault{Path: location, Message: fmt.Sprintf("%v is not a whole number of milliseconds", d)})
	}
	return d.Milliseconds()
}

// namedPath replaces the indexes in a path by names. Indexes would mislead users, because the lists are sorted and no
// longer in the order of declaration.
func (c *Configuration) namedPath(path string) string {
	list, index, rest, ok := splitIndex(path)
	if !ok {
		return path
	}
	name := c.nameOf(list, index)
	if list == "services" {
		rest = namedActionPath(rest, c.config.Services[index])
	}
	return fmt.Sprintf("%s[%s]%s", list, name, rest)
}

// nameOf returns the name of an element of a top-level list, or its index for an unknown list.
func (c *Configuration) nameOf(list string, index int) string {
	switch list {
	case "failure_domains":
		return c.config.FailureDomains[index].Name
	case "organisations":
		return c.config.Organisations[index].Name
	case "classes":
		return c.config.Classes[index].Name
	case "services":
		return c.config.Services[index].Name
	case "models":
		return c.config.Models[index].Name
	case "deployments":
		return c.config.Deployments[index].Name
	case "backend_servers":
		return c.config.BackendServers[index].Name
	default:
		return strconv.Itoa(index)
	}
}

// namedActionPath replaces the index of an action in a path within a service by its method and path.
func namedActionPath(path string, s policy.Service) string {
	list, index, rest, ok := splitIndex(path)
	if !ok {
		return path
	}
	a := s.Actions[index]
	return fmt.Sprintf("%s[%s %s]%s", list, a.Method, a.Path, rest)
}

// splitIndex splits a path such as "list[3].rest" into "list", 3 and ".rest".
func splitIndex(path string) (list string, index int, rest string, ok bool) {
	list, tail, found := strings.Cut(path, "[")
	digits, rest, closed := strings.Cut(tail, "]")
	index, err := strconv.Atoi(digits)
	return list, index, rest, found && closed && err == nil
}
