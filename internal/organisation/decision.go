package organisation

import "time"

// Decision is what is done with a call whose route requires a key.
type Decision int

// Values of Decision.
const (
	Accept  Decision = iota // The call is served.
	Confirm                 // The configuration is confirmed first, then it is decided again.
	Reject                  // What the call asks for is in no configuration up to its arrival.
	Unsure                  // The call is refused, as the configuration may be outdated.
)

const (
	// MaxAge is the age of the knowledge up to which keys are accepted without a check. Operators expect a removed key to be
	// refused 3 s after the configuration was acknowledged. Gateways usually confirm it every 0.75 to 1.25 s. It is older only where
	// neither the hub nor the key-value service answered for a while, or the process was suspended.
	MaxAge = 2500 * time.Millisecond
	// failureValidity is how long a failed check shows that the configuration cannot be confirmed now. It is longer than the time
	// between two checks, so that during an outage no call waits for another one.
	failureValidity = 2 * time.Second
)

// Policy says how long keys stay valid while the configuration cannot be confirmed.
type Policy struct {
	// Strict refuses all keys while the configuration has not been confirmed for Revocation. Otherwise known keys stay valid.
	Strict     bool
	Revocation time.Duration
}

// ConfirmInterval returns the age of the knowledge at which a process confirms it without a call that needs that.
func (p Policy) ConfirmInterval() time.Duration {
	if p.Strict {
		return min(max(p.Revocation/4, minConfirmInterval), confirmInterval)
	}
	return confirmInterval
}

const (
	confirmInterval    = 750 * time.Millisecond
	minConfirmInterval = 250 * time.Millisecond
)

// Situation is what a decision depends on.
type Situation struct {
	Known       bool // The configuration in force has a route for the call and the call's key.
	Arrived     time.Time
	Now         time.Time
	ConfirmedAt time.Time // Of the Knowledge, read before the configuration in force.
	FailedAt    time.Time // Of the Recheck.
	Checked     bool      // The call has already waited for a check, also if that failed.
}

// Decide returns what is done with a call.
func (p Policy) Decide(s Situation) Decision {
	never := s.ConfirmedAt.IsZero()
	if !s.Known {
		switch {
		case !never && !s.ConfirmedAt.Before(s.Arrived):
			return Reject
		case s.Checked:
			return Unsure
		}
		return Confirm
	}
	age := s.Now.Sub(s.ConfirmedAt)
	cannotConfirm := s.Checked || !s.FailedAt.IsZero() && s.Now.Sub(s.FailedAt) < failureValidity
	expired := p.Strict && age > p.Revocation
	switch {
	case never && s.Checked:
		return Unsure
	case never:
		return Confirm
	case age <= MaxAge && !expired:
		return Accept
	case !cannotConfirm:
		return Confirm
	case expired:
		return Unsure
	}
	return Accept
}
