package ports

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the service no longer has all changes after the requested revision. The caller has to list the keys
// again.
var ErrCompacted = errors.New("key-value service: the history after this revision is compacted")

// Freshness tells how current the result of a read must be.
type Freshness int

// Values of Freshness.
const (
	Linearizable Freshness = iota // The result includes every write that was acknowledged before the read began.
	Stale                         // The result may lack the writes of the last few seconds. Cheaper.
)

// Page is one page of a listing. The pages of a listing are not a consistent snapshot of the store.
type Page struct {
	Items    []KeyValue
	More     bool  // There are further keys after the last item.
	Revision int64 // The store's revision when the page was read.
}

// Write sets a key. The key has no lease: it exists until it is deleted.
type Write struct {
	Key   string
	Value []byte
}

// Condition requires that a key's modification revision equals Revision (0: the key does not exist).
type Condition struct {
	Key      string
	Revision int64
}

// Transaction is applied atomically. If a condition does not hold, nothing is applied.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Size returns the number of entries that count towards MaxTransactionEntries.
func (t *Transaction) Size() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// MaxTransactionEntries is the largest number of entries in one transaction.
const MaxTransactionEntries = 32

// Store is a key-value service with transactions over several keys. All methods are safe for concurrent use and honour the
// context's deadline. An error that wraps ErrUnavailable means that the call had no effect. An error that wraps ErrAmbiguous
// means that a write may have taken effect, or may still do so later.
type Store interface {
	// Read returns the key with its value. A missing key has revision 0.
	Read(ctx context.Context, key string, fresh Freshness) (KeyValue, error)
	// ReadRange returns a page of the keys with the prefix that follow the key after, in key order.
	ReadRange(ctx context.Context, prefix, after string, fresh Freshness) (Page, error)
	// Await waits for changes of keys with the prefix after the revision after. It returns the changes and the revision from
	// which to continue. If there are no changes within wait, it returns none. After ErrCompacted, the caller has to list
	// the keys again.
	Await(ctx context.Context, prefix string, after int64, wait time.Duration) ([]WatchEvent, int64, error)
	// Commit applies the transaction and returns its revision. If a condition does not hold, it returns a *ConflictError.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
}

// Lister lists keys; Store implements it.
type Lister interface {
	// ReadRange is that of Store.
	ReadRange(ctx context.Context, prefix, after string, fresh Freshness) (Page, error)
}

// ReadAll returns all keys with the prefix as one page. The pages that it reads are not one consistent snapshot: the revision is that
// of the first one, so that a watch from there also delivers changes made while later ones were read.
func ReadAll(ctx context.Context, l Lister, prefix string, fresh Freshness) (Page, error) {
	var all Page
	for after := ""; ; {
		page, err := l.ReadRange(ctx, prefix, after, fresh)
		if err != nil {
			return Page{}, err
		}
		if all.Revision == 0 {
			all.Revision = page.Revision
		}
		all.Items = append(all.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// ConflictError reports that a condition of a transaction did not hold. Items holds the current state of those keys of the
// conditions that exist.
type ConflictError struct {
	Items []KeyValue
}

// Error implements error.
func (*ConflictError) Error() string {
	return "key-value service: a condition of the transaction does not hold"
}
