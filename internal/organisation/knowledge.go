// Package organisation decides whether the organisation of a caller's key may use the system, as far as the process knows the
// operators' configuration. A key is refused only on knowledge that is as recent as the call, because configurations with new keys
// reach the processes at different times.
package organisation

import (
	"sync"
	"time"
)

// Knowledge holds how recent the configuration in force at this process is known to be. It is safe for concurrent use.
//
// A process puts a configuration in force before it confirms it. Who reads ConfirmedAt first and then the configuration in force
// therefore has a configuration that is at least as recent.
type Knowledge struct {
	started time.Time

	mu          sync.Mutex
	confirmedAt time.Time     // Guarded by mu.
	changed     chan struct{} // Guarded by mu. Closed and replaced when confirmedAt changes.
}

// NewKnowledge returns the knowledge of a process that started at the given time.
func NewKnowledge(started time.Time) *Knowledge {
	return &Knowledge{started: started, changed: make(chan struct{})}
}

// Confirm records that the newest version was the given one at some time no earlier than at. It has no effect, and reports false,
// unless this is the version in force: an older one means that the answer is outdated, a newer one is not in force here yet.
//
// Confirmations from before the start of the process have no effect either. The process that ran here before may have known a
// later configuration, and a key that it refused must not become valid again.
func (k *Knowledge) Confirm(version, inForce int64, at time.Time) bool {
	if version != inForce || at.Before(k.started) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return true
}

// ConfirmedAt returns the latest time for which the configuration in force is known to be the newest; zero if there is none since
// the start of the process.
func (k *Knowledge) ConfirmedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// IsConfirmedSince reports whether the configuration in force is known to have been the newest at t or later.
func (k *Knowledge) IsConfirmedSince(t time.Time) bool {
	confirmed, _ := k.since(t)
	return confirmed
}

// since is IsConfirmedSince. It also returns a channel that is closed when ConfirmedAt changes.
func (k *Knowledge) since(t time.Time) (bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.confirmedAt.IsZero() && !k.confirmedAt.Before(t), k.changed
}

// Age returns the time since ConfirmedAt. It is negative if there is none.
func (k *Knowledge) Age(now time.Time) time.Duration {
	at := k.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at), 0)
}
