package gateway

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// storeAccess reads and writes the key-value service. It goes through the hub, which batches the writes of all gateways
// into few calls; calls the service directly; or goes through another gateway when the service does not answer this one.
type storeAccess struct {
	store   *monitoredStore
	batcher *commit.Batcher
	group   *peers.Group
	client  *peers.Client
}

const (
	maxRelays             = 2                      // Other gateways tried besides the hub.
	localWriteTimeout     = 900 * time.Millisecond // For a write by this process; then another gateway is tried.
	reachablePollInterval = 40 * time.Millisecond  // Between checks whether the service is reachable again.
	failoverDelay         = 30 * time.Millisecond  // After all candidates have failed, before the next round.
)

// errStoreUnavailable reports that no gateway can reach the key-value service.
var errStoreUnavailable = errors.Join(errors.New("the key-value service is away"), ports.ErrUnavailable)

// candidates returns the group members that can reach the service, in order of preference. They may include this process.
func (a *storeAccess) candidates() []peers.Member {
	self := a.group.Self()
	var out []peers.Member
	if hub := a.group.Hub(); hub.ID != self.ID && hub.StoreFresh {
		out = append(out, hub)
	}
	if self.StoreFresh {
		out = append(out, self)
	}
	for _, m := range a.group.Relays(maxRelays) {
		if len(out) == 0 || m.ID != out[0].ID {
			out = append(out, m)
		}
	}
	return out
}

// tryCandidates calls request for each candidate in turn until one reaches the service. A candidate that does not answer is
// marked as failed in the group.
func (a *storeAccess) tryCandidates(ctx context.Context, request func(to peers.Member, local bool) error) error {
	self := a.group.Self().ID
	err := errStoreUnavailable
	for _, m := range a.candidates() {
		local := m.ID == self
		err = request(m, local)
		if !isOutage(err) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, peers.ErrNoAnswer) {
			a.group.MarkFailed(m.ID)
		}
	}
	return err
}

// Put writes a key that has a single writer and whose value never changes. It retries until the write succeeds or ctx ends.
func (a *storeAccess) Put(ctx context.Context, key string, value []byte) error {
	return repeatDuringOutage(ctx, failoverDelay, func() error { return a.putOnce(ctx, key, value) })
}

// repeatDuringOutage calls write, with the given pause after each failure, until the key-value service answers or ctx ends.
func repeatDuringOutage(ctx context.Context, delay time.Duration, write func() error) error {
	for {
		err := write()
		if !isOutage(err) {
			return err
		}
		pause.For(ctx, delay)
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
	}
}

// putOnce is one attempt of Put.
func (a *storeAccess) putOnce(ctx context.Context, key string, value []byte) error {
	return a.tryCandidates(ctx, func(to peers.Member, local bool) error {
		if !local {
			_, _, err := a.client.Write(ctx, to, peers.Operation{Key: key, Value: value})
			return err
		}
		limited, cancel := context.WithTimeout(ctx, localWriteTimeout)
		defer cancel()
		return a.batcher.Put(limited, key, value)
	})
}

// CompareAndSwap writes a key if its modification revision equals expected (0: the key does not exist). It returns the new
// revision, or the current key and value when the condition does not hold. Values must be unique: a write whose answer was
// lost is recognised by its value and reported as successful.
func (a *storeAccess) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected int64,
) (revision int64, conflict *ports.KeyValue, err error) {
	err = a.tryCandidates(ctx, func(to peers.Member, local bool) error {
		var err error
		if local {
			limited, cancel := context.WithTimeout(ctx, localWriteTimeout)
			defer cancel()
			revision, conflict, err = a.batcher.CompareAndSwap(limited, key, value, expected)
		} else {
			op := peers.Operation{Key: key, Value: value, Conditional: true, Expected: expected}
			revision, conflict, err = a.client.Write(ctx, to, op)
		}
		return err
	})
	if err == nil && conflict != nil && bytes.Equal(conflict.Value, value) {
		return conflict.Revision, nil, nil
	}
	return revision, conflict, err
}

// Read returns a key with its value and revision.
func (a *storeAccess) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	var item ports.KeyValue
	err := a.tryCandidates(ctx, func(to peers.Member, local bool) error {
		var err error
		if local {
			item, err = a.store.Read(ctx, key, fresh)
		} else {
			item, err = a.client.Read(ctx, to, key, fresh)
		}
		return err
	})
	return item, err
}

// ReadRange implements ports.Lister.
func (a *storeAccess) ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	var page ports.Page
	err := a.tryCandidates(ctx, func(to peers.Member, local bool) error {
		var err error
		if local {
			page, err = a.store.ReadRange(ctx, prefix, after, fresh)
		} else {
			page, err = a.client.ReadRange(ctx, to, prefix, after, fresh)
		}
		return err
	})
	return page, err
}

// Recall implements budget.Recaller. It asks all other gateways for the unused tokens that they hold of the account, and returns
// the sum.
func (a *storeAccess) Recall(ctx context.Context, account string) int {
	log := a.store.log
	organisation, program := budget.SplitAccount(account)
	if organisation != "" {
		log = log.With("organisation", organisation)
	}
	var tokens atomic.Int64
	var group errgroup.Group
	for _, m := range a.group.Others() {
		group.Go(func() error {
			n, err := a.client.Recall(ctx, m, account)
			if err != nil {
				log.Debug("budget tokens not returned by gateway", "gateway", m.ID, "program", program, "error", err)
				return nil
			}
			tokens.Add(int64(n))
			return nil
		})
	}
	_ = group.Wait() // A member that does not answer keeps its tokens; those of the others are summed.
	log.Info("budget recalled", "program", program, "tokens", tokens.Load())
	return int(tokens.Load())
}

// awaitReachable waits until some gateway can reach the service. It reports false if none can at the deadline, or ctx ends.
func (a *storeAccess) awaitReachable(ctx context.Context, deadline time.Time) bool {
	for len(a.candidates()) == 0 {
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false
		}
		pause.For(ctx, reachablePollInterval)
	}
	return true
}

// retryDuringOutage runs an operation that needs the service, and retries it until the deadline while it fails because of an
// outage.
func (a *storeAccess) retryDuringOutage(ctx context.Context, deadline time.Time, operation func() error) error {
	for {
		if !a.awaitReachable(ctx, deadline) {
			return errStoreUnavailable
		}
		err := operation()
		if err == nil || !isOutage(err) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return err
		}
		pause.For(ctx, failoverDelay)
	}
}
