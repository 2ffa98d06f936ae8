package peers

// TurnNeeds is what the choice among engines of unequal speed depends on.
type TurnNeeds struct {
	Program string `json:"p,omitempty"` // Distinct between organisations; empty if the turn belongs to none.
	LeftMS  int64  `json:"l,omitempty"` // Milliseconds until the program should be finished; 0 if unknown.
	Overdue bool   `json:"o,omitempty"` // That time has passed.
	Hint    int    `json:"h,omitempty"` // The caller's estimate of the output tokens; 0 if not given.
	Max     int    `json:"m,omitempty"` // Limit for the output tokens.
}

// TurnTimes are the times of a turn at its engine.
type TurnTimes struct {
	FirstMS  float64 `json:"f,omitempty"` // From sending to the first event.
	OutputMS float64 `json:"o,omitempty"` // From the first to the last event.
	Tokens   int     `json:"n,omitempty"` // Output tokens after the first event.
}

// SpeedSample is the mean of the logarithms of the times of a member's calls at one run of a backend server since its last report.
type SpeedSample struct {
	Service string  `json:"v"`
	Server  string  `json:"s"`
	Born    int64   `json:"b,omitempty"`
	Kind    int     `json:"k,omitempty"` // A speed.Kind.
	Log     float64 `json:"l,omitempty"`
	Load    float64 `json:"d,omitempty"` // Mean calls per slot that the member believed the server to have.
	Count   float64 `json:"n"`
}

// SpeedReport is a member's part in what the hub learns of the speeds of backend servers.
type SpeedReport struct {
	Hash    uint64        `json:"h,omitempty"` // Of the last SpeedDigest that the member has got; 0 if none.
	Samples []SpeedSample `json:"s,omitempty"`
}

// SpeedDigest is what the hub believes of the services whose backend servers are of unequal speed.
type SpeedDigest struct {
	Hash uint64 `json:"h"` // Of Services.
	// Services is missing if the member has those with this hash.
	Services []ServiceSpeed `json:"v,omitempty"`
}

// ServiceSpeed holds the usual times at the servers of a service, in milliseconds; 0 if unknown.
type ServiceSpeed struct {
	Service   string        `json:"v"`
	PrefillMS float64       `json:"p,omitempty"` // Of a prompt token.
	OutputMS  float64       `json:"o,omitempty"` // Of an output token.
	CallMS    float64       `json:"c,omitempty"` // Of a call.
	Servers   []ServerSpeed `json:"s,omitempty"` // Those that deviate.
}

// ServerSpeed is by how much one run of a backend server deviates from the usual times: logarithms of the ratios, by speed.Kind.
type ServerSpeed struct {
	Server string     `json:"s"`
	Born   int64      `json:"b,omitempty"`
	Logs   [3]float64 `json:"l"`
}
