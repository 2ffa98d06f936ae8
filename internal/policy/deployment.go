package policy

import "fmt"

// defaultFetchesPerMinute holds when operators do not declare the weight store's rate.
const defaultFetchesPerMinute = 6

// EngineRole is the part of a model call that an engine carries out.
type EngineRole string

// Roles of engines.
const (
	RoleMixed   EngineRole = "mixed"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// Deployment says which engines serve a model.
type Deployment struct {
	// Name is the name of a declared model.
	Name string `json:"name" validate:"name"`
	// Version is the version of its weights; empty means the weight store's default.
	Version string `json:"version,omitempty" validate:"max=63"`
	// Adapters are loaded on every replica.
	Adapters []Adapter `json:"adapters,omitempty" validate:"max=64,dive"`
	// Role is the role of every replica; empty leaves it alone.
	Role     EngineRole `json:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	Replicas []Replicas `json:"replicas" validate:"max=1024,dive"`
}

// Adapter is an adapter of a model.
type Adapter struct {
	Name string `json:"name" validate:"name"`
}

// Replicas says how many engines of a failure domain serve a model.
type Replicas struct {
	FailureDomain string `json:"failure_domain" validate:"name"`
	// Min is the number of engines at any load.
	Min int `json:"min" validate:"min=0,max=10000"`
	// Max is the number of engines under high load; 0 means Min.
	Max int `json:"max,omitempty" validate:"min=0,max=10000"`
}

// WeightStore says what operators know of the platform's weight store.
type WeightStore struct {
	// FetchesPerMinute limits the orders that read the weight store; 0 means 6.
	FetchesPerMinute int `json:"fetches_per_minute,omitempty" validate:"min=0,max=60000"`
}

// deployments checks the rules that join a deployment to the rest of the configuration.
func (e *Errors) deployments(c *Config) {
	models, domains := make(map[string]bool), make(map[string]bool)
	for _, m := range c.Models {
		models[m.Name] = true
	}
	for _, d := range c.FailureDomains {
		domains[d.Name] = true
	}
	for i, d := range c.Deployments {
		at := fmt.Sprintf("deployments[%d]", i)
		if !models[d.Name] {
			e.add(at+".name", "%q is not a declared model", d.Name)
		}
		unique(e, at+".adapters", d.Adapters, func(a Adapter) string { return a.Name })
		e.replicas(at, d.Replicas, domains)
	}
}

func (e *Errors) replicas(at string, list []Replicas, domains map[string]bool) {
	seen := make(map[string]bool)
	for i, r := range list {
		here := fmt.Sprintf("%s.replicas[%d]", at, i)
		if !domains[r.FailureDomain] {
			e.add(here+".failure_domain", "%q is not a declared failure domain", r.FailureDomain)
		}
		if seen[r.FailureDomain] {
			e.add(here+".failure_domain", "%q is given twice", r.FailureDomain)
		}
		seen[r.FailureDomain] = true
		if r.Max != 0 && r.Max < r.Min {
			e.add(here+".max", "%d is below min, which is %d", r.Max, r.Min)
		}
	}
}
