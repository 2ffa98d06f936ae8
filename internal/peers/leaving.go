package peers

// LeavingServer is a backend server that has announced in an answer that it leaves.
type LeavingServer struct {
	Server  string `json:"s"`
	Born    int64  `json:"b,omitempty"` // Start of the run that leaves, in Unix milliseconds; 0 if unknown.
	Address string `json:"a,omitempty"` // Of that run.
	AgeMS   int64  `json:"t,omitempty"` // Time since a member first heard it, in milliseconds.
}

// LeavingServers holds the announcements that a member knows. They are sent only to a member that knows other ones, as its last
// message told: announcements are kept for long.
type LeavingServers struct {
	Hash    uint64          `json:"h"`
	Servers []LeavingServer `json:"l,omitempty"`
}

// Known returns the hash of the announcements; 0 if there is none.
func (l *LeavingServers) Known() uint64 {
	if l == nil {
		return 0
	}
	return l.Hash
}
