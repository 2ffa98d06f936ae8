package api

import "encoding/json"

// Paths of the internal interface between processes.
const (
	PathCalls    = "/internal/v1/calls"    // POST: run or attach to a call; the answer is a stream of Event lines.
	PathSettle   = "/internal/v1/settle"   // POST: settle a call whose outcome the asker does not know.
	PathCancel   = "/internal/v1/cancel"   // POST: cancel a call.
	PathExchange = "/internal/v1/exchange" // POST: heartbeat between an entry and a sidecar.
	PathOrders   = "/internal/v1/orders"   // POST: an order to the sidecar's engine.
	PathDrain    = "/internal/v1/drain"    // POST: finish the calls under way, refuse new ones, then exit.
	PathForward  = "/internal/v1/forward"  // Prefix: a caller's request forwarded to the owner of its journal.
	PathPeers    = "/internal/v1/peers"    // POST: heartbeat between entries.
	PathConfig   = "/internal/v1/config"   // GET: the configuration in force at an entry.
	PathPrograms = "/internal/v1/programs" // GET: the programs in the journals that an entry owns.
	PathOwner    = "/internal/v1/owner"    // POST: run or attach to a call at the owner of its journal.
)

// HeaderCode is the HTTP header that carries the result code of an answer.
const HeaderCode = "X-Redwinggauge-Code"

// HeaderToken is the HTTP header that carries the token of operators and processes.
const HeaderToken = "X-Redwinggauge-Token"

// Fence identifies one ownership of a journal. Higher numbers depose lower ones.
type Fence struct {
	Journal int    `json:"journal"`
	Number  uint64 `json:"number"`
}

// Message is one chat message. Content stays raw so that a history is kept byte for byte.
type Message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content,omitempty"`
	Name       string          `json:"name,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// CallKind distinguishes model calls from service calls.
type CallKind string

// Kinds of calls.
const (
	KindModel   CallKind = "model"
	KindService CallKind = "service"
)

// CallRequest asks a sidecar to run a call on its backend server, or to attach to it when it already runs there.
type CallRequest struct {
	CallID  string   `json:"call_id"` // Program and seq; equal for every attempt.
	Attempt int      `json:"attempt"` // Raised by the owner for every new execution it allows.
	Program string   `json:"program"`
	Root    string   `json:"root"`
	Seq     uint64   `json:"seq"`
	Kind    CallKind `json:"kind"`
	Fence   Fence    `json:"fence"`
	// Offset is the index of the first event to send; earlier ones were received before.
	Offset int `json:"offset,omitempty"`

	Priority       int     `json:"priority"`              // Operators' priority; higher runs first.
	Attained       uint64  `json:"attained"`              // Tokens that the root program has used.
	CostFactor     float64 `json:"cost_factor,omitempty"` // Usual cost of the class's programs against others of the priority; 0 means 1.
	Idempotent     bool    `json:"idempotent"`            // Whether the call may be executed more than once.
	TimeoutMS      int64   `json:"timeout_ms"`            // Limit on the execution, in milliseconds; 0 means none.
	Incarnation    string  `json:"incarnation,omitempty"` // When set, only this incarnation of the sidecar may run the call.
	Fingerprint    string  `json:"fingerprint,omitempty"` // Digest of the request body, for counting crashes.
	Alone          bool    `json:"alone,omitempty"`       // The call must run with no other call beside it.
	ConfigRevision uint64  `json:"config_revision,omitempty"`

	Model *ModelCall   `json:"model,omitempty"`
	HTTP  *ServiceCall `json:"http,omitempty"`
}

// ModelCall is the model part of a CallRequest.
//
// The full prompt is the history followed by Messages. PrefixHash covers the history; when the sidecar does not hold
// that history it answers CodeHistoryMissing, which proves that nothing ran, and the entry resends it in History.
type ModelCall struct {
	Model      string          `json:"model"`
	History    []Message       `json:"history,omitempty"`
	Messages   []Message       `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	Params     json.RawMessage `json:"params,omitempty"`      // Remaining fields of the caller's body, passed on unchanged.
	ResumeText string          `json:"resume_text,omitempty"` // Answer text already delivered; the engine continues after it.
	PrefixHash string          `json:"prefix_hash,omitempty"`
	HoldMS     int64           `json:"hold_ms,omitempty"` // How long to hold the prefix after the call, in milliseconds.
}

// ServiceCall is the plain service part of a CallRequest.
type ServiceCall struct {
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"` // With query string, without leading slash.
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EventKind names the kind of an Event.
type EventKind string

// Kinds of events in the stream that answers a CallRequest.
const (
	EventStarted   EventKind = "started"   // Execution began at the backend server.
	EventDelta     EventKind = "delta"     // A piece of answer text.
	EventKeepAlive EventKind = "keepalive" // Nothing new; the sidecar is alive. Carries no offset.
	EventDone      EventKind = "done"      // The call ended with an outcome. Last event.
	EventError     EventKind = "error"     // The call ended with an error. Last event.
)

// Event is one line of the stream that answers a CallRequest.
type Event struct {
	Kind   EventKind `json:"kind"`
	Text   string    `json:"text,omitempty"`
	Result *Result   `json:"result,omitempty"` // Of EventDone.
	Error  *Error    `json:"error,omitempty"`  // Of EventError.
}

// Result is the outcome of a call that ran.
type Result struct {
	FinishReason string          `json:"finish_reason,omitempty"`
	ToolCalls    json.RawMessage `json:"tool_calls,omitempty"`
	Usage        Usage           `json:"usage"`
	Status       int             `json:"status,omitempty"` // HTTP status of a service's answer.
	ContentType  string          `json:"content_type,omitempty"`
	Body         []byte          `json:"body,omitempty"`
	Incarnation  string          `json:"incarnation,omitempty"` // Of the sidecar that ran the call.
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Total returns prompt and completion tokens.
func (u Usage) Total() int { return u.PromptTokens + u.CompletionTokens }

// SettleState is a sidecar's answer about a call.
type SettleState string

// Answers about a call.
const (
	SettleFinished SettleState = "finished" // The call ended; attach to read its outcome.
	SettleRunning  SettleState = "running"  // The call is queued or running; attach to it.
	SettleNever    SettleState = "never"    // The call never started here, and from now on never will.
	SettleGone     SettleState = "gone"     // Another incarnation was asked for: its calls are not known.
)

// SettleRequest asks a sidecar what became of a call.
type SettleRequest struct {
	CallID      string `json:"call_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	Fence       Fence  `json:"fence"`
}

// SettleResponse answers a SettleRequest.
type SettleResponse struct {
	State       SettleState `json:"state"`
	Incarnation string      `json:"incarnation"`
}

// CancelRequest asks a sidecar to end a call.
type CancelRequest struct {
	CallID  string `json:"call_id"`
	Attempt int    `json:"attempt,omitempty"` // Attempts up to this one that have not started never will.
	Fence   Fence  `json:"fence"`
}

// ExchangeRequest is an entry's heartbeat to a sidecar.
type ExchangeRequest struct {
	Entry          string    `json:"entry"`
	Incarnation    string    `json:"incarnation"`
	ConfigRevision uint64    `json:"config_revision"`
	Fences         []Fence   `json:"fences"`          // Journals that the entry owns.
	Renew          []string  `json:"renew,omitempty"` // Programs whose cache holds are renewed.
	Ended          []string  `json:"ended,omitempty"` // Programs that have ended: release their memory.
	HoldMS         int64     `json:"hold_ms,omitempty"`
	Suspects       []Suspect `json:"suspects,omitempty"`
}

// Suspect counts the backend servers that died while running a request body.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	// IDs names the crashes, so that reports of one crash by several processes count once. May be empty.
	IDs []string `json:"ids,omitempty"`
	// Cleared names crashes that a later lone run has shown not to be the body's.
	Cleared []string `json:"cleared,omitempty"`
}

// ExchangeResponse is the sidecar's answer to a heartbeat.
type ExchangeResponse struct {
	Sidecar        string    `json:"sidecar"`
	Incarnation    string    `json:"incarnation"`
	ConfigRevision uint64    `json:"config_revision"`
	Load           Load      `json:"load"`
	Held           []string  `json:"held,omitempty"`     // Programs of the request's journals whose prefix is cached here.
	Suspects       []Suspect `json:"suspects,omitempty"` // Fingerprints running when the backend server died.
	// Fences holds the higher numbers that the sidecar has seen of journals that the request names. When there are any,
	// the sidecar has not renewed or ended anything: the entry has been deposed from these journals.
	Fences []Fence `json:"fences,omitempty"`
	// OlderCalls are the calls begun under an earlier ownership of the journals in ExchangeRequest.Fences.
	OlderCalls []CallSummary `json:"older_calls,omitempty"`
}

// Load is a sidecar's first-hand view of its backend server.
type Load struct {
	Healthy       bool    `json:"healthy"`
	Draining      bool    `json:"draining"`
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	Slots         int     `json:"slots"`
	QueuedTokens  int     `json:"queued_tokens"`  // Prompt tokens waiting for prefill.
	PrefillRate   float64 `json:"prefill_rate"`   // Tokens per second.
	DecodeRate    float64 `json:"decode_rate"`    // Tokens per second and sequence.
	CacheCapacity int     `json:"cache_capacity"` // Tokens.
	CacheUsed     int     `json:"cache_used"`     // Tokens, with those kept only until the memory is needed.
	CacheHeld     int     `json:"cache_held"`     // Tokens of programs that run a call or have a lease.
	// Serving is what an engine serves; nil when it does not say or the backend server is a service.
	Serving *Serving `json:"serving,omitempty"`
}

// Serving is what an engine serves.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Changing bool     `json:"changing,omitempty"` // An order under way interrupts it: it takes no new calls.
}

// CreateRequest creates a program.
type CreateRequest struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Parent       string `json:"parent,omitempty"`
}

// ProgramInfo describes a program to callers and operators.
type ProgramInfo struct {
	ID           string `json:"id"`
	Root         string `json:"root"`
	Parent       string `json:"parent,omitempty"`
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	State        string `json:"state"` // "active" or "ended".
	NextSeq      uint64 `json:"next_seq"`
	CallsUsed    int    `json:"calls_used"`
	TokensUsed   int    `json:"tokens_used"`
	TokensBudget int    `json:"tokens_budget,omitempty"`
	Journal      int    `json:"journal"`
	Owner        string `json:"owner,omitempty"`
	CreatedMS    int64  `json:"created_ms"` // Unix time in milliseconds.
}

// OrderKind names an order to an engine.
type OrderKind string

// Orders to engines.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderSetRole     OrderKind = "set_role"
)

// OrderRequest is an order to an engine, given by the owner of journal 0.
type OrderRequest struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Argument string    `json:"argument"`
	Fence    Fence     `json:"fence"`
	// Number rises by one with every order. Under one fencing number a sidecar refuses an order below the highest one.
	Number uint64 `json:"number,omitempty"`
	// Incarnation, when set, names the only incarnation of the sidecar that may take the order.
	Incarnation string `json:"incarnation,omitempty"`
}

// CallSummary names a call that a sidecar holds.
type CallSummary struct {
	CallID  string      `json:"call_id"`
	Attempt int         `json:"attempt"`
	State   SettleState `json:"state"`
}

// OwnerCall asks the owner of a program's journal to run or attach to a call. The answer is a stream of Event lines.
type OwnerCall struct {
	Program string       `json:"program"`
	Seq     uint64       `json:"seq"`
	Digest  string       `json:"digest"` // Of the caller's body.
	Model   *ModelCall   `json:"model,omitempty"`
	HTTP    *ServiceCall `json:"http,omitempty"`
	// Delivered is the answer text that the caller has already read; the answer must continue it.
	Delivered string `json:"delivered,omitempty"`
	// WaitMS bounds the wait for earlier calls, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// PeerExchange is a heartbeat between entries; the answer has the same form.
type PeerExchange struct {
	Entry          string `json:"entry"`
	Incarnation    string `json:"incarnation"`
	Address        string `json:"address"`
	Leaving        bool   `json:"leaving,omitempty"`
	ConfigRevision uint64 `json:"config_revision"`
	// ConfigAgeMS is how long ago the revision was confirmed to be the newest, in milliseconds; negative: never.
	ConfigAgeMS int64     `json:"config_age_ms"`
	Fences      []Fence   `json:"fences,omitempty"` // Journals that the entry owns.
	Suspects    []Suspect `json:"suspects,omitempty"`
	// Programs counts the root programs in those journals by organisation.
	Programs map[string]int `json:"programs,omitempty"`
	// Packet is a packet of the membership protocol. An exchange that carries one says nothing else of the sender.
	Packet []byte `json:"packet,omitempty"`
}
