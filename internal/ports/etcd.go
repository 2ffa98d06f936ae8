package ports

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// ErrLeaseLapsed means that a write named a lease that no longer exists. The write had no effect.
var ErrLeaseLapsed = errors.New("key-value service: the lease has lapsed")

const (
	defaultKVTimeout   = 2 * time.Second
	defaultWatchIdle   = time.Minute
	defaultKVConnect   = 500 * time.Millisecond
	watchChannelEvents = 64
)

// KVOptions configures a GatewayKV. Zero fields take defaults.
type KVOptions struct {
	RequestTimeout time.Duration // Limit on one exchange with one endpoint.
	ConnectTimeout time.Duration
	// WatchIdle is the longest silence of a watch before it counts as broken. A watch asks for progress lines, which
	// the service sends in an interval of its own; when that is longer, a quiet watch is renewed once in WatchIdle.
	WatchIdle time.Duration
	Metrics   *metrics.Set // Where calls are counted; nil means the default set.
}

// GatewayKV is a KV over etcd v3's JSON gateway. It is safe for concurrent use.
type GatewayKV struct {
	client    *transport.Client
	endpoints []string
	preferred atomic.Uint32 // Index of the endpoint that answered last.
	timeout   time.Duration
	watchIdle time.Duration
	metrics   *metrics.Set
}

var _ KV = (*GatewayKV)(nil)

// NewKV returns a KV that asks the endpoints (host:port), each a member of the same service.
func NewKV(endpoints []string, o KVOptions) (*GatewayKV, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("the key-value service needs at least one endpoint")
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultKVTimeout
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultKVConnect
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
	})
	return &GatewayKV{
		client:    client,
		endpoints: endpoints,
		timeout:   o.RequestTimeout,
		watchIdle: o.WatchIdle,
		metrics:   o.Metrics,
	}, nil
}

// Get implements KV.
func (k *GatewayKV) Get(ctx context.Context, key string) (KeyValue, error) {
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
func (k *GatewayKV) List(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, error) {
	kvs, _, err := k.ListAt(ctx, prefix, limit, keysOnly)
	return kvs, err
}

// ListAt is List that also returns the revision at which the list was read, from which a Watch can go on.
func (k *GatewayKV) ListAt(ctx context.Context, prefix string, limit int, keysOnly bool) ([]KeyValue, int64, error) {
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
func (k *GatewayKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected, lease int64) (KeyValue, bool, error) {
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
		return KeyValue{}, false, fmt.Errorf("write key %q: answer without the key as it stands: %w", key, ErrAmbiguous)
	}
	if kvs := out.Responses[0].Range.KVs; len(kvs) > 0 {
		return fromWire(kvs[0]), false, nil
	}
	return KeyValue{Key: key}, false, nil
}

// Put implements KV.
func (k *GatewayKV) Put(ctx context.Context, key string, value []byte, lease int64) error {
	if len(value) > MaxValueBytes {
		return fmt.Errorf("write key %q of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	in := gateway.PutRequest{Key: []byte(key), Value: value, Lease: gateway.Int(lease)}
	if err := k.write(ctx, "put", gateway.PathPut, in, nil); err != nil {
		return fmt.Errorf("write key %q: %w", key, err)
	}
	return nil
}

// Delete implements KV. Each transaction removes up to gateway.MaxTxnOps keys; an error leaves later ones in place.
func (k *GatewayKV) Delete(ctx context.Context, keys ...string) error {
	for len(keys) > 0 {
		n := min(len(keys), gateway.MaxTxnOps)
		if err := k.deleteBatch(ctx, keys[:n]); err != nil {
			return fmt.Errorf("delete %d keys from %q on: %w", n, keys[0], err)
		}
		keys = keys[n:]
	}
	return nil
}

func (k *GatewayKV) deleteBatch(ctx context.Context, keys []string) error {
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

// Grant implements KV. After ErrAmbiguous a lease that nobody renews may exist; it lapses on its own.
func (k *GatewayKV) Grant(ctx context.Context, ttlSeconds int64) (int64, error) {
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
func (k *GatewayKV) Renew(ctx context.Context, lease int64) (bool, error) {
	var out gateway.KeepAliveResponse
	in := gateway.KeepAliveRequest{ID: gateway.Int(lease)}
	if err := k.read(ctx, "lease_keepalive", gateway.PathKeepAlive, in, &out); err != nil {
		return false, fmt.Errorf("renew lease %d: %w", lease, err)
	}
	return out.Result.TTL > 0, nil
}

// fromWire converts a key from the gateway's message.
func fromWire(kv gateway.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: int64(kv.ModRevision), Lease: int64(kv.Lease)}
}

// rangeStart returns the first key of the range of a prefix. The gateway does not accept an empty key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
