// Package orders decides which orders engines get: to load a model or an adapter, to set a version, to change role. The
// Planner compares what operators declared with what engines serve and yields the next orders; it is pure, with the
// clock and randomness passed in. The Book is the durable record of the orders given and of their outcomes: the state
// machine of which journal 0 keeps the log, so that the next giver knows what its predecessor gave.
package orders

import (
	"slices"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// Order is an order to one engine.
type Order struct {
	Number   uint64        `json:"n"`  // Rises by one with every order, across givers.
	ID       string        `json:"id"` // Equal in every repetition of the order.
	Engine   string        `json:"engine"`
	Kind     api.OrderKind `json:"kind"`
	Argument string        `json:"arg"`
	Model    string        `json:"model"`  // Of the deployment that the order is for.
	Reason   string        `json:"reason"` // For the audit trail.
	Revision uint64        `json:"rev"`    // Of the configuration that the order follows.
}

// Fetches reports whether carrying the order out reads the weight store.
func (o Order) Fetches() bool { return o.Kind != api.OrderSetRole }

// interrupts reports whether the engine serves no calls while it carries the order out.
func (o Order) interrupts() bool { return o.Kind != api.OrderLoadAdapter }

// versionMark separates a model from its version in the argument of an order to load it.
const versionMark = "@"

// LoadArgument returns the argument of an order to load the model; version may be empty.
func LoadArgument(model, version string) string {
	if version == "" {
		return model
	}
	return model + versionMark + version
}

// ParseLoadArgument is the inverse of LoadArgument.
func ParseLoadArgument(argument string) (model, version string) {
	model, version, _ = strings.Cut(argument, versionMark)
	return model, version
}

// Engine is what the giver knows of one engine.
type Engine struct {
	ID            string
	FailureDomain string
	Serving       api.Serving
	Ready         bool // Its sidecar answers and it takes calls.
	Leaving       bool // It gets no orders and counts for no deployment.
	// Settled says that the report of what it serves is newer than the end of its last order.
	Settled bool
	Load    float64 // Calls running and queued, as a share of its slots.
}

// hasAdapter reports whether the engine has loaded the adapter.
func (e *Engine) hasAdapter(name string) bool { return slices.Contains(e.Serving.Adapters, name) }

// Targets are the deployments in force, by model.
type Targets map[string]policy.Deployment

// TargetsOf returns the deployments of a configuration.
func TargetsOf(c *policy.Config) Targets {
	out := make(Targets, len(c.Deployments))
	for _, d := range c.Deployments {
		out[d.Name] = d
	}
	return out
}

// Wanted reports whether the configuration still asks for what the order does.
func (t Targets) Wanted(o Order) bool {
	d, ok := t[o.Model]
	if !ok || mostReplicas(d) == 0 {
		return false
	}
	switch o.Kind {
	case api.OrderLoadModel:
		return o.Argument == LoadArgument(d.Name, d.Version)
	case api.OrderSetVersion:
		return o.Argument == d.Version
	case api.OrderSetRole:
		return o.Argument == string(d.Role)
	case api.OrderLoadAdapter:
		return slices.ContainsFunc(d.Adapters, func(a policy.Adapter) bool { return a.Name == o.Argument })
	default:
		return false
	}
}

func mostReplicas(d policy.Deployment) int {
	n := 0
	for _, r := range d.Replicas {
		n += max(r.Min, r.Max)
	}
	return n
}
