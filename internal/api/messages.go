package api

import "encoding/json"

// Paths of the internal HTTP interface between entries and sidecars.
const (
	PathCalls    = "/internal/v1/calls"    // POST CallRequest: run a call at a sidecar or attach to it; the response is a stream of Event lines.
	PathSettle   = "/internal/v1/settle"   // POST SettleRequest: find out what became of a call at a sidecar.
	PathCancel   = "/internal/v1/cancel"   // POST CancelRequest: cancel a call at a sidecar.
	PathExchange = "/internal/v1/exchange" // POST ExchangeRequest: heartbeat from an entry to a sidecar.
	PathOrders   = "/internal/v1/orders"   // POST OrderRequest: an order to a sidecar's engine.
	PathDrain    = "/internal/v1/drain"    // POST: tell a sidecar to refuse new calls, finish those under way and exit.
	PathForward  = "/internal/v1/forward"  // Path prefix of a caller's request that an entry forwards to the owner of the program's journal.
	PathPeers    = "/internal/v1/peers"    // POST PeerExchange: heartbeat between entries.
	PathConfig   = "/internal/v1/config"   // GET: the configuration in force at an entry.
	PathPrograms = "/internal/v1/programs" // GET: the programs in the journals that an entry owns.
	PathOwner    = "/internal/v1/owner"    // POST OwnerCall: run or attach to a call at the entry that owns its journal.
)

// HeaderCode is the HTTP header that carries the result code of a response.
const HeaderCode = "X-Redwinggauge-Code"

// HeaderToken is the HTTP header that carries an operator's token or the token that processes share.
const HeaderToken = "X-Redwinggauge-Token"

// Fence is the fencing token of one ownership of a journal. A process that has seen a higher number for the journal
// refuses requests with a lower one, so that a former owner can no longer act.
type Fence struct {
	Journal int    `json:"journal"`
	Number  uint64 `json:"number"`
}

// Message is one chat message. Content and ToolCalls are raw JSON, so that a history is kept byte for byte.
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

// CallRequest asks a sidecar to run a call on its backend server, or to attach to the call if it already runs there.
type CallRequest struct {
	CallID  string   `json:"call_id"` // Program id and seq; the same for every attempt.
	Attempt int      `json:"attempt"` // Incremented by the owner of the journal for every new execution that it permits.
	Program string   `json:"program"`
	Root    string   `json:"root"` // Root program of the tree of programs and sub-agents that the program belongs to.
	Seq     uint64   `json:"seq"`  // Number of the call within its program, from 1.
	Kind    CallKind `json:"kind"`
	Fence   Fence    `json:"fence"`
	// Offset is the index of the first event to send. The entry has already received the earlier ones.
	Offset int `json:"offset,omitempty"`

	Priority       int     `json:"priority"`              // Priority of the program's class, set by operators; higher runs first.
	Attained       uint64  `json:"attained"`              // Attained service: tokens that the root program and its sub-agents have used.
	CostFactor     float64 `json:"cost_factor,omitempty"` // Usual cost of the class's programs relative to others of the same priority; 0 means 1.
	Idempotent     bool    `json:"idempotent"`            // Whether the call may be executed more than once.
	TimeoutMS      int64   `json:"timeout_ms"`            // Limit on the execution time in milliseconds; 0 means none.
	Incarnation    string  `json:"incarnation,omitempty"` // If set, only this incarnation (run) of the sidecar may run the call.
	Fingerprint    string  `json:"fingerprint,omitempty"` // Digest of the request body; crashes of backend servers are counted by it.
	Alone          bool    `json:"alone,omitempty"`       // The backend server must run no other call at the same time.
	ConfigRevision uint64  `json:"config_revision,omitempty"`

	Model *ModelCall   `json:"model,omitempty"`
	HTTP  *ServiceCall `json:"http,omitempty"`
}

// ModelCall is the model part of a CallRequest.
//
// The full prompt is the history followed by Messages. PrefixHash is the hash of the history. A sidecar that does not hold
// this history responds with CodeHistoryMissing, which proves that the call did not run. The entry then sends the call
// again with the history in History.
type ModelCall struct {
	Model      string          `json:"model"`
	History    []Message       `json:"history,omitempty"`
	Messages   []Message       `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	Params     json.RawMessage `json:"params,omitempty"`      // Other fields of the caller's body, passed to the engine unchanged.
	ResumeText string          `json:"resume_text,omitempty"` // Answer text that earlier attempts have generated; the engine continues after it.
	PrefixHash string          `json:"prefix_hash,omitempty"`
	HoldMS     int64           `json:"hold_ms,omitempty"` // Time to hold the prefix in the engine's cache after the call, in milliseconds.
}

// ServiceCall is the part of a CallRequest for a service, which is any HTTP backend server other than an engine.
type ServiceCall struct {
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"` // Includes the query string; has no leading slash.
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EventKind names the kind of an Event.
type EventKind string

// Kinds of events in the stream that answers a CallRequest.
const (
	EventStarted   EventKind = "started"   // The backend server began to execute the call.
	EventDelta     EventKind = "delta"     // A piece of answer text.
	EventKeepAlive EventKind = "keepalive" // Shows that the sender is alive. Not counted in offsets.
	EventDone      EventKind = "done"      // The call ended with a result. Last event of the stream.
	EventError     EventKind = "error"     // The call ended with an error. Last event of the stream.
)

// Event is one line of the stream that answers a CallRequest.
type Event struct {
	Kind   EventKind `json:"kind"`
	Text   string    `json:"text,omitempty"`   // Set for EventDelta.
	Result *Result   `json:"result,omitempty"` // Set for EventDone.
	Error  *Error    `json:"error,omitempty"`  // Set for EventError.
}

// Result is the result of a call that ran.
type Result struct {
	FinishReason string          `json:"finish_reason,omitempty"`
	ToolCalls    json.RawMessage `json:"tool_calls,omitempty"`
	Usage        Usage           `json:"usage"`
	Status       int             `json:"status,omitempty"` // HTTP status of a service's response.
	ContentType  string          `json:"content_type,omitempty"`
	Body         []byte          `json:"body,omitempty"`
	Incarnation  string          `json:"incarnation,omitempty"` // Incarnation of the sidecar that ran the call.
}

// Usage counts the tokens of a model call, as OpenAI responses do.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Total returns the sum of prompt and completion tokens.
func (u Usage) Total() int { return u.PromptTokens + u.CompletionTokens }

// SettleState is what a sidecar knows about a call.
type SettleState string

// States of a call at a sidecar.
const (
	SettleFinished SettleState = "finished" // The call ended. Its outcome can be read by attaching to it.
	SettleRunning  SettleState = "running"  // The call is queued or running. It can be attached to.
	SettleNever    SettleState = "never"    // The attempt has not started here, and the sidecar will refuse it from now on.
	SettleGone     SettleState = "gone"     // The request is for another incarnation of the sidecar, whose calls are unknown.
)

// SettleRequest asks a sidecar what became of a call whose outcome the entry does not know. An attempt that has not
// started will never start after this.
type SettleRequest struct {
	CallID      string `json:"call_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	Fence       Fence  `json:"fence"`
}

// SettleResponse is the response to a SettleRequest.
type SettleResponse struct {
	State       SettleState `json:"state"`
	Incarnation string      `json:"incarnation"`
}

// CancelRequest asks a sidecar to cancel a call.
type CancelRequest struct {
	CallID  string `json:"call_id"`
	Attempt int    `json:"attempt,omitempty"` // Attempts up to this one that have not started are refused from now on; 0 means none.
	Fence   Fence  `json:"fence"`
}

// ExchangeRequest is an entry's heartbeat to a sidecar.
type ExchangeRequest struct {
	Entry          string    `json:"entry"`             // Id of the entry.
	Incarnation    string    `json:"incarnation"`       // Incarnation (run) of the entry.
	ConfigRevision uint64    `json:"config_revision"`   // Newest configuration revision that the entry knows of.
	Fences         []Fence   `json:"fences"`            // Ownerships of journals that the entry holds.
	Renew          []string  `json:"renew,omitempty"`   // Programs whose prefix the engine is to hold for another HoldMS.
	Ended          []string  `json:"ended,omitempty"`   // Programs whose prefix the engine is to release from its cache.
	HoldMS         int64     `json:"hold_ms,omitempty"` // Lease of the renewed holds in milliseconds; 0 means the sidecar's default.
	Suspects       []Suspect `json:"suspects,omitempty"`
}

// Suspect counts the crashes of backend servers while they ran a certain request body, which may be their cause.
type Suspect struct {
	Fingerprint string `json:"fingerprint"` // Digest of the request body.
	Crashes     int    `json:"crashes"`
	// IDs identifies the crashes, so that a crash that several processes report is counted once. May be empty.
	IDs []string `json:"ids,omitempty"`
	// Cleared contains the ids of crashes that the body did not cause, as it later ran alone without a crash.
	Cleared []string `json:"cleared,omitempty"`
}

// ExchangeResponse is a sidecar's response to a heartbeat.
type ExchangeResponse struct {
	Sidecar        string    `json:"sidecar"`
	Incarnation    string    `json:"incarnation"`
	ConfigRevision uint64    `json:"config_revision"`
	Load           Load      `json:"load"`
	Held           []string  `json:"held,omitempty"`     // Programs of the request's journals whose prefix the engine holds in its cache.
	Suspects       []Suspect `json:"suspects,omitempty"` // Request bodies that were running when a backend server crashed.
	// Fences holds the higher fencing numbers that the sidecar has seen for journals in the request. The entry no longer
	// owns these journals. If there are any, the sidecar has not renewed or released any prefix.
	Fences []Fence `json:"fences,omitempty"`
	// OlderCalls are calls that began under an earlier ownership of the journals in ExchangeRequest.Fences and that no
	// later owner has asked for.
	OlderCalls []CallSummary `json:"older_calls,omitempty"`
}

// Load describes the state and the load of a backend server, as reported by its sidecar.
type Load struct {
	Healthy       bool    `json:"healthy"`
	Draining      bool    `json:"draining"`
	Running       int     `json:"running"`        // Calls that run.
	Queued        int     `json:"queued"`         // Calls that wait in the sidecar's queue.
	Slots         int     `json:"slots"`          // Calls that the backend server may run at a time.
	QueuedTokens  int     `json:"queued_tokens"`  // Prompt tokens that wait for prefill.
	PrefillRate   float64 `json:"prefill_rate"`   // Prompt tokens per second.
	DecodeRate    float64 `json:"decode_rate"`    // Output tokens per second of each sequence.
	CacheCapacity int     `json:"cache_capacity"` // Size of the prefix cache in tokens.
	CacheUsed     int     `json:"cache_used"`     // Tokens in the cache, including those that may be evicted.
	CacheHeld     int     `json:"cache_held"`     // Tokens of programs that run a call or whose prefix is held under a lease.
	// Serving says what an engine serves. It is nil for a service and for an engine that does not report it.
	Serving *Serving `json:"serving,omitempty"`
}

// Serving says what an engine serves: a version of a model, its adapters, and the engine's role.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`     // "mixed", "prefill" or "decode".
	Changing bool     `json:"changing,omitempty"` // The engine executes an order that interrupts serving and takes no new calls.
}

// CreateRequest asks an entry to create a program.
type CreateRequest struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Parent       string `json:"parent,omitempty"` // Program whose sub-agent the new program becomes; empty for a root program.
}

// ProgramInfo describes a program to callers and operators.
type ProgramInfo struct {
	ID           string `json:"id"`
	Root         string `json:"root"`
	Parent       string `json:"parent,omitempty"`
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	State        string `json:"state"`    // "active" or "ended".
	NextSeq      uint64 `json:"next_seq"` // Number of the program's next call.
	CallsUsed    int    `json:"calls_used"`
	TokensUsed   int    `json:"tokens_used"`
	TokensBudget int    `json:"tokens_budget,omitempty"` // Limit on the tokens of the program's tree; 0 means none.
	Journal      int    `json:"journal"`                 // Journal that stores the program.
	Owner        string `json:"owner,omitempty"`         // Entry that owns the journal.
	CreatedMS    int64  `json:"created_ms"`              // Unix time in milliseconds.
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders to engines.
const (
	OrderLoadModel   OrderKind = "load_model"   // The argument is a model, or a model and its version as "model@version".
	OrderLoadAdapter OrderKind = "load_adapter" // The argument is an adapter.
	OrderSetVersion  OrderKind = "set_version"  // The argument is a version of the engine's model.
	OrderSetRole     OrderKind = "set_role"     // The argument is a role, as in Serving.Role.
)

// OrderRequest asks a sidecar to execute an order on its engine. Only the owner of journal 0 sends orders.
type OrderRequest struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Argument string    `json:"argument"` // Its meaning depends on Kind.
	Fence    Fence     `json:"fence"`
	// Number increases by one with every order. A sidecar refuses an order whose number is below the highest one that it
	// has seen under the same fencing number.
	Number uint64 `json:"number,omitempty"`
	// Incarnation, if set, is the only incarnation of the sidecar that may execute the order.
	Incarnation string `json:"incarnation,omitempty"`
}

// CallSummary describes a call that a sidecar knows.
type CallSummary struct {
	CallID  string      `json:"call_id"`
	Attempt int         `json:"attempt"`
	State   SettleState `json:"state"`
}

// OwnerCall asks the entry that owns a program's journal to run or attach to a call. The response is a stream of Event
// lines.
type OwnerCall struct {
	Program string       `json:"program"`
	Seq     uint64       `json:"seq"`
	Digest  string       `json:"digest"` // Digest of the caller's method, path and body; a resent request must have the same.
	Model   *ModelCall   `json:"model,omitempty"`
	HTTP    *ServiceCall `json:"http,omitempty"`
	// Delivered is the answer text that the caller has already received. The answer must continue it.
	Delivered string `json:"delivered,omitempty"`
	// WaitMS limits the wait for the program's earlier calls, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// PeerExchange is a heartbeat between entries. Request and response have the same type.
type PeerExchange struct {
	Entry          string `json:"entry"`
	Incarnation    string `json:"incarnation"`
	Address        string `json:"address"` // Address at which other entries reach the sender, host:port.
	Leaving        bool   `json:"leaving,omitempty"`
	ConfigRevision uint64 `json:"config_revision"`
	// ConfigAgeMS is the time since the revision was last confirmed to be the newest, in milliseconds; negative if it
	// never was.
	ConfigAgeMS int64     `json:"config_age_ms"`
	Fences      []Fence   `json:"fences,omitempty"` // Ownerships of journals that the entry holds.
	Suspects    []Suspect `json:"suspects,omitempty"`
	// Programs is the number of root programs in those journals by organisation.
	Programs map[string]int `json:"programs,omitempty"`
	// Packet is a packet of the membership protocol. A message with a packet leaves all fields about the sender's state
	// empty.
	Packet []byte `json:"packet,omitempty"`
}
