// Package peers is the protocol between the gateways of a deployment. It lets them share what each would otherwise request
// from the key-value service. One gateway, the hub, writes to the service and watches it for all; any gateway can become the
// hub. The hub only saves cost; correctness does not depend on it: it writes under the same conditions as the process itself
// would, and its updates carry the service's revisions.
package peers

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/streams"
)

// Member is one gateway of the deployment.
type Member struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"` // Differs for each start of the process.
	Address       string  `json:"address"`     // host:port on which it serves the other gateways.
	FailureDomain string  `json:"failure_domain"`
	Capacity      float64 `json:"capacity"`          // Share of a CPU core; the member with the most becomes the hub.
	StartMS       int64   `json:"start_ms"`          // Start of the process in Unix milliseconds.
	StoreFresh    bool    `json:"store_fresh"`       // The key-value service answers it.
	Leaving       bool    `json:"leaving,omitempty"` // It is about to stop; it becomes the hub only if no other member can.
}

// ServerLoad is the load that a member's calls in progress put on one backend server.
type ServerLoad struct {
	Server  string `json:"s"`
	Calls   int    `json:"c"`
	Pending int    `json:"p,omitempty"` // Prompt tokens that the server has not processed yet.
	Bytes   int64  `json:"b,omitempty"` // Bytes of large requests among the calls.
}

// ServerOutcomes counts the outcomes of a member's calls at one backend server since the member's last report.
type ServerOutcomes struct {
	Server string `json:"s"`
	Served int    `json:"o,omitempty"`
	Failed int    `json:"f,omitempty"`
	// Rejected counts the calls that the server of a plain service has not run for lack of capacity; only if callers present keys.
	Rejected int `json:"r,omitempty"`
}

// ServerLimit is what a backend server last said about the calls that it takes.
type ServerLimit struct {
	Server    string  `json:"s"`
	Born      int64   `json:"b,omitempty"` // Start of the server's run, in Unix milliseconds.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"` // Calls a second from all members together, if Limited.
	AgeMS     int64   `json:"a,omitempty"` // Time since then, in milliseconds.
}

// Update brings a follower of a prefix up to date.
type Update struct {
	Revision int64              `json:"revision"`        // Revision of the service up to which the update brings the follower.
	Whole    bool               `json:"whole,omitempty"` // Events holds all keys; the follower deletes any other key.
	Events   []ports.WatchEvent `json:"events,omitempty"`
}

// Report is a member's periodic report to the hub.
type Report struct {
	From Member `json:"from"`
	// Greeting means that the member only introduces itself. The answer comes immediately and holds only members.
	Greeting  bool             `json:"greeting,omitempty"`
	Roster    uint64           `json:"roster,omitempty"` // Hash of the members that the member has got from a hub; 0 if none.
	Revisions []int64          `json:"revisions"`        // Revision up to which the member's copy of each prefix is current.
	Loads     []ServerLoad     `json:"loads,omitempty"`
	Outcomes  []ServerOutcomes `json:"outcomes,omitempty"`
	Limits    []ServerLimit    `json:"limits,omitempty"` // What servers said to the member since its last report.
	// Suspects holds the crash records of request bodies that have changed since the last report.
	Suspects []schedule.CrashRecord `json:"suspects,omitempty"`
	// Leaving holds the servers that have announced that they leave; nil if there is none.
	Leaving *LeavingServers `json:"leaving,omitempty"`
	Speeds  *SpeedReport    `json:"speeds,omitempty"`
}

// Digest answers a Report.
type Digest struct {
	From    Member       `json:"from"`
	Roster  uint64       `json:"roster,omitempty"`  // Hash of the members.
	Members []Member     `json:"members,omitempty"` // Missing if the reporting member has the roster with this hash.
	Updates []Update     `json:"updates"`           // One for each prefix.
	Loads   []ServerLoad `json:"loads,omitempty"`   // Sums over the hub and all members except the reporting one.
	// ReturnedMS is the time since the hub's last outage of the key-value service ended, in milliseconds. It is negative if
	// that is too long ago to matter.
	ReturnedMS int64         `json:"returned_ms"`
	Ejected    []string      `json:"ejected,omitempty"` // Backend servers that get no calls, because they fail too many.
	Limits     []ServerLimit `json:"limits,omitempty"`  // Of all servers that have named one to any member.
	// Refused holds the crash records of request bodies that must not run again, because they have crashed too many backend
	// servers.
	Refused []schedule.CrashRecord `json:"refused,omitempty"`
	// Leaving holds the servers that have announced to any member that they leave; nil if there is none.
	Leaving *LeavingServers `json:"leaving,omitempty"`
	// Confirmed is missing if the configuration requires no keys, or has not been confirmed.
	Confirmed *Confirmation `json:"confirmed,omitempty"`
	// Listed says how recent the list of backend servers is, up to a revision in Version. It is missing if that is not known.
	Listed *Confirmation `json:"listed,omitempty"`
	// Programs is what the hub has learned of programs, so that the next hub knows it. It is missing if no organisation has a quota.
	Programs []ProgramProfile `json:"programs,omitempty"`
	Speeds   *SpeedDigest     `json:"speeds,omitempty"` // Missing if nothing is known or all servers are of the same speed.
	// Domains holds the calls between failure domains; nil if the hub does not place by them.
	Domains *DomainLoads `json:"domains,omitempty"`

	Sending *Sending `json:"-"` // Memory of Updates.
}

// Operation is a write of one key that a member requests from another.
type Operation struct {
	Key         string `json:"key"`
	Value       []byte `json:"value"`
	Conditional bool   `json:"conditional,omitempty"`
	Expected    int64  `json:"expected,omitempty"` // If Conditional: the key's modification revision (0: it does not exist).
}

// Values of the Failure fields of results. An empty value means success.
const (
	failureUnavailable = "unavailable"
	failureAmbiguous   = "ambiguous"
)

// OperationResult answers an Operation.
type OperationResult struct {
	Revision int64           `json:"revision,omitempty"`
	Conflict *ports.KeyValue `json:"conflict,omitempty"` // The current key, if the condition did not hold.
	Failure  string          `json:"failure,omitempty"`
}

// ReadResult answers a readRequest.
type ReadResult struct {
	Item    ports.KeyValue `json:"item"`
	Failure string         `json:"failure,omitempty"`
}

// ListResult answers a listRequest.
type ListResult struct {
	Page    ports.Page `json:"page"`
	Failure string     `json:"failure,omitempty"`
}

// PlaceRequest asks the hub to choose a backend server for a call, and to lend tokens of the program's budget.
type PlaceRequest struct {
	Member        string   `json:"member"`
	Incarnation   string   `json:"incarnation"` // Of the member.
	FailureDomain string   `json:"domain"`
	Call          string   `json:"call"`
	Route         string   `json:"route"`
	Services      []string `json:"services"`        // In order of preference.
	Tried         []string `json:"tried,omitempty"` // Servers that must not be chosen.
	Only          string   `json:"only,omitempty"`  // The only server that may be chosen, also if it was tried; empty if any may.
	// Origin is what began the stream that the call continues. Only servers of its version may be chosen.
	Origin       *streams.Origin `json:"origin,omitempty"`
	Prompt       []PromptPrefix  `json:"prompt,omitempty"`
	PromptTokens int             `json:"prompt_tokens,omitempty"`
	MaxOutput    int             `json:"max_output,omitempty"` // Limit for the output tokens; only if callers present keys.
	Bytes        int64           `json:"bytes,omitempty"`      // Size of the request if it is large.
	Program      string          `json:"program,omitempty"`
	Budget       int             `json:"budget,omitempty"` // Token budget of the whole program.
	Need         int             `json:"need,omitempty"`   // Budget tokens that the member needs for the call and does not hold.
	Progress     []CallProgress  `json:"progress,omitempty"`
	// Organisation is the one of the caller's key; empty if there is none. OrganisationPriority is its priority; 0 is the highest.
	Organisation         string `json:"organisation,omitempty"`
	OrganisationPriority int    `json:"organisation_priority,omitempty"`
	Standing             int    `json:"standing,omitempty"`    // The call's schedule.Standing in the queue of a full engine.
	Priority             int    `json:"priority,omitempty"`    // The route's priority, set by the operators; 0 is the highest.
	AgeMS                int64  `json:"age_ms,omitempty"`      // Time since the call arrived, in milliseconds.
	HoldMS               int64  `json:"hold_ms,omitempty"`     // Milliseconds for which the hub may delay its answer until an engine has capacity.
	PatienceMS           int64  `json:"patience_ms,omitempty"` // Milliseconds for which the call may wait for capacity in total.
	// Permit asks for a permit besides; nil if the call needs none or has one.
	Permit *PermitCall `json:"permit,omitempty"`
	// Turn is what the choice among engines of unequal speed depends on; missing if the member does not tell.
	Turn *TurnNeeds `json:"turn,omitempty"`
}

// PromptPrefix identifies the first parts of a prompt by the digest of the last of them.
type PromptPrefix struct {
	Digest uint64 `json:"d"`
	Tokens int    `json:"t"` // Sum over these parts.
}

// CallProgress reports the progress of a call to the hub that placed it.
type CallProgress struct {
	Call    string `json:"c"`
	Started bool   `json:"s,omitempty"` // The server has processed the prompt.
	Ended   bool   `json:"e,omitempty"`
	Outcome int    `json:"o,omitempty"` // Outcome at the server, for the server's health; valid if Ended is set.
	// Times are those of a turn that was served; missing if the member does not tell.
	Times *TurnTimes `json:"t,omitempty"`

	Queued time.Time `json:"-"` // When the member queued it.
}

// PlaceResult answers a PlaceRequest.
type PlaceResult struct {
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`  // Empty if no server is available for the call.
	Cached  int    `json:"cached,omitempty"`  // Estimate of the prompt tokens that the server has cached.
	Calls   int    `json:"calls,omitempty"`   // Estimate of the calls that the server had in progress.
	Full    bool   `json:"full,omitempty"`    // The engine is full; the member may ask again, or only later if WaitMS is set.
	WaitMS  int64  `json:"wait_ms,omitempty"` // Expected wait for capacity in milliseconds, if it is too long for the call.
	// Urgency is that by which the engine was chosen among engines of unequal speed; 0 if they are not told apart.
	Urgency float64 `json:"urgency,omitempty"`
	Spent   bool    `json:"spent,omitempty"`   // The rest of the program's budget is too small for the call.
	Failure string  `json:"failure,omitempty"` // Why the hub could not lend budget tokens.
	// Permit answers the request for a permit. If it is not granted or delays the call, no server was chosen. It is nil if the
	// member does not take itself for the hub.
	Permit *Permit `json:"permit,omitempty"`
	// BeyondShare means that WaitMS is too long because the caller's organisation has had its share of the capacity.
	BeyondShare bool `json:"beyond_share,omitempty"`
}

// progressRequest reports the progress of calls when no PlaceRequest carries it.
type progressRequest struct {
	Member   string         `json:"member"`
	Progress []CallProgress `json:"progress"`
}

// recallRequest asks a member to return the unused tokens that it holds of a program's budget.
type recallRequest struct {
	Program string `json:"program"`
}

// recallResult answers a recallRequest.
type recallResult struct {
	Tokens int `json:"tokens"`
}
