package schedule

import (
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Reason says why a server, or every server, was rejected.
type Reason int

// Reasons, in the order in which they are reported when servers were rejected for different ones: the last one wins.
const (
	ReasonNone           Reason = iota // Not rejected.
	ReasonUnknownService               // No server has the model or service.
	ReasonUnhealthy                    // The server is lost or reports that it is unhealthy.
	ReasonLeaving                      // The server is leaving or draining.
	ReasonTried                        // An earlier attempt used the server.
	ReasonOverloaded                   // The estimated wait exceeds the limit.
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonUnknownService:
		return "no backend server has the model or service"
	case ReasonUnhealthy:
		return "unhealthy"
	case ReasonLeaving:
		return "leaving"
	case ReasonTried:
		return "already tried"
	case ReasonOverloaded:
		return "estimated wait above the limit"
	default:
		return fmt.Sprintf("Reason(%d)", int(r))
	}
}

// NoServerError says why no server was chosen.
type NoServerError struct {
	Service string
	Reason  Reason
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server for %q: %s", e.Service, e.Reason)
}

// Code returns the result code that the caller is given.
func (e *NoServerError) Code() api.Code {
	switch e.Reason {
	case ReasonUnknownService:
		return api.CodeUnknownService
	case ReasonOverloaded:
		return api.CodeOverloaded
	default:
		return api.CodeUnavailable
	}
}
