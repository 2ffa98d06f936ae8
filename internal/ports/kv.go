// Package ports defines the interfaces to the services that the platform provides: the key-value service, the membership list
// and the weight store. It contains clients for their published protocols.
package ports

import (
	"context"
	"errors"
)

// Errors of KV and Store.
var (
	// ErrAmbiguous means that a write may have taken effect, or may still do so later.
	ErrAmbiguous = errors.New("key-value service: the outcome of the write is unknown")
	// ErrUnavailable means that a read failed, or that a write failed and provably had no effect.
	ErrUnavailable = errors.New("key-value service: unavailable")
	// ErrTooLarge means that the value exceeds the service's size limit. The write had no effect.
	ErrTooLarge = errors.New("key-value service: value too large")
)

// MaxValueBytes is the size of the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20

// KeyValue is a key with its value and modification revision.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // Modification revision; 0 means that the key does not exist.
	Lease    int64 // Id of the lease that the key is attached to; 0 if none.
}

// WatchEvent is one change of a watched key.
type WatchEvent struct {
	KeyValue
	Deleted bool
}

// KV is the platform's key-value service. All methods are safe for concurrent use and honour the context's deadline.
type KV interface {
	// Get returns the key with its value. A missing key has revision 0.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the keys with the prefix in key order, at most limit of them (0: all). keysOnly omits the values.
	List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, error)
	// CompareAndSwap writes the key if its modification revision equals expected (0: the key must not exist).
	// It returns the written key and true, or the current key and false. After ErrAmbiguous, the write may have taken
	// effect, or may still do so later.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, lease int64) (KeyValue, bool, error)
	// Put writes the key unconditionally.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Delete deletes the keys, not necessarily in one transaction.
	Delete(ctx context.Context, keys ...string) error
	// Grant creates a lease that expires ttlSeconds after its grant or last renewal, and returns its id.
	Grant(ctx context.Context, ttlSeconds int64) (int64, error)
	// Renew renews a lease. It returns false if the lease has expired.
	Renew(ctx context.Context, lease int64) (bool, error)
	// Watch sends the changes of keys with the prefix after the revision, until ctx ends or the connection fails. It then
	// closes the channel. To continue after a failure, the caller lists the keys and watches again.
	Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan WatchEvent, error)
}

// MemberRole is the role of a VM in the membership list.
type MemberRole string

// Roles of members.
const (
	RoleEntry   MemberRole = "entry"
	RoleBackend MemberRole = "backend"
)

// Member is one VM in the platform's membership list. The list is updated with a delay, so it is only a hint.
type Member struct {
	ID            string     `json:"id"`
	Role          MemberRole `json:"role"`
	Address       string     `json:"address"` // Internal address of this project's process on the VM, host:port.
	Region        string     `json:"region"`
	FailureDomain string     `json:"failure_domain"`
	Leaving       bool       `json:"leaving"`
	Kind          string     `json:"kind,omitempty"`    // "engine" or "service"; only for RoleBackend.
	Service       string     `json:"service,omitempty"` // Name of the service, or of an engine's model.
}

// Membership reads the platform's membership list.
type Membership interface {
	// Members returns the current list. It is updated with a delay.
	Members(ctx context.Context) ([]Member, error)
}
