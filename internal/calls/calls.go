// Package calls holds the messages of callers whose bodies are opaque to the product: what a call says of itself, what a
// backend server's answer says, and how calls are refused.
package calls

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Prompts share parts; the last part belongs to the call or to its session.
type Part struct {
	ID     string
	Tokens int
}

// Call is one attempt of a caller. Its id is new with each attempt.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // Path and query as the caller sent them.
	Header http.Header
	Body   []byte

	Arrived time.Time
	Wait    time.Duration // How long the caller waits, from Arrived; 0 when it did not say.

	Program     string        // Empty for a call outside programs.
	Session     string        // One line of turns of the program.
	FinishIn    time.Duration // Time from Arrived in which the whole program should finish; 0 when unknown.
	Overdue     bool          // That time has passed.
	TokenBudget int           // Output tokens of all turns of the program; 0 means no budget.
	Previous    string        // Id of the turn that this turn continues.

	Model        string
	Prompt       []Part
	PromptTokens int
	MaxOutput    int    // Most output tokens.
	OutputHint   int    // The caller's estimate of the output tokens; 0 when it gave none.
	Affinity     string // Calls about the same object carry the same value.
	LastEvent    string // Id of the last event that the caller has; empty at the start of a stream.
}

// Deadline returns the time until which the caller waits, at most limit after the arrival (0: no limit).
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

// defaultWait bounds calls for which neither the caller nor the route names a time.
const defaultWait = 30 * time.Second

// Directives are what the product asks of a backend server beside the call itself.
type Directives struct {
	Server string        // Only the server with this id may run the call.
	Left   time.Duration // Time after which the answer is of no use.
	Resume string        // Last event that the caller has; empty at the start of a stream.
}

// Answer is what the head of a backend server's answer says of itself.
type Answer struct {
	CallID string // Call that it belongs to; empty when it does not say.
	NotRun bool   // The server states that it has not run the call.
	Sealed bool   // The server vouches for the body.
}

// CachedPart is one part of a prompt in an engine's cache.
type CachedPart struct {
	Part
	Model string
}

// Codec translates calls and answers from and to the messages of a platform.
type Codec interface {
	// DecodeCall reads what a request says of itself. The body is not read.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeCall returns the header with which the call goes to a backend server.
	EncodeCall(c *Call, d Directives) http.Header
	// DecodeAnswer reads the head of a backend server's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// EncodeAnswer copies the head of a backend server's answer for the caller.
	EncodeAnswer(to http.Header, from http.Header)
	// EncodeRefusal adds to an answer of the product's own when the caller may come back.
	EncodeRefusal(to http.Header, retryAfter time.Duration)
	// DecodeEvent returns the id of one event of a stream and its data.
	DecodeEvent(event []byte) (id string, data []byte)
	// CacheTarget returns the path and query at which an engine lists its cache.
	CacheTarget() string
	// DecodeCache reads such a list.
	DecodeCache(body []byte) ([]CachedPart, error)
}
