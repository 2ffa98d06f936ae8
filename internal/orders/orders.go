// Package orders decides which orders are sent to engines: to load a model or an adapter, to set a version, or to change the
// role. The Planner compares the deployments that operators declared with what engines serve, and returns the next orders.
// It does no I/O; time and random numbers are passed in. The Book records which orders are in progress and the outcome of
// the last order of each engine. It is a state machine whose log is journal 0. The entry that owns journal 0 sends the
// orders, and a new owner learns from the log which orders the previous one has sent.
package orders

import (
	"slices"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// Order is a command to one engine.
type Order struct {
	Number   uint64        `json:"n"`  // Increases by one with every order, also across owners of the journal.
	ID       string        `json:"id"` // The same in every delivery of the order.
	Engine   string        `json:"engine"`
	Kind     api.OrderKind `json:"kind"`
	Argument string        `json:"arg"`
	Model    string        `json:"model"`  // Model of the deployment that the order is for.
	Reason   string        `json:"reason"` // Recorded in the audit trail.
	Revision uint64        `json:"rev"`    // Revision of the configuration that led to the order.
}

// Fetches reports whether executing the order reads from the weight store.
func (o Order) Fetches() bool { return o.Kind != api.OrderSetRole }

// interrupts reports whether the engine serves no calls while it executes the order.
func (o Order) interrupts() bool { return o.Kind != api.OrderLoadAdapter }

// versionSeparator separates model and version in the argument of an order to load a model.
const versionSeparator = "@"

// LoadArgument returns the argument of an order to load the model. version may be empty.
func LoadArgument(model, version string) string {
	if version == "" {
		return model
	}
	return model + versionSeparator + version
}

// ParseLoadArgument is the inverse of LoadArgument.
func ParseLoadArgument(argument string) (model, version string) {
	model, version, _ = strings.Cut(argument, versionSeparator)
	return model, version
}

// Engine is the known state of one engine.
type Engine struct {
	ID            string
	FailureDomain string
	Serving       api.Serving
	Ready         bool // Its sidecar answers, and it takes calls or is executing an order.
	Leaving       bool // It is shutting down: it gets no orders and is no replica of any deployment.
	// ReportCurrent is set if the report of what it serves was requested after the outcome of its last order was known.
	ReportCurrent bool
	Load          float64 // Number of running and queued calls divided by the number of its slots.
}

// hasAdapter reports whether the engine has loaded the adapter.
func (e *Engine) hasAdapter(name string) bool { return slices.Contains(e.Serving.Adapters, name) }

// Targets contains the declared deployments by model.
type Targets map[string]policy.Deployment

// TargetsOf returns the deployments of the configuration.
func TargetsOf(c *policy.Config) Targets {
	out := make(Targets, len(c.Deployments))
	for _, d := range c.Deployments {
		out[d.Name] = d
	}
	return out
}

// Wanted reports whether the order still matches the deployments.
func (t Targets) Wanted(o Order) bool {
	d, ok := t[o.Model]
	if !ok || maxReplicas(d) == 0 {
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

// maxReplicas returns the declared maximum number of replicas, summed over the failure domains.
func maxReplicas(d policy.Deployment) int {
	n := 0
	for _, r := range d.Replicas {
		n += max(r.Min, r.Max)
	}
	return n
}
