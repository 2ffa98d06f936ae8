package schedule

import (
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Reason is the reason for which one server, or all of them, were rejected.
type Reason int

// Reasons in ascending precedence: when servers were rejected for different reasons, the highest value is reported.
const (
	ReasonNone           Reason = iota // The server was not rejected.
	ReasonUnknownService               // No server has the model or service.
	ReasonUnhealthy                    // The server is unreachable or reports that it is unhealthy.
	ReasonLeaving                      // The server is leaving or draining.
	ReasonTried                        // An earlier attempt of the call was sent to the server.
	ReasonOverloaded                   // The estimated wait exceeds the limit.
)

// String returns a description of the reason.
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

// NoServerError is the error of a request for which no server was chosen.
type NoServerError struct {
	Service string
	Reason  Reason
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server for %q: %s", e.Service, e.Reason)
}

// Code returns the result code for the caller.
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
