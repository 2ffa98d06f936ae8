package gateway

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// access reaches the key-value service: through the hub, which groups the writes of all gateways into few calls; by
// itself; or through another gateway, when the service turns this one away.
type access struct {
	store   *watchedStore
	batcher *commit.Batcher
	group   *peers.Group
	client  *peers.Client
}

const (
	maxHelpers    = 2                      // Other gateways that are tried besides the hub.
	ownTry        = 900 * time.Millisecond // For a write by this process before another is asked.
	awayStep      = 40 * time.Millisecond  // Between two looks at whether the service can be reached again.
	failoverPause = 30 * time.Millisecond  // After every way has failed.
)

// errAway reports that no gateway reaches the key-value service.
var errAway = errors.Join(errors.New("the key-value service is away"), ports.ErrUnavailable)

// ways returns the members through which to reach the service, the process itself among them, the best first.
func (a *access) ways() []peers.Member {
	self := a.group.Self()
	var out []peers.Member
	if hub := a.group.Hub(); hub.ID != self.ID && hub.StoreFresh {
		out = append(out, hub)
	}
	if self.StoreFresh {
		out = append(out, self)
	}
	for _, m := range a.group.Helpers(maxHelpers) {
		if len(out) == 0 || m.ID != out[0].ID {
			out = append(out, m)
		}
	}
	return out
}

// try calls ask for one way after the other until one of them reaches the service.
func (a *access) try(ctx context.Context, ask func(to peers.Member, own bool) error) error {
	self := a.group.Self().ID
	err := errAway
	for _, m := range a.ways() {
		own := m.ID == self
		err = ask(m, own)
		if !isOutage(err) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, peers.ErrSilent) {
			a.group.Fail(m.ID)
		}
	}
	return err
}

// Put writes a key that nobody else writes, and whose value never changes. It repeats the write until it succeeds or ctx
// ends.
func (a *access) Put(ctx context.Context, key string, value []byte) error {
	for {
		err := a.try(ctx, func(to peers.Member, own bool) error {
			if !own {
				_, _, err := a.client.Write(ctx, to, peers.Operation{Key: key, Value: value})
				return err
			}
			limited, cancel := context.WithTimeout(ctx, ownTry)
			defer cancel()
			return a.batcher.Put(limited, key, value)
		})
		if !isOutage(err) {
			return err
		}
		pause.For(ctx, failoverPause)
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
	}
}

// CompareAndSwap writes a key whose modification revision is expected (0: it does not exist). It returns the new revision,
// or the key as it stands when the condition does not hold. Values are unique, so that one that was written without an
// answer is known again.
func (a *access) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected int64,
) (revision int64, conflict *ports.KeyValue, err error) {
	err = a.try(ctx, func(to peers.Member, own bool) error {
		var err error
		if own {
			limited, cancel := context.WithTimeout(ctx, ownTry)
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

// Read returns a key.
func (a *access) Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	var item ports.KeyValue
	err := a.try(ctx, func(to peers.Member, own bool) error {
		var err error
		if own {
			item, err = a.store.Read(ctx, key, fresh)
		} else {
			item, err = a.client.Read(ctx, to, key, fresh)
		}
		return err
	})
	return item, err
}

// Recall implements budget.Recaller.
func (a *access) Recall(ctx context.Context, program string) int {
	var tokens atomic.Int64
	var group errgroup.Group
	for _, m := range a.group.Others() {
		group.Go(func() error {
			n, err := a.client.Recall(ctx, m, program)
			if err != nil {
				a.store.log.Debug("gateway did not give up its tokens", "gateway", m.ID, "program", program, "error", err)
				return nil
			}
			tokens.Add(int64(n))
			return nil
		})
	}
	_ = group.Wait() // A silent member keeps what it holds; the others' tokens count.
	a.store.log.Info("budget recalled", "program", program, "tokens", tokens.Load())
	return int(tokens.Load())
}

// awaitWay waits until some way to the service is open, and reports false when none is at the limit.
func (a *access) awaitWay(ctx context.Context, limit time.Time) bool {
	for len(a.ways()) == 0 {
		if ctx.Err() != nil || !time.Now().Before(limit) {
			return false
		}
		pause.For(ctx, awayStep)
	}
	return true
}

// persist runs an operation that needs the service. Failures in an outage are repeated until the limit.
func (a *access) persist(ctx context.Context, limit time.Time, operation func() error) error {
	for {
		if !a.awaitWay(ctx, limit) {
			return errAway
		}
		err := operation()
		if err == nil || !isOutage(err) || ctx.Err() != nil || !time.Now().Before(limit) {
			return err
		}
		pause.For(ctx, failoverPause)
	}
}
