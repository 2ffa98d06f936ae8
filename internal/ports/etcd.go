package ports

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// ErrLeaseExpired means that the lease of a write no longer exists. The write had no effect.
var ErrLeaseExpired = errors.New("key-value service: the lease has expired")

const (
	defaultKVTimeout        = 2 * time.Second
	defaultWatchIdle        = time.Minute
	defaultKVConnectTimeout = 500 * time.Millisecond
	watchBufferEvents       = 64 // Capacity of the channel that Watch returns.
)

// KVOptions configures an EtcdKV. Zero fields take defaults.
type KVOptions struct {
	RequestTimeout time.Duration // Limit for one request to one endpoint.
	ConnectTimeout time.Duration
	// WatchIdle is how long a watch may be without data before it counts as broken. Watches request progress
	// notifications, which the service sends at an interval of its own. If that interval is longer than WatchIdle, a watch
	// without changes ends after WatchIdle and has to be opened again.
	WatchIdle time.Duration
	// OnBrokenAnswer is called for each answer that is none of the protocol. It may be nil.
	OnBrokenAnswer func(address string, e *http1.MalformedError)
	Metrics        *metrics.Set // Set in which calls are counted; nil means the default set.
}

// EtcdKV implements KV through the JSON gateway of etcd v3. It is safe for concurrent use.
type EtcdKV struct {
	client    *transport.Client
	endpoints []string
	preferred atomic.Uint32 // Index of the endpoint to try first: normally the one that answered last.
	timeout   time.Duration
	watchIdle time.Duration
	metrics   *metrics.Set
}

var _ KV = (*EtcdKV)(nil)

// NewKV returns a KV that uses the endpoints (host:port). All of them must be members of the same service.
func NewKV(endpoints []string, o KVOptions) (*EtcdKV, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("the key-value service needs at least one endpoint")
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultKVTimeout
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultKVConnectTimeout
	}
	if o.WatchIdle == 0 {
		o.WatchIdle = defaultWatchIdle
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	client := transport.NewClient(transport.ClientOptions{
		ConnectTimeout: o.ConnectTimeout,
		IdleTimeout:    o.RequestTimeout,
		RequestTimeout: o.RequestTimeout,
		OnBrokenAnswer: o.OnBrokenAnswer,
	})
	return &EtcdKV{
		client:    client,
		endpoints: endpoints,
		timeout:   o.RequestTimeout,
		watchIdle: o.WatchIdle,
		metrics:   o.Metrics,
	}, nil
}

// Get implements KV.
func (k *EtcdKV) Get(ctx context.Context, key string) (KeyValue, error) {
	var out gateway.RangeResponse
	if err := k.read(ctx, "range", gateway.PathRange, gateway.RangeRequest{Key: []byte(key)}, &out); err != nil {
		return KeyValue{}, fmt.Errorf("get key %q: %w", key, err)
	}
	if len(out.KVs) == 0 {
		return KeyValue{Key: key}, nil
	}
	return fromWire(out.KVs[0]), nil
}

// List implements KV.
func (k *EtcdKV) List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, error) {
	kvs, _, err := k.ListAt(ctx, prefix, limit, keysOnly)
	return kvs, err
}

// ListAt is like List. It also returns the revision at which the list was read, after which a Watch can continue.
func (k *EtcdKV) ListAt(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, int64, error) {
	in := gateway.RangeRequest{
		Key:      rangeStart(prefix),
		RangeEnd: gateway.PrefixEnd(prefix),
		Limit:    gateway.Int(limit),
		KeysOnly: keysOnly,
	}
	var out gateway.RangeResponse
	if err := k.read(ctx, "range", gateway.PathRange, in, &out); err != nil {
		return nil, 0, fmt.Errorf("list keys with prefix %q: %w", prefix, err)
	}
	kvs := make([]KeyValue, len(out.KVs))
	for i, kv := range out.KVs {
		kvs[i] = fromWire(kv)
	}
	return kvs, int64(out.Header.Revision), nil
}

// CompareAndSwap implements KV.
func (k *EtcdKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected, lease int64) (KeyValue, bool, error) {
	if len(value) > MaxValueBytes {
		return KeyValue{}, false, fmt.Errorf("write key %q of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	in := gateway.TxnRequest{
		Compare: []gateway.Compare{{
			Result: gateway.CompareEqual, Target: gateway.CompareMod, Key: []byte(key), ModRevision: gateway.Int(expected),
		}},
		Success: []gateway.RequestOp{{Put: &gateway.PutRequest{Key: []byte(key), Value: value, Lease: gateway.Int(lease)}}},
		Failure: []gateway.RequestOp{{Range: &gateway.RangeRequest{Key: []byte(key)}}},
	}
	var out gateway.TxnResponse
	if err := k.write(ctx, "txn", gateway.PathTxn, in, &out); err != nil {
		return KeyValue{}, false, fmt.Errorf("write key %q at revision %d: %w", key, expected, err)
	}
	if out.Succeeded {
		if out.Header.Revision == 0 {
			return KeyValue{}, false, fmt.Errorf("write key %q: answer without a revision: %w", key, ErrAmbiguous)
		}
		return KeyValue{Key: key, Value: value, Revision: int64(out.Header.Revision), Lease: lease}, true, nil
	}
	if len(out.Responses) != 1 || out.Responses[0].Range == nil {
		return KeyValue{}, false, fmt.Errorf("write key %q: answer without the current key: %w", key, ErrAmbiguous)
	}
	if kvs := out.Responses[0].Range.KVs; len(kvs) > 0 {
		return fromWire(kvs[0]), false, nil
	}
	return KeyValue{Key: key}, false, nil
}

// Put implements KV.
func (k *EtcdKV) Put(ctx context.Context, key string, value []byte, lease int64) error {
	if len(value) > MaxValueBytes {
		return fmt.Errorf("write key %q of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	in := gateway.PutRequest{Key: []byte(key), Value: value, Lease: gateway.Int(lease)}
	if err := k.write(ctx, "put", gateway.PathPut, in, nil); err != nil {
		return fmt.Errorf("write key %q: %w", key, err)
	}
	return nil
}

// Delete implements KV. It deletes up to gateway.MaxTxnOps keys per transaction. After an error, the keys of later transactions
// are not deleted.
func (k *EtcdKV) Delete(ctx context.Context, keys ...string) error {
	for len(keys) > 0 {
		n := min(len(keys), gateway.MaxTxnOps)
		if err := k.deleteBatch(ctx, keys[:n]); err != nil {
			return fmt.Errorf("delete %d keys, first %q: %w", n, keys[0], err)
		}
		keys = keys[n:]
	}
	return nil
}

// deleteBatch deletes at most gateway.MaxTxnOps keys in one request.
func (k *EtcdKV) deleteBatch(ctx context.Context, keys []string) error {
	if len(keys) == 1 {
		in := gateway.DeleteRangeRequest{Key: []byte(keys[0])}
		return k.write(ctx, "deleterange", gateway.PathDeleteRange, in, nil)
	}
	in := gateway.TxnRequest{Success: make([]gateway.RequestOp, len(keys))}
	for i, key := range keys {
		in.Success[i].DeleteRange = &gateway.DeleteRangeRequest{Key: []byte(key)}
	}
	return k.write(ctx, "txn", gateway.PathTxn, in, nil)
}

// Grant implements KV. After ErrAmbiguous, the lease may exist without being renewed. It then expires by itself.
func (k *EtcdKV) Grant(ctx context.Context, ttlSeconds int64) (int64, error) {
	var out gateway.LeaseGrantResponse
	in := gateway.LeaseGrantRequest{TTL: gateway.Int(ttlSeconds)}
	if err := k.write(ctx, "lease_grant", gateway.PathLeaseGrant, in, &out); err != nil {
		return 0, fmt.Errorf("grant a lease of %d s: %w", ttlSeconds, err)
	}
	if out.ID == 0 {
		return 0, fmt.Errorf("grant a lease of %d s: answer without an id: %w", ttlSeconds, ErrAmbiguous)
	}
	return int64(out.ID), nil
}

// Renew implements KV.
func (k *EtcdKV) Renew(ctx context.Context, lease int64) (bool, error) {
	var out gateway.KeepAliveResponse
	in := gateway.KeepAliveRequest{ID: gateway.Int(lease)}
	if err := k.read(ctx, "lease_keepalive", gateway.PathKeepAlive, in, &out); err != nil {
		return false, fmt.Errorf("renew lease %d: %w", lease, err)
	}
	return out.Result.TTL > 0, nil
}

// fromWire converts a key from the message type of the JSON gateway.
func fromWire(kv gateway.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: int64(kv.ModRevision), Lease: int64(kv.Lease)}
}

// rangeStart returns the start of the range of keys with the prefix. The JSON gateway does not accept an empty key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
