package commit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// slowStore applies every transaction after a time.
type slowStore struct{ latency time.Duration }

// Commit implements commit.Committer.
func (s slowStore) Commit(context.Context, ports.Transaction) (int64, error) {
	time.Sleep(s.latency)
	return 1, nil
}

// Guards against writes that queue up while the service is slow: a deployment of 30 engines writes 600 turns and raises 300
// grants a second, and gateways wait 700 ms for the hub to write for them. Each takes the window and one answer, no more.
func TestSlowServiceDelaysWritesByItsLatencyOnly(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				options := commit.DefaultOptions()
				b := commit.NewBatcher(slowStore{latency}, options)
				var mu sync.Mutex
				var waits []time.Duration
				var group sync.WaitGroup
				write := func(key string, conditional bool) {
					group.Go(func() {
						start := time.Now()
						var err error
						if conditional {
							_, _, err = b.CompareAndSwap(t.Context(), key, nil, 0)
						} else {
							err = b.Put(t.Context(), key, nil)
						}
						is.NoErr(err)
						mu.Lock()
						defer mu.Unlock()
						waits = append(waits, time.Since(start))
					})
				}
				const interval = 10 * time.Millisecond
				for i := range int(3 * time.Second / interval) {
					for n := range 6 {
						write(fmt.Sprint("turn", i, n), false)
					}
					for n := range 3 {
						write(fmt.Sprint("grant", i, n), true)
					}
					time.Sleep(interval)
				}
				group.Wait()
				is.True(slices.Max(waits) <= 2*options.Window+latency)
			})
		})
	}
}

// conflictingStore answers after a time and refuses transactions with a condition on the key.
type conflictingStore struct {
	latency time.Duration
	key     string
	calls   atomic.Int64
}

// Commit implements commit.Committer.
func (s *conflictingStore) Commit(_ context.Context, t ports.Transaction) (int64, error) {
	s.calls.Add(1)
	time.Sleep(s.latency)
	for _, c := range t.Conditions {
		if c.Key == s.key {
			return 0, &ports.ConflictError{Items: []ports.KeyValue{{Key: s.key, Revision: 9}}}
		}
	}
	return 1, nil
}

// Guards against turns that wait for a second answer of a slow service because a grant in their transaction conflicts. While the
// service is fast, turns and grants share transactions, of which each call has its price.
func TestConflictsDelayNoOtherWriteOfASlowService(t *testing.T) {
	for latency, shared := range map[time.Duration]bool{4 * time.Millisecond: true, 350 * time.Millisecond: false} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				options := commit.DefaultOptions()
				store := &conflictingStore{latency: latency, key: "grant"}
				b := commit.NewBatcher(store, options)
				is.NoErr(b.Put(t.Context(), "first", nil)) // the latency is known after it
				for range 5 {
					before := store.calls.Load()
					start := time.Now()
					var group sync.WaitGroup
					group.Go(func() {
						_, conflict, err := b.CompareAndSwap(t.Context(), "grant", nil, 0)
						is.NoErr(err)
						is.Equal(conflict.Revision, int64(9))
					})
					is.NoErr(b.Put(t.Context(), "turn", nil))
					if !shared {
						is.True(time.Since(start) <= options.Window+latency)
					}
					group.Wait()
					is.Equal(store.calls.Load()-before, int64(2)) // apart, or the turn once more after the conflict
				}
			})
		})
	}
}
