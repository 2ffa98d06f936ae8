package api

// Paths of the operators' HTTP interface. Every request must carry an operator's token in HeaderToken.
const (
	PathAdminConfig   = "/v1/admin/config"         // GET ?revision; POST: submit a configuration.
	PathAdminHistory  = "/v1/admin/config/history" // GET ?limit.
	PathAdminDiff     = "/v1/admin/config/diff"    // GET ?from&to.
	PathAdminAudit    = "/v1/admin/audit"          // GET ?limit.
	PathAdminPrograms = "/v1/admin/programs"       // GET ?limit&after; /{id}: GET, DELETE ?reason.
	PathAdminBackends = "/v1/admin/backends"       // GET; /{id}/drain: POST ?reason.
)

// ProgramList is a page of programs, sorted by id.
type ProgramList struct {
	Programs []ProgramInfo `json:"programs"`
}

// BackendInfo describes a backend server to operators, as one entry sees it.
type BackendInfo struct {
	ID             string `json:"id"`
	Address        string `json:"address"` // Address of its sidecar, host:port.
	Kind           string `json:"kind"`    // "engine" or "service".
	Service        string `json:"service"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    string `json:"incarnation,omitempty"` // Incarnation of its sidecar; empty before the first heartbeat.
	ConfigRevision uint64 `json:"config_revision"`       // Newest configuration revision that its sidecar has reported.
	ChecksFence    bool   `json:"checks_fence"`          // Whether operators declared that it refuses orders with an outdated fencing number.
	Leaving        bool   `json:"leaving"`               // Whether the membership list or the server itself says that it is shutting down.
	SeenMS         int64  `json:"seen_ms"`               // Unix time of the last heartbeat in milliseconds; 0 before the first.
	Load           Load   `json:"load"`
}

// BackendList lists backend servers, sorted by id.
type BackendList struct {
	Backends []BackendInfo `json:"backends"`
}
