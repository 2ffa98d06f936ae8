package policy

import "fmt"

// defaultFetchesPerMinute applies when the configuration does not set WeightStore.FetchesPerMinute.
const defaultFetchesPerMinute = 6

// EngineRole is the phase of a model call that an engine executes.
type EngineRole string

// Roles of engines.
const (
	RoleMixed   EngineRole = "mixed"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// Deployment declares how many engines serve a model, and with which weights, adapters and role.
type Deployment struct {
	// Name is the name of a declared model.
	Name string `json:"name" validate:"name"`
	// Version is the version of the model's weights. Empty means the weight store's default version.
	Version string `json:"version,omitempty" validate:"max=63"`
	// Adapters lists the adapters that every replica loads.
	Adapters []Adapter `json:"adapters,omitempty" validate:"max=64,dive"`
	// Role is the role of every replica. Empty leaves the engines' current roles unchanged.
	Role     EngineRole `json:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	Replicas []Replicas `json:"replicas" validate:"max=1024,dive"`
}

// Adapter is a model adapter that engines load in addition to the base weights.
type Adapter struct {
	Name string `json:"name" validate:"name"`
}

// Replicas declares how many engines of one failure domain serve a model.
type Replicas struct {
	FailureDomain string `json:"failure_domain" validate:"name"`
	// Min is the number of engines that serve the model at any load.
	Min int `json:"min" validate:"min=0,max=10000"`
	// Max is the maximum number of engines, reached under high load. 0 means Min.
	Max int `json:"max,omitempty" validate:"min=0,max=10000"`
}

// WeightStore declares properties of the platform's weight store.
type WeightStore struct {
	// FetchesPerMinute limits the rate of orders that make engines read the weight store. 0 means 6.
	FetchesPerMinute int `json:"fetches_per_minute,omitempty" validate:"min=0,max=60000"`
}

// checkDeployments checks the references from deployments to models and failure domains, the names of adapters, and the
// numbers of replicas.
func (e *Errors) checkDeployments(c *Config) {
	models, domains := make(map[string]bool), make(map[string]bool)
	for _, m := range c.Models {
		models[m.Name] = true
	}
	for _, d := range c.FailureDomains {
		domains[d.Name] = true
	}
	for i, d := range c.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		if !models[d.Name] {
			e.add(path+".name", "%q is not a declared model", d.Name)
		}
		checkUniqueNames(e, path+".adapters", d.Adapters, func(a Adapter) string { return a.Name })
		e.checkReplicas(path, d.Replicas, domains)
	}
}

// checkReplicas checks the replicas of one deployment. domains holds the names of the declared failure domains.
func (e *Errors) checkReplicas(path string, list []Replicas, domains map[string]bool) {
	seen := make(map[string]bool)
	for i, r := range list {
		replicaPath := fmt.Sprintf("%s.replicas[%d]", path, i)
		if !domains[r.FailureDomain] {
			e.add(replicaPath+".failure_domain", "%q is not a declared failure domain", r.FailureDomain)
		}
		if seen[r.FailureDomain] {
			e.add(replicaPath+".failure_domain", "%q is listed more than once", r.FailureDomain)
		}
		seen[r.FailureDomain] = true
		if r.Max != 0 && r.Max < r.Min {
			e.add(replicaPath+".max", "%d is less than min, which is %d", r.Max, r.Min)
		}
	}
}
