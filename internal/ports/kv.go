// Package ports holds the interfaces to what the platform provides: the key-value service, the membership list and
// the weight store, with adapters for their published protocols.
package ports

import (
	"context"
	"errors"
)

// Errors of a KV.
var (
	// ErrAmbiguous means that a write may or may not have taken effect, now or later.
	ErrAmbiguous = errors.New("key-value service: the outcome of the write is unknown")
	// ErrUnavailable means that a read failed or that a write provably had no effect.
	ErrUnavailable = errors.New("key-value service: unavailable")
	// ErrTooLarge means that the value exceeds the service's limit.
	ErrTooLarge = errors.New("key-value service: value too large")
)

// MaxValueBytes is the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20

// KeyValue is a key with its value and modification revision.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // Modification revision; 0 means that the key does not exist.
	Lease    int64
}

// WatchEvent is one change of a watched key.
type WatchEvent struct {
	KeyValue
	Deleted bool
}

// KV is the platform's key-value service. All methods are safe for concurrent use and honour the context's deadline.
type KV interface {
	// Get returns the key. A missing key has revision 0.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the keys with the prefix in key order, at most limit of them (0: all). keysOnly leaves values out.
	List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, error)
	// CompareAndSwap writes the key if its modification revision equals expected (0: the key must not exist).
	// It returns the new revision and true, or, with false, the key as it stands. ErrAmbiguous: it may have taken
	// effect, or may still do so later.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, lease int64) (KeyValue, bool, error)
	// Put writes the key unconditionally.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Delete removes keys.
	Delete(ctx context.Context, keys ...string) error
	// Grant creates a lease that lasts ttlSeconds without renewal.
	Grant(ctx context.Context, ttlSeconds int64) (int64, error)
	// Renew renews a lease; false means that it has lapsed.
	Renew(ctx context.Context, lease int64) (bool, error)
	// Watch sends changes of keys with the prefix after the revision until ctx ends or the connection breaks, when
	// it closes the channel. The watcher lists again and restarts after that.
	Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan WatchEvent, error)
}

// MemberRole is the role of a member VM.
type MemberRole string

// Roles of members.
const (
	RoleEntry   MemberRole = "entry"
	RoleBackend MemberRole = "backend"
)

// Member is one VM in the platform's membership list. The list lags: it is a hint.
type Member struct {
	ID            string     `json:"id"`
	Role          MemberRole `json:"role"`
	Address       string     `json:"address"` // Internal address of our process on the VM, host:port.
	Region        string     `json:"region"`
	FailureDomain string     `json:"failure_domain"`
	Leaving       bool       `json:"leaving"`
	Kind          string     `json:"kind,omitempty"`    // "engine" or "service", of a backend.
	Service       string     `json:"service,omitempty"` // Service name, or the model's name.
}

// Membership reads the platform's membership list.
type Membership interface {
	Members(ctx context.Context) ([]Member, error)
}
