// Package policy defines the configuration that operators submit and validates it. It stores the configuration's
// revisions and the audit trail in the key-value service, and tracks which revision a process must use.
//
// An Entry is the metadata of one revision. An entry process (package entry) serves callers and operators.
package policy

import "time"

// MaxConfigBytes is the maximum size of a configuration's JSON encoding, in bytes.
const MaxConfigBytes = 4 << 20

// Config is a configuration as operators declare it. Its lookup methods work only after Parse or Compile. From then on
// it must not be modified and is safe for concurrent use.
type Config struct {
	FailureDomains []FailureDomain `json:"failure_domains,omitempty" validate:"max=1024,dive"`
	Organisations  []Organisation  `json:"organisations" validate:"max=20000,dive"`
	Classes        []Class         `json:"classes" validate:"max=256,dive"`
	Services       []Service       `json:"services,omitempty" validate:"max=1024,dive"`
	Models         []Model         `json:"models,omitempty" validate:"max=1024,dive"`
	BackendServers []BackendServer `json:"backend_servers,omitempty" validate:"max=4096,dive"`
	Deployments    []Deployment    `json:"deployments,omitempty" validate:"max=1024,dive"`
	WeightStore    WeightStore     `json:"weight_store,omitzero"`
	Limits         Limits          `json:"limits,omitzero"`

	index index
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	Name   string `json:"name" validate:"name"`
	Region string `json:"region" validate:"name"`
}

// Organisation is a customer whose programs the system runs.
type Organisation struct {
	Name string `json:"name" validate:"name"`
	// MaxPrograms limits the number of the organisation's running programs. 0 means Limits.MaxPrograms.
	MaxPrograms int `json:"max_programs,omitempty" validate:"min=0,max=10000000"`
	// Budget supplies the components that a class leaves unset.
	Budget Budget `json:"budget,omitzero"`
}

// Class is a type of program with its priority and budget.
type Class struct {
	Name string `json:"name" validate:"name"`
	// Priority orders calls in the queues of backend servers. Calls with higher values run first.
	Priority int    `json:"priority" validate:"min=-1000,max=1000"`
	Budget   Budget `json:"budget,omitzero"`
	// IdleTimeoutMS is the time without calls, in milliseconds, after which a program is ended. 0 means
	// Limits.IdleTimeoutMS.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty" validate:"min=0,max=2592000000"`
}

// IdleTimeout returns IdleTimeoutMS as a duration. 0 means Limits.IdleTimeoutMS.
func (c Class) IdleTimeout() time.Duration { return milliseconds(c.IdleTimeoutMS) }

// Budget limits the resources of a program and all its descendants together. A component of 0 is unset.
type Budget struct {
	Calls  int   `json:"calls,omitempty" validate:"min=0,max=1000000000"`
	Tokens int   `json:"tokens,omitempty" validate:"min=0,max=1000000000000"`
	TimeMS int64 `json:"time_ms,omitempty" validate:"min=0,max=2592000000"` // Since the program's creation, in milliseconds.
}

// Time returns TimeMS as a duration.
func (b Budget) Time() time.Duration { return milliseconds(b.TimeMS) }

// withFallback returns b with its unset components taken from fallback.
func (b Budget) withFallback(fallback Budget) Budget {
	if b.Calls == 0 {
		b.Calls = fallback.Calls
	}
	if b.Tokens == 0 {
		b.Tokens = fallback.Tokens
	}
	if b.TimeMS == 0 {
		b.TimeMS = fallback.TimeMS
	}
	return b
}

// BackendKind is the type of the backend servers that execute a service's calls.
type BackendKind string

// Kinds of backend servers. The values are those of the platform's membership list.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Service is a service that programs can call, with the rules for its actions.
type Service struct {
	Name string `json:"name" validate:"name"`
	// Kind is the kind of the service's backend servers. Empty means BackendService.
	Kind BackendKind `json:"kind,omitempty" validate:"omitempty,oneof=engine service"`
	// TimeoutMS is the maximum execution time of one call, in milliseconds. 0 means Limits.TimeoutMS.
	TimeoutMS int64    `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
	Actions   []Action `json:"actions,omitempty" validate:"max=1024,dive"`
}

// Action is a rule for calls to a service. It applies to calls whose method and path match.
type Action struct {
	// Method is an HTTP method, or "*" for any method.
	Method string `json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE OPTIONS *"`
	// Path is a pattern. "*" matches one segment; "**" at the end matches any number of remaining segments.
	Path string `json:"path" validate:"required,max=512"`
	// Idempotent states that executing the action more than once is safe.
	Idempotent bool `json:"idempotent"`
	// Retry permits automatic retries of failed calls. It requires Idempotent.
	Retry bool `json:"retry,omitempty"`
	// TimeoutMS is the maximum execution time of one call, in milliseconds. 0 means the service's timeout.
	TimeoutMS int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
}

// Model is a language model that engines serve.
type Model struct {
	Name string `json:"name" validate:"name"`
	// MaxTokens is the limit on generated tokens for calls that do not set one.
	MaxTokens int `json:"max_tokens" validate:"min=1,max=10000000"`
	// Context is the size of the context window, prompt and answer together, in tokens. 0 means unknown.
	Context int `json:"context,omitempty" validate:"min=0,max=100000000"`
	// TimeoutMS is the maximum execution time of one call, in milliseconds. 0 means Limits.TimeoutMS.
	TimeoutMS int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
}

// Timeout returns TimeoutMS as a duration. 0 means Limits.TimeoutMS.
func (m Model) Timeout() time.Duration { return milliseconds(m.TimeoutMS) }

// BackendServer declares properties of the backend servers whose names match.
type BackendServer struct {
	// Name is a name from the membership list, or a name prefix followed by "*".
	Name string `json:"name" validate:"required,max=128"`
	// ChecksFence states that the backend servers reject orders with an outdated fencing number.
	ChecksFence bool `json:"checks_fence"`
}

// Limits holds the defaults and limits that apply system-wide. A field of 0 takes its value from DefaultLimits.
type Limits struct {
	Budget        Budget `json:"budget,omitzero"`                                           // Supplies the components that neither the class nor the organisation sets.
	MaxPrograms   int    `json:"max_programs,omitempty" validate:"min=0,max=10000000"`      // Running programs of one organisation.
	IdleTimeoutMS int64  `json:"idle_timeout_ms,omitempty" validate:"min=0,max=2592000000"` // Of a program, in milliseconds.
	TimeoutMS     int64  `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`        // Of one call, in milliseconds.
}

// IdleTimeout returns the default idle timeout of a program.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

// Timeout returns the default timeout of one call.
func (l Limits) Timeout() time.Duration { return milliseconds(l.TimeoutMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
