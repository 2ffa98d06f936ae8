// Package policy holds the operators' configuration: its rules, its chain of revisions in the key-value service, the
// audit trail, and the revision that a process serves under.
package policy

import "time"

// MaxConfigBytes is the largest accepted configuration as JSON, in bytes.
const MaxConfigBytes = 4 << 20

// Config is one configuration as operators declare it. Parse and Compile make its lookups usable; it is immutable from
// then on and safe for concurrent use.
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

// FailureDomain is a set of VMs that may fail together.
type FailureDomain struct {
	Name   string `json:"name" validate:"name"`
	Region string `json:"region" validate:"name"`
}

// Organisation is a customer whose programs the system runs.
type Organisation struct {
	Name string `json:"name" validate:"name"`
	// MaxPrograms limits the organisation's programs under way; 0 means Limits.MaxPrograms.
	MaxPrograms int `json:"max_programs,omitempty" validate:"min=0,max=10000000"`
	// Budget gives the components that a class leaves at 0.
	Budget Budget `json:"budget,omitzero"`
}

// Class is a kind of program with its priority and budget.
type Class struct {
	Name string `json:"name" validate:"name"`
	// Priority orders the queues of backend servers; higher runs first.
	Priority int    `json:"priority" validate:"min=-1000,max=1000"`
	Budget   Budget `json:"budget,omitzero"`
	// IdleTimeoutMS ends a program that has issued no call for that long, in milliseconds; 0 means the default.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty" validate:"min=0,max=2592000000"`
}

// IdleTimeout returns the idle timeout as a duration; 0 means Limits.IdleTimeoutMS.
func (c Class) IdleTimeout() time.Duration { return milliseconds(c.IdleTimeoutMS) }

// Budget limits what a program, with all its descendants, may use. A component of 0 is not set.
type Budget struct {
	Calls  int   `json:"calls,omitempty" validate:"min=0,max=1000000000"`
	Tokens int   `json:"tokens,omitempty" validate:"min=0,max=1000000000000"`
	TimeMS int64 `json:"time_ms,omitempty" validate:"min=0,max=2592000000"` // Since creation, in milliseconds.
}

// Time returns the budget of time as a duration.
func (b Budget) Time() time.Duration { return milliseconds(b.TimeMS) }

// or returns b with its unset components taken from fallback.
func (b Budget) or(fallback Budget) Budget {
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

// BackendKind is the kind of the backend servers behind a service.
type BackendKind string

// Kinds of backend servers, as in the platform's membership list.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Service is a service that programs may call, with the rules of its actions.
type Service struct {
	Name string `json:"name" validate:"name"`
	// Kind is the kind of its backend servers; empty means BackendService.
	Kind BackendKind `json:"kind,omitempty" validate:"omitempty,oneof=engine service"`
	// TimeoutMS limits the execution of one call, in milliseconds; 0 means the default.
	TimeoutMS int64    `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
	Actions   []Action `json:"actions,omitempty" validate:"max=1024,dive"`
}

// Action is a rule for the calls of a service whose method and path match.
type Action struct {
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE OPTIONS *"`
	// Path is a pattern: "*" stands for one segment, "**" at the end for any rest.
	Path string `json:"path" validate:"required,max=512"`
	// Idempotent says that the action may be executed more than once.
	Idempotent bool `json:"idempotent"`
	// Retry allows the system to execute a failed call again by itself. It needs Idempotent.
	Retry bool `json:"retry,omitempty"`
	// TimeoutMS limits the execution, in milliseconds; 0 means the service's timeout.
	TimeoutMS int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"name" validate:"name"`
	// MaxTokens is the limit on generated tokens when a call names none.
	MaxTokens int `json:"max_tokens" validate:"min=1,max=10000000"`
	// Context is the largest prompt and answer together, in tokens; 0 means unknown.
	Context int `json:"context,omitempty" validate:"min=0,max=100000000"`
	// TimeoutMS limits the execution of one call, in milliseconds; 0 means the default.
	TimeoutMS int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
}

// Timeout returns the timeout of one call; 0 means Limits.TimeoutMS.
func (m Model) Timeout() time.Duration { return milliseconds(m.TimeoutMS) }

// BackendServer says what operators know of backend servers whose name matches.
type BackendServer struct {
	// Name is the member's name, or a prefix of names followed by "*".
	Name string `json:"name" validate:"required,max=128"`
	// ChecksFence says that the backend server refuses an order with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
}

// Limits holds the defaults and limits that apply to everything. A field of 0 takes the value of DefaultLimits.
type Limits struct {
	Budget        Budget `json:"budget,omitzero"`                                           // When neither class nor organisation sets a component.
	MaxPrograms   int    `json:"max_programs,omitempty" validate:"min=0,max=10000000"`      // Under way, of one organisation.
	IdleTimeoutMS int64  `json:"idle_timeout_ms,omitempty" validate:"min=0,max=2592000000"` // In milliseconds.
	TimeoutMS     int64  `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`        // Of one call, in milliseconds.
}

// IdleTimeout returns the default idle timeout.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

// Timeout returns the default timeout of one call.
func (l Limits) Timeout() time.Duration { return milliseconds(l.TimeoutMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
