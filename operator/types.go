package operator

import "time"

// Organisation is a customer whose programs the system runs.
type Organisation struct {
	Name string
	// MaxPrograms limits the number of the organisation's running programs. 0 means Limits.MaxPrograms.
	MaxPrograms int
	// Budget supplies the components that a class leaves unset.
	Budget Budget
}

// Class is a type of program with its priority and budget.
type Class struct {
	Name string
	// Priority orders calls in the queues of backend servers. Calls with higher values run first. The range is -1000 to
	// 1000.
	Priority int
	Budget   Budget
	// IdleTimeout is the time without calls after which a program is ended. 0 means Limits.IdleTimeout.
	IdleTimeout time.Duration
}

// Budget limits the resources of a program and all its descendants together. A component of 0 is unset.
type Budget struct {
	Calls  int
	Tokens int
	Time   time.Duration // Since the program's creation.
}

// Service is a service that programs call through the system. Its backend servers are plain services, not engines.
type Service struct {
	Name string
	// Timeout is the maximum execution time of one call. 0 means Limits.Timeout.
	Timeout time.Duration
	// Actions are the rules for calls to the service. The rule with the most specific pattern applies. A call that matches
	// no rule is treated as not idempotent and is executed at most once.
	Actions []Action
}

// Action is a rule for calls to a service. It applies to calls whose method and path match.
type Action struct {
	Method     string        // An HTTP method, or "*" for any method.
	Path       string        // A pattern. "*" matches one segment; "**" at the end matches any number of remaining segments.
	Idempotent bool          // Executing the action more than once is safe.
	Retry      bool          // Permits automatic retries of failed calls. Requires Idempotent.
	Timeout    time.Duration // Maximum execution time of one call; 0 means Service.Timeout.
}

// Idempotent returns a rule for an action that can safely be executed more than once.
func Idempotent(method, path string) Action {
	return Action{Method: method, Path: path, Idempotent: true}
}

// NonIdempotent returns a rule for an action that is executed at most once.
func NonIdempotent(method, path string) Action {
	return Action{Method: method, Path: path}
}

// WithRetry returns a copy of the rule with Retry set.
func (a Action) WithRetry() Action {
	a.Retry = true
	return a
}

// WithTimeout returns a copy of the rule with the given maximum execution time of one call.
func (a Action) WithTimeout(d time.Duration) Action {
	a.Timeout = d
	return a
}

// Model is a language model that engines serve.
type Model struct {
	Name      string
	MaxTokens int           // Limit on generated tokens for calls that do not set one.
	Context   int           // Size of the context window, prompt and answer together, in tokens; 0 means unknown.
	Timeout   time.Duration // Maximum execution time of one call; 0 means Limits.Timeout.
}

// Deployment declares how many engines serve a model, and with which weights, adapters and role.
type Deployment struct {
	Model    string   // Name of a declared model.
	Version  string   // Version of the weights; empty means the weight store's default version.
	Adapters []string // Names of the adapters that every replica loads.
	Role     string   // "mixed", "prefill" or "decode"; empty leaves the engines' current roles unchanged.
	Replicas []Replicas
}

// Replicas declares how many engines of one failure domain serve a model.
type Replicas struct {
	FailureDomain string
	Min           int // Number of engines that serve the model at any load.
	Max           int // Maximum number of engines, reached under high load; 0 means Min.
}

// Limits holds the defaults and limits that apply system-wide. A field of 0 takes the system's default.
type Limits struct {
	Budget      Budget        // Supplies the components that neither the class nor the organisation sets.
	MaxPrograms int           // Running programs of one organisation.
	IdleTimeout time.Duration // Of a program.
	Timeout     time.Duration // Of one call.
}
