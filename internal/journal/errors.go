package journal

import (
	"errors"
	"fmt"
)

// Errors of a Journal, for errors.Is.
var (
	// ErrDeposed means that another owner has opened the journal. Whether the record is committed is unknown unless the
	// DeposedError says that it is not.
	ErrDeposed = errors.New("journal: another owner has opened the journal")
	// ErrUnavailable means that the record was not committed and never will be.
	ErrUnavailable = errors.New("journal: the record was not committed")
	// ErrPending means that the record is part of a write with an unknown outcome: it may be committed now or later.
	ErrPending = errors.New("journal: the outcome of the write is unknown")
	// ErrOpenConflict means that another owner opened the journal during a call of Open.
	ErrOpenConflict = errors.New("journal: another owner opened the journal first")
	// ErrCorrupt means that stored slots or chunks are missing, undecodable or inconsistent.
	ErrCorrupt = errors.New("journal: stored data is corrupt")
	// ErrTooLarge means that a record or chunk does not fit into one value of the key-value service.
	ErrTooLarge = errors.New("journal: value too large")
)

// DeposedError reports that another owner has replaced this one. It matches ErrDeposed.
type DeposedError struct {
	Journal      int
	Fence        uint64 // Fencing number of the lost ownership.
	NewOwner     Owner  // Owner that replaced this one; empty if it is not known.
	NotCommitted bool   // The record is known not to be in the journal.
}

// Error implements error.
func (e *DeposedError) Error() string {
	return fmt.Sprintf("journal %d: ownership %d was lost to entry %q", e.Journal, e.Fence, e.NewOwner.Entry)
}

// Unwrap returns ErrDeposed.
func (e *DeposedError) Unwrap() error { return ErrDeposed }

// UnavailableError reports that a record was rejected, or withdrawn before a write contained it, or that no write of it
// had an effect. It matches ErrUnavailable and the cause.
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

// PendingError reports that a wait ended while the outcome of a write was unknown. It matches ErrPending and the cause.
type PendingError struct {
	Journal int
	Slot    uint64 // Number of the slot that is being written; 0 if it is not known.
	Err     error  // Why the wait ended.
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("journal %d: outcome of the write to slot %d is unknown: %v", e.Journal, e.Slot, e.Err)
}

// Unwrap returns ErrPending and the cause.
func (e *PendingError) Unwrap() []error { return []error{ErrPending, e.Err} }

// OpenConflictError reports that another owner opened the journal during a call of Open. It matches ErrOpenConflict.
type OpenConflictError struct {
	Journal int
	Fence   uint64 // Fencing number of the other owner.
	Owner   Owner
}

// Error implements error.
func (e *OpenConflictError) Error() string {
	return fmt.Sprintf("journal %d: entry %q opened the journal first, with fencing number %d", e.Journal, e.Owner.Entry, e.Fence)
}

// Unwrap returns ErrOpenConflict.
func (e *OpenConflictError) Unwrap() error { return ErrOpenConflict }

// CorruptError reports missing, undecodable or inconsistent data under a key. It matches ErrCorrupt.
type CorruptError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Reason) }

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// TooLargeError reports a record or chunk that does not fit into one stored value. It matches ErrTooLarge.
type TooLargeError struct {
	Bytes int // Uncompressed size if that exceeds the limit on records, otherwise the compressed size.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLarge.
func (e *TooLargeError) Unwrap() error { return ErrTooLarge }
