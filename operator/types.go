package operator

import "time"

// Organisation is a customer whose programs the system runs.
type Organisation struct {
	Name string
	// MaxPrograms limits the organisation's programs under way; 0 means Limits.MaxPrograms.
	MaxPrograms int
	// Budget gives the components that a class leaves at 0.
	Budget Budget
}

// Class is a kind of program.
type Class struct {
	Name string
	// Priority orders the queues of backend servers; higher runs first. -1000 to 1000.
	Priority int
	Budget   Budget
	// IdleTimeout ends a program that has issued no call for that long; 0 means Limits.IdleTimeout.
	IdleTimeout time.Duration
}

// Budget limits what a program, with all its descendants, may use. A component of 0 is not set.
type Budget struct {
	Calls  int
	Tokens int
	Time   time.Duration // Since the program was created.
}

// Service is a plain service that programs call through the system.
type Service struct {
	Name string
	// Timeout limits the execution of one call; 0 means Limits.Timeout.
	Timeout time.Duration
	// Actions are the rules for its calls; the most specific pattern wins. A call that none matches counts as not
	// idempotent and is executed at most once.
	Actions []Action
}

// Action is a rule for the calls of a service whose method and path match.
type Action struct {
	Method     string // An HTTP method, or "*" for any.
	Path       string // A pattern: "*" stands for one segment, "**" at the end for any rest.
	Idempotent bool   // The action may be executed more than once.
	Retry      bool   // The system may execute a failed call again by itself. It needs Idempotent.
	Timeout    time.Duration
}

// Idempotent returns a rule for an action that may be executed more than once.
func Idempotent(method, path string) Action {
	return Action{Method: method, Path: path, Idempotent: true}
}

// NonIdempotent returns a rule for an action that is executed at most once.
func NonIdempotent(method, path string) Action {
	return Action{Method: method, Path: path}
}

// WithRetry returns the rule with Retry set.
func (a Action) WithRetry() Action {
	a.Retry = true
	return a
}

// WithTimeout returns the rule with another limit on the execution of one call.
func (a Action) WithTimeout(d time.Duration) Action {
	a.Timeout = d
	return a
}

// Model is a model that engines serve.
type Model struct {
	Name      string
	MaxTokens int           // Limit on generated tokens when a call names none.
	Context   int           // Largest prompt and answer together, in tokens; 0 means unknown.
	Timeout   time.Duration // Limits the execution of one call; 0 means Limits.Timeout.
}

// Deployment says which engines serve a model.
type Deployment struct {
	Model    string   // Name of a declared model.
	Version  string   // Of its weights; empty means the weight store's default.
	Adapters []string // Loaded on every replica.
	Role     string   // "mixed", "prefill" or "decode"; empty leaves the engines' role alone.
	Replicas []Replicas
}

// Replicas says how many engines of a failure domain serve a model.
type Replicas struct {
	FailureDomain string
	Min           int // Engines at any load.
	Max           int // Engines at most, under high load; 0 means Min.
}

// Limits holds defaults and limits that apply to everything. A field of 0 takes the system's default.
type Limits struct {
	Budget      Budget        // When neither class nor organisation sets a component.
	MaxPrograms int           // Under way, of one organisation.
	IdleTimeout time.Duration // Of a program.
	Timeout     time.Duration // Of one call.
}
