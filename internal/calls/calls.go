// Package calls defines calls whose bodies the gateway does not interpret: the attributes of a call, the attributes of a
// backend server's answer, and the Codec that translates them from and to a platform's messages.
package calls

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Different prompts share parts; only the last part is specific to the call or its session.
type Part struct {
	ID     string
	Tokens int
}

// Call is one attempt of a caller. Each attempt has a new ID.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // Path and query, unchanged from the caller's request.
	Header http.Header
	Body   []byte
	Key    string // Key of the caller's organisation; empty if none is given.

	Arrived time.Time
	Wait    time.Duration // How long the caller waits after Arrived; 0 if not given.

	Program     string        // Id of the program that the call belongs to; empty if none.
	Session     string        // Id of a sequence of turns within the program.
	FinishIn    time.Duration // Time from Arrived within which the whole program should finish; 0 if unknown.
	Overdue     bool          // The time in which the program should finish has passed.
	TokenBudget int           // Limit for the output tokens of all turns of the program; 0 means no budget.
	Previous    string        // Id of the turn that this turn continues.

	Model        string
	Prompt       []Part
	PromptTokens int
	MaxOutput    int    // Limit for the output tokens of this call.
	OutputHint   int    // The caller's estimate of the output tokens; 0 if not given.
	Affinity     string // The same for calls that concern the same object.
	LastEvent    string // Id of the last event that the caller has received; empty at the start of a stream.
	Resumes      string // Id of the call that brought the first event of the stream that this one takes up; empty if none.
}

// Deadline returns the time until which the caller waits, but at most limit after the arrival (0: no limit). If neither the
// caller nor limit gives a time, it is defaultWait after the arrival.
func (c *Call) Deadline(limit time.Duration) time.Time {
	wait := c.Wait
	if wait <= 0 || limit > 0 && limit < wait {
		wait = limit
	}
	if wait <= 0 {
		wait = defaultWait
	}
	return c.Arrived.Add(wait)
}

// defaultWait limits calls for which neither the caller nor the route gives a time.
const defaultWait = 30 * time.Second

// Directives are the gateway's instructions to a backend server, sent along with the call.
type Directives struct {
	Server   string        // Only the server with this id may run the call.
	TimeLeft time.Duration // Time until the call's deadline, after which the answer is of no use.
	Resume   string        // Id of the last event that the caller has received; empty at the start of a stream.
	// KeysInUse means that callers present keys. The server then sees no key, and as the organisation only Organisation.
	KeysInUse    bool
	Organisation string // Name of the organisation of the caller's key; empty if there is none.
}

// Answer holds the attributes in the head of a backend server's answer.
type Answer struct {
	CallID string // Id of the call that the answer belongs to; empty if not given.
	NotRun bool   // The server states that it has not run the call.
	Sealed bool   // The answer carries the server's seal, by which the server confirms the body.
	// Limit is the number of calls a second that the server takes from all gateways together; nil if it names no limit.
	Limit      *float64
	LimitError error // Why the limit that the server names cannot be used.
	Leaving    bool  // The server announces that it leaves.
	// Server is the id of the server that answered; empty if not given. It differs from the intended one if the address is reused.
	Server string
}

// CachedPart is a prompt part in an engine's cache, with the model that it is cached for.
type CachedPart struct {
	Part
	Model string
}

// Codec translates calls and answers from and to the HTTP messages of a platform.
type Codec interface {
	// DecodeCall returns the call that a request describes. It does not read the body.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeCall returns the header with which the call is sent to a backend server.
	EncodeCall(c *Call, d Directives) http.Header
	// DecodeAnswer returns the attributes in the head of a backend server's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// EncodeAnswer copies the headers of a backend server's answer that are meant for the caller.
	EncodeAnswer(to http.Header, from http.Header)
	// EncodeRefusal adds the time after which the caller may retry to the header of a refusal.
	EncodeRefusal(to http.Header, retryAfter time.Duration)
	// DecodeEvent returns the id and the data of one event of a stream.
	DecodeEvent(event []byte) (id string, data []byte)
	// CacheTarget returns the path and query at which an engine lists its cache.
	CacheTarget() string
	// DecodeCache returns the parts in a list of an engine's cache.
	DecodeCache(body []byte) ([]CachedPart, error)
}
