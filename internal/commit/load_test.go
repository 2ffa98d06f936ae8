package commit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
