// Package httpapi implements the operators' HTTP interface to the configuration and the audit trail, and the exchange
// of configurations between processes.
package httpapi

import (
	"encoding/json"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// SubmitRequest is a request to replace the configuration of revision Base.
type SubmitRequest struct {
	Config         json.RawMessage `json:"config"`
	Base           uint64          `json:"base"`
	Author         string          `json:"author,omitempty"` // The author that the request states; recorded after the authenticated operator's name.
	Reason         string          `json:"reason"`
	IdempotencyKey string          `json:"idempotency_key"`
}

// SubmitResponse contains the accepted revision.
type SubmitResponse struct {
	Entry policy.Entry `json:"entry"`
}

// ConfigResponse is a revision with its configuration. For revision 0, the entry is empty and there is no
// configuration.
type ConfigResponse struct {
	Entry  policy.Entry    `json:"entry"`
	Config json.RawMessage `json:"config,omitempty"`
	// InForce is the revision that the responding entry process uses.
	InForce uint64 `json:"in_force"`
	// Confirmed is false if the key-value service did not respond, so that a newer revision may exist.
	Confirmed bool `json:"confirmed"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Entries []policy.Entry `json:"entries"`
}

// DiffResponse lists the changes between two revisions.
type DiffResponse struct {
	Changes []policy.Change `json:"changes"`
}

// AuditResponse lists audit events, newest first.
type AuditResponse struct {
	Events []policy.Event `json:"events"`
}
