package api

// Paths of the operators' interface. All of them need HeaderToken.
const (
	PathAdminConfig   = "/v1/admin/config"         // GET ?revision; POST: submit.
	PathAdminHistory  = "/v1/admin/config/history" // GET ?limit.
	PathAdminDiff     = "/v1/admin/config/diff"    // GET ?from&to.
	PathAdminAudit    = "/v1/admin/audit"          // GET ?limit.
	PathAdminPrograms = "/v1/admin/programs"       // GET ?limit&after; GET and DELETE ?reason of /{id}.
	PathAdminBackends = "/v1/admin/backends"       // GET; POST ?reason of /{id}/drain.
)

// ProgramList is a page of programs in order of their ids.
type ProgramList struct {
	Programs []ProgramInfo `json:"programs"`
}

// BackendInfo describes a backend server, as one entry sees it, to operators.
type BackendInfo struct {
	ID             string `json:"id"`
	Address        string `json:"address"` // Of its sidecar.
	Kind           string `json:"kind"`    // "engine" or "service".
	Service        string `json:"service"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    string `json:"incarnation,omitempty"` // Of its sidecar; empty before the first exchange.
	ConfigRevision uint64 `json:"config_revision"`
	ChecksFence    bool   `json:"checks_fence"` // As operators declared it.
	Leaving        bool   `json:"leaving"`      // By the membership list or its own word.
	SeenMS         int64  `json:"seen_ms"`      // Unix time of the last exchange in milliseconds; 0 before the first.
	Load           Load   `json:"load"`
}

// BackendList lists backend servers in order of their ids.
type BackendList struct {
	Backends []BackendInfo `json:"backends"`
}
