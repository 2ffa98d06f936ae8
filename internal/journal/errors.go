package journal

import (
	"errors"
	"fmt"
)

// Errors of a Journal, to be tested with errors.Is.
var (
	// ErrDeposed means that another owner has opened the journal. A record is unknown to this owner unless the
	// DeposedError says that it was not committed.
	ErrDeposed = errors.New("journal: another owner has opened the journal")
	// ErrUnavailable means that the record was not committed and never will be.
	ErrUnavailable = errors.New("journal: the record was not committed")
	// ErrPending means that the record is in a write whose outcome is unknown: it may be committed, now or later.
	ErrPending = errors.New("journal: the outcome of the record's write is not known yet")
	// ErrTaken means that another owner has opened the journal while Take was under way.
	ErrTaken = errors.New("journal: another owner opened the journal first")
	// ErrCorrupt means that the stored slots or chunks contradict each other.
	ErrCorrupt = errors.New("journal: the stored journal is damaged")
	// ErrTooLarge means that a record or chunk does not fit into one value of the key-value service.
	ErrTooLarge = errors.New("journal: value too large")
)

// DeposedError reports that the owner has lost the journal. It matches ErrDeposed.
type DeposedError struct {
	Journal      int
	Fence        uint64 // Fencing number that was lost.
	By           Owner  // Owner that was found in its place; empty when it is not known.
	NotCommitted bool   // The record is provably not in the journal.
}

// Error implements error.
func (e *DeposedError) Error() string {
	return fmt.Sprintf("journal %d: ownership %d was ended by entry %q", e.Journal, e.Fence, e.By.Entry)
}

// Unwrap returns ErrDeposed.
func (e *DeposedError) Unwrap() error { return ErrDeposed }

// UnavailableError reports that a record was refused or withdrawn before any write could carry it into the journal.
// It matches ErrUnavailable.
type UnavailableError struct {
	Journal int
	Reason  string
	Err     error // Cause; may be nil.
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("journal %d: record not committed: %s: %v", e.Journal, e.Reason, e.Err)
	}
	return fmt.Sprintf("journal %d: record not committed: %s", e.Journal, e.Reason)
}

// Unwrap returns ErrUnavailable and the cause.
func (e *UnavailableError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrUnavailable}
	}
	return []error{ErrUnavailable, e.Err}
}

// PendingError reports that a wait ended while the record was in a write without an answer. It matches ErrPending.
type PendingError struct {
	Journal int
	Slot    uint64 // Slot that the write is meant for; 0 when it is not known.
	Err     error  // Why the wait ended.
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("journal %d: outcome of the write to slot %d is unknown: %v", e.Journal, e.Slot, e.Err)
}

// Unwrap returns ErrPending and the cause.
func (e *PendingError) Unwrap() []error { return []error{ErrPending, e.Err} }

// TakenError reports that Take lost the journal to another new owner. It matches ErrTaken.
type TakenError struct {
	Journal int
	Fence   uint64 // Fencing number of the other owner.
	By      Owner
}

// Error implements error.
func (e *TakenError) Error() string {
	return fmt.Sprintf("journal %d: entry %q opened it with fencing number %d", e.Journal, e.By.Entry, e.Fence)
}

// Unwrap returns ErrTaken.
func (e *TakenError) Unwrap() error { return ErrTaken }

// CorruptError reports a contradiction in what is stored. It matches ErrCorrupt.
type CorruptError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Reason) }

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// TooLargeError reports a record or chunk that does not fit into one value. It matches ErrTooLarge.
type TooLargeError struct {
	Bytes int // Size as it would be stored.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLarge.
func (e *TooLargeError) Unwrap() error { return ErrTooLarge }
