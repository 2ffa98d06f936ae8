// Package peers lets the gateways of a deployment share what each would otherwise ask the key-value service for. One of
// them, the hub, writes and watches for all; any can take its place. Nothing depends on the hub but cost: what it writes
// is written under the same conditions as by the process itself, and what it reports carries the service's revisions.
package peers

import (
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Member is one gateway.
type Member struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"` // New at each start.
	Address       string  `json:"address"`     // host:port for its peers.
	FailureDomain string  `json:"failure_domain"`
	Capacity      float64 `json:"capacity"`          // Share of a core; the hub is one with much.
	StartMS       int64   `json:"start_ms"`          // Unix milliseconds.
	StoreFresh    bool    `json:"store_fresh"`       // The service answers it.
	Leaving       bool    `json:"leaving,omitempty"` // It is about to stop: others go first as hub.
}

// ServerLoad is what a member has under way at one backend server.
type ServerLoad struct {
	Server  string `json:"s"`
	Calls   int    `json:"c"`
	Pending int    `json:"p,omitempty"` // Prompt tokens still to be read.
}

// ServerOutcomes counts how a member's calls ended at one backend server since its last report.
type ServerOutcomes struct {
	Server string `json:"s"`
	Served int    `json:"o,omitempty"`
	Failed int    `json:"f,omitempty"`
}

// Update brings a follower of a prefix up to date.
type Update struct {
	Revision int64              `json:"revision"`        // Of the service, up to which the follower is then current.
	Whole    bool               `json:"whole,omitempty"` // Events hold every key; others are gone.
	Events   []ports.WatchEvent `json:"events,omitempty"`
}

// Report is what a member tells the hub.
type Report struct {
	From Member `json:"from"`
	// Greeting says that the member only makes itself known: it is answered at once, with members alone.
	Greeting  bool             `json:"greeting,omitempty"`
	Revisions []int64          `json:"revisions"` // Up to which the member follows each prefix.
	Loads     []ServerLoad     `json:"loads,omitempty"`
	Outcomes  []ServerOutcomes `json:"outcomes,omitempty"`
	// Suspects are the request bodies whose crashes have changed since the last report.
	Suspects []schedule.CrashRecord `json:"suspects,omitempty"`
}

// Digest is what the hub answers.
type Digest struct {
	From    Member       `json:"from"`
	Members []Member     `json:"members"`
	Updates []Update     `json:"updates"`         // One for each prefix.
	Loads   []ServerLoad `json:"loads,omitempty"` // Of all other members together.
	// ReturnedMS is how long ago the service came back to the hub from an outage, in milliseconds; negative: long ago.
	ReturnedMS int64    `json:"returned_ms"`
	Ejected    []string `json:"ejected,omitempty"` // Backend servers that fail too many calls of all members.
	// Refused are the request bodies that have crashed too many backend servers to run again.
	Refused []schedule.CrashRecord `json:"refused,omitempty"`
}

// Operation is a write that a member asks another to do.
type Operation struct {
	Key         string `json:"key"`
	Value       []byte `json:"value"`
	Conditional bool   `json:"conditional,omitempty"`
	Expected    int64  `json:"expected,omitempty"` // Modification revision that the key must have, if conditional.
}

// Kinds of failures in answers.
const (
	failureUnavailable = "unavailable"
	failureAmbiguous   = "ambiguous"
)

// OperationResult answers an Operation.
type OperationResult struct {
	Revision int64           `json:"revision,omitempty"`
	Conflict *ports.KeyValue `json:"conflict,omitempty"` // The key as it stands, when the condition does not hold.
	Failure  string          `json:"failure,omitempty"`
}

// ReadResult answers a read.
type ReadResult struct {
	Item    ports.KeyValue `json:"item"`
	Failure string         `json:"failure,omitempty"`
}

// PlaceRequest asks the hub for a place for a call, and for tokens of its program's budget.
type PlaceRequest struct {
	Member        string         `json:"member"`
	FailureDomain string         `json:"domain"`
	Call          string         `json:"call"`
	Route         string         `json:"route"`
	Services      []string       `json:"services"` // The preferred one first.
	Tried         []string       `json:"tried,omitempty"`
	Prompt        []PromptPrefix `json:"prompt,omitempty"`
	PromptTokens  int            `json:"prompt_tokens,omitempty"`
	Program       string         `json:"program,omitempty"`
	Budget        int            `json:"budget,omitempty"` // Tokens of the whole program.
	Need          int            `json:"need,omitempty"`   // Tokens that the member lacks for the call.
	Progress      []CallProgress `json:"progress,omitempty"`
	Standing      int            `json:"standing,omitempty"`    // Of the call's claim while engines are full.
	Priority      int            `json:"priority,omitempty"`    // Operators'; 0 is the highest.
	AgeMS         int64          `json:"age_ms,omitempty"`      // Since the call arrived.
	HoldMS        int64          `json:"hold_ms,omitempty"`     // How long the answer may wait for room, in milliseconds.
	PatienceMS    int64          `json:"patience_ms,omitempty"` // How long the call may wait for room in all, in milliseconds.
}

// PromptPrefix stands for the first parts of a prompt; the digest is that of the last of them.
type PromptPrefix struct {
	Digest uint64 `json:"d"`
	Tokens int    `json:"t"` // Of those parts together.
}

// CallProgress tells the hub what became of a call that it has placed.
type CallProgress struct {
	Call    string `json:"c"`
	Started bool   `json:"s,omitempty"` // The prompt has been read.
	Ended   bool   `json:"e,omitempty"`
	Outcome int    `json:"o,omitempty"` // For the judgement of the server, when ended.
}

// PlaceResult answers a PlaceRequest.
type PlaceResult struct {
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`  // Empty: no server takes the call.
	Cached  int    `json:"cached,omitempty"`  // Prompt tokens that it is believed to hold.
	Calls   int    `json:"calls,omitempty"`   // Calls that it is believed to have had.
	Full    bool   `json:"full,omitempty"`    // The engine is full; ask again, or later if WaitMS is set.
	WaitMS  int64  `json:"wait_ms,omitempty"` // When the engine is expected to have room, if that is too late for the call.
	Spent   bool   `json:"spent,omitempty"`   // The budget does not hold the call.
	Failure string `json:"failure,omitempty"` // Why no tokens could be lent.
}

// progressRequest tells the hub of calls when there is none to place.
type progressRequest struct {
	Member   string         `json:"member"`
	Progress []CallProgress `json:"progress"`
}

// recallRequest asks for what a member holds of a program's budget.
type recallRequest struct {
	Program string `json:"program"`
}

// recallResult answers a recallRequest.
type recallResult struct {
	Tokens int `json:"tokens"`
}
