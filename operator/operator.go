// Package operator declares a redwinggauge configuration in Go and prints it as the JSON document that
// `redwinggauge config submit` takes:
//
//	err := operator.New().
//		Organisation(operator.Organisation{Name: "example", MaxPrograms: 100}).
//		Class(operator.Class{Name: "drafting", Priority: 10}).
//		Print(os.Stdout)
//
// Nothing is checked until Build or Print, which report every fault at once with the path of its field.
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

// Configuration is a configuration under construction. It is not safe for concurrent use.
type Configuration struct {
	config policy.Config
	faults []Fault
}

// Fault is one thing that is wrong with a configuration.
type Fault struct {
	Path    string // Of the field, such as "services[archive].actions[GET /slips/*].retry".
	Message string
}

// Error lists everything that is wrong with a configuration.
type Error struct{ Faults []Fault }

// Error implements error with one line for each fault.
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

// FailureDomains adds failure domains of a region.
func (c *Configuration) FailureDomains(region string, names ...string) *Configuration {
	for _, name := range names {
		c.config.FailureDomains = append(c.config.FailureDomains, policy.FailureDomain{Name: name, Region: region})
	}
	return c
}

// Organisation adds an organisation.
func (c *Configuration) Organisation(o Organisation) *Configuration {
	at := fmt.Sprintf("organisation %q", o.Name)
	c.config.Organisations = append(c.config.Organisations, policy.Organisation{
		Name:        o.Name,
		MaxPrograms: o.MaxPrograms,
		Budget:      c.budget(at, o.Budget),
	})
	return c
}

// Class adds a class.
func (c *Configuration) Class(class Class) *Configuration {
	at := fmt.Sprintf("class %q", class.Name)
	c.config.Classes = append(c.config.Classes, policy.Class{
		Name:          class.Name,
		Priority:      class.Priority,
		Budget:        c.budget(at, class.Budget),
		IdleTimeoutMS: c.milliseconds(at+", idle timeout", class.IdleTimeout),
	})
	return c
}

// Service adds a plain service with its action rules.
func (c *Configuration) Service(s Service) *Configuration {
	at := fmt.Sprintf("service %q", s.Name)
	out := policy.Service{
		Name:      s.Name,
		Kind:      policy.BackendService,
		TimeoutMS: c.milliseconds(at+", timeout", s.Timeout),
	}
	for _, a := range s.Actions {
		out.Actions = append(out.Actions, policy.Action{
			Method:     a.Method,
			Path:       a.Path,
			Idempotent: a.Idempotent,
			Retry:      a.Retry,
			TimeoutMS:  c.milliseconds(fmt.Sprintf("%s, timeout of %s %s", at, a.Method, a.Path), a.Timeout),
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

// Deploy declares which engines serve a model.
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

// WeightStoreRate sets how many orders a minute may read the weight store.
func (c *Configuration) WeightStoreRate(fetchesPerMinute int) *Configuration {
	c.config.WeightStore.FetchesPerMinute = fetchesPerMinute
	return c
}

// ChecksFence declares that backend servers refuse orders with an old fencing number. A name is a member's name, or a
// prefix of names followed by "*". Backend servers that are not declared count as not checking.
func (c *Configuration) ChecksFence(names ...string) *Configuration { return c.fence(true, names) }

// IgnoresFence declares that backend servers take orders whatever their fencing number. It makes exceptions from a
// prefix in ChecksFence.
func (c *Configuration) IgnoresFence(names ...string) *Configuration { return c.fence(false, names) }

func (c *Configuration) fence(checks bool, names []string) *Configuration {
	for _, name := range names {
		c.config.BackendServers = append(c.config.BackendServers, policy.BackendServer{Name: name, ChecksFence: checks})
	}
	return c
}

// Limits sets the defaults and limits that apply to everything.
func (c *Configuration) Limits(l Limits) *Configuration {
	c.config.Limits = policy.Limits{
		Budget:        c.budget("limits", l.Budget),
		MaxPrograms:   l.MaxPrograms,
		IdleTimeoutMS: c.milliseconds("limits, idle timeout", l.IdleTimeout),
		TimeoutMS:     c.milliseconds("limits, timeout", l.Timeout),
	}
	return c
}

// Build checks the configuration and returns it as JSON. Its lists are in order of their names, so that equal
// configurations give equal bytes however they were declared. Its error is an *Error.
func (c *Configuration) Build() ([]byte, error) {
	c.sort()
	faults := slices.Clone(c.faults)
	for _, f := range c.config.Validate() {
		faults = append(faults, Fault{Path: c.named(f.Path), Message: f.Message})
	}
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	data, err := c.config.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := policy.Parse(data); err != nil {
		return nil, fmt.Errorf("check the printed configuration: %w", err)
	}
	return data, nil
}

// Print writes what Build returns.
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

func (c *Configuration) sort() {
	byName(c.config.FailureDomains, func(d policy.FailureDomain) string { return d.Name })
	byName(c.config.Organisations, func(o policy.Organisation) string { return o.Name })
	byName(c.config.Classes, func(c policy.Class) string { return c.Name })
	byName(c.config.Services, func(s policy.Service) string { return s.Name })
	byName(c.config.Models, func(m policy.Model) string { return m.Name })
	byName(c.config.Deployments, func(d policy.Deployment) string { return d.Name })
	for _, d := range c.config.Deployments {
		byName(d.Adapters, func(a policy.Adapter) string { return a.Name })
		byName(d.Replicas, func(r policy.Replicas) string { return r.FailureDomain })
	}
	byName(c.config.BackendServers, func(b policy.BackendServer) string { return b.Name })
	for _, s := range c.config.Services {
		byName(s.Actions, func(a policy.Action) string { return a.Path + " " + a.Method })
	}
}

func byName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func (c *Configuration) budget(at string, b Budget) policy.Budget {
	return policy.Budget{Calls: b.Calls, Tokens: b.Tokens, TimeMS: c.milliseconds(at+", budget of time", b.Time)}
}

// milliseconds notes a fault for a duration that milliseconds cannot express.
func (c *Configuration) milliseconds(at string, d time.Duration) int64 {
	if d%time.Millisecond != 0 {
		c.faults = append(c.faults, Fault{Path: at, Message: fmt.Sprintf("%v is not a whole number of milliseconds", d)})
	}
	return d.Milliseconds()
}

// named puts names in place of the indexes in a path, as lists are sorted and their declared order is lost.
func (c *Configuration) named(path string) string {
	list, index, rest, ok := splitIndex(path)
	if !ok {
		return path
	}
	name := c.nameOf(list, index)
	if list == "services" {
		rest = namedAction(rest, c.config.Services[index])
	}
	return fmt.Sprintf("%s[%s]%s", list, name, rest)
}

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

func namedAction(path string, s policy.Service) string {
	list, index, rest, ok := splitIndex(path)
	if !ok {
		return path
	}
	a := s.Actions[index]
	return fmt.Sprintf("%s[%s %s]%s", list, a.Method, a.Path, rest)
}

// splitIndex splits "list[3].rest" into its parts.
func splitIndex(path string) (list string, index int, rest string, ok bool) {
	list, tail, found := strings.Cut(path, "[")
	digits, rest, closed := strings.Cut(tail, "]")
	index, err := strconv.Atoi(digits)
	return list, index, rest, found && closed && err == nil
}
