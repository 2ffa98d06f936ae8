package peers

// DomainCalls is the number of calls of a plain service in progress between two failure domains, which may be the same.
type DomainCalls struct {
	Service string `json:"s"`
	From    string `json:"f"` // Of the gateway that serves the callers.
	To      string `json:"t"` // Of the servers.
	Calls   int    `json:"c"`
}

// DomainLoads holds the calls of all members except one. It is missing in the digest of a hub that does not collect them.
type DomainLoads struct {
	Calls []DomainCalls `json:"c,omitempty"`
}
