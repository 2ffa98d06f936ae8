// Package peers lets the gateways of a deployment share what each would otherwise ask the key-value service for. One of
// them, the hub, writes and watches for all; any can take its place. Nothing depends on the hub but cost: what it writes
// is written under the same conditions as by the process itself, and what it reports carries the service's revisions.
package peers

import (
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Member is one gateway.
type Member struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"` // New at each start.
	Address       string  `json:"address"`     // host:port for its peers.
	FailureDomain string  `json:"failure_domain"`
	Capacity      float64 `json:"capacity"`    // Share of a core; the hub is one with much.
	StartMS       int64   `json:"start_ms"`    // Unix milliseconds.
	StoreFresh    bool    `json:"store_fresh"` // The service answers it.
}

// ServerLoad is what a member has under way at one backend server.
type ServerLoad struct {
	Server  string `json:"s"`
	Calls   int    `json:"c"`
	Pending int    `json:"p,omitempty"` // Prompt tokens still to be read.
}

// Update brings a follower of a prefix up to date.
type Update struct {
	Revision int64              `json:"revision"`        // Of the service, up to which the follower is then current.
	Whole    bool               `json:"whole,omitempty"` // Events hold every key; others are gone.
	Events   []ports.WatchEvent `json:"events,omitempty"`
}

// Report is what a member tells the hub.
type Report struct {
	From      Member       `json:"from"`
	Revisions []int64      `json:"revisions"` // Up to which the member follows each prefix.
	Loads     []ServerLoad `json:"loads,omitempty"`
}

// Digest is what the hub answers.
type Digest struct {
	From    Member       `json:"from"`
	Members []Member     `json:"members"`
	Updates []Update     `json:"updates"`         // One for each prefix.
	Loads   []ServerLoad `json:"loads,omitempty"` // Of all other members together.
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

// loanRequest asks for tokens of a program's budget.
type loanRequest struct {
	Program string `json:"program"`
	Budget  int    `json:"budget"` // Tokens of the whole program.
	Most    int    `json:"most"`   // Most tokens of the next call.
}

// loan answers a loanRequest.
type loan struct {
	Tokens  int    `json:"tokens,omitempty"`
	Spent   bool   `json:"spent,omitempty"`
	Failure string `json:"failure,omitempty"`
}
