package ports

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the history asked for is gone: the caller lists again.
var ErrCompacted = errors.New("key-value service: the history after this revision is gone")

// Freshness says how current a read must be.
type Freshness int

// Freshness of a read.
const (
	Linearizable Freshness = iota // Reflects every write acknowledged before the read began.
	Stale                         // May miss the writes of the last seconds; cheaper.
)

// Page is one page of a listing. Several pages are not one moment of the store.
type Page struct {
	Items    []KeyValue
	More     bool  // Further keys follow after the last item.
	Revision int64 // The store's revision when the page was read.
}

// Write sets a key, which stays until it is deleted.
type Write struct {
	Key   string
	Value []byte
}

// Condition demands that a key's modification revision equals Revision (0: the key does not exist).
type Condition struct {
	Key      string
	Revision int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Size returns the number of entries that count against MaxTransactionEntries.
func (t *Transaction) Size() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// MaxTransactionEntries is the largest number of entries of one transaction.
const MaxTransactionEntries = 32

// Store is a key-value service with transactions over several keys. All methods are safe for concurrent use and honour
// the context's deadline. ErrUnavailable: the call had no effect. ErrAmbiguous: a write may have taken effect, or may
// still do so later.
type Store interface {
	// Read returns the key. A missing key has revision 0.
	Read(ctx context.Context, key string, fresh Freshness) (KeyValue, error)
	// ReadRange returns a page of the keys with the prefix after the key after, in key order.
	ReadRange(ctx context.Context, prefix, after string, fresh Freshness) (Page, error)
	// Await returns the changes of keys with the prefix after the revision and the revision to go on from. It returns
	// without changes after wait. ErrCompacted: the caller lists again.
	Await(ctx context.Context, prefix string, after int64, wait time.Duration) ([]WatchEvent, int64, error)
	// Commit applies the transaction. When a condition does not hold, it returns a *ConflictError.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
}

// ConflictError reports the keys whose conditions did not hold, as they stand.
type ConflictError struct {
	Items []KeyValue
}

// Error implements error.
func (*ConflictError) Error() string {
	return "key-value service: a condition of the transaction does not hold"
}
