// Package httpapi serves the operators' interface to the configuration and the audit trail over HTTP.
package httpapi

import (
	"encoding/json"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// SubmitRequest asks for a configuration to take the place of revision Base.
type SubmitRequest struct {
	Config         json.RawMessage `json:"config"`
	Base           uint64          `json:"base"`
	Author         string          `json:"author,omitempty"` // Who says to submit it; recorded after the token's name.
	Reason         string          `json:"reason"`
	IdempotencyKey string          `json:"idempotency_key"`
}

// SubmitResponse names the accepted revision.
type SubmitResponse struct {
	Entry policy.Entry `json:"entry"`
}

// ConfigResponse is a revision with its configuration. Revision 0 has neither.
type ConfigResponse struct {
	Entry  policy.Entry    `json:"entry"`
	Config json.RawMessage `json:"config,omitempty"`
	// InForce is the revision that the answering entry serves under.
	InForce uint64 `json:"in_force"`
	// Confirmed is false when the key-value service did not answer, so that a newer revision may exist.
	Confirmed bool `json:"confirmed"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Entries []policy.Entry `json:"entries"`
}

// DiffResponse lists what changed between two revisions.
type DiffResponse struct {
	Changes []policy.Change `json:"changes"`
}

// AuditResponse lists audit events, newest first.
type AuditResponse struct {
	Events []policy.Event `json:"events"`
}
