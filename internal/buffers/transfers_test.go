package buffers_test

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/buffers"
)

// Guards against callers that lose their answers, or new callers that are refused, because others read slowly.
func TestSlowestTransferIsEndedWhenMemoryIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := buffers.NewPool(1000)
		var ended []string
		begin := func(name string, n int64) *buffers.Account {
			a := pool.NewAccount()
			is.NoErr(a.Take(n))
			a.BeginTransfer(func(e buffers.Ended) {
				is.Equal(e.Held, n)
				ended = append(ended, name)
			})
			return a
		}
		stuck, slow, fast := begin("stuck", 300), begin("slow", 300), begin("fast", 300)
		idle := pool.NewAccount()
		is.NoErr(idle.Take(100))
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			slow.Moved(200) // Takes 400 ms for as much as a transfer must make in 250 ms.
			fast.Moved(1000)
		}
		other := pool.NewAccount()
		is.NoErr(other.Take(200))
		is.Equal(ended, []string{"stuck"})
		is.True(stuck.Ended())
		is.True(errors.Is(stuck.Take(1), buffers.ErrSlowest))
		time.Sleep(200 * time.Millisecond)
		fast.Moved(10_000)
		is.NoErr(other.Take(300))
		is.Equal(ended, []string{"stuck", "slow"})
		fast.EndTransfer()
		is.Equal(other.Take(900), buffers.ErrExhausted) // calls without a transfer go on
		is.True(!fast.Ended() && !idle.Ended())

		young := begin("young", 100)
		start := time.Now()
		is.NoErr(other.Take(100)) // waits until the young transfer counts as slow
		is.True(time.Since(start) > 0 && time.Since(start) < 300*time.Millisecond)
		is.True(young.Ended())
		for _, a := range []*buffers.Account{stuck, slow, fast, idle, other, young} {
			a.Release()
		}
		is.Equal(pool.Held(), int64(0))
	})
}

// Guards against answers that servers cut off because a caller reads them slowly, and against memory without a bound for such callers.
func TestEventsAreReadAheadWhileTheCallerIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := buffers.NewPool(10 << 20)
		account := pool.NewAccount()
		const events, size = 1000, 1000
		var sent, served atomic.Int64
		var buffer []byte
		ahead := buffers.NewReadAhead(buffers.ReadAheadOptions{
			Source: func() ([]byte, error) {
				if sent.Load() == events {
					return nil, io.EOF
				}
				buffer = fmt.Appendf(buffer[:0], "%0*d", size, sent.Add(1))
				return buffer, nil
			},
			Detach:  func() { buffer = nil },
			Account: account, End: func(buffers.Ended) {}, IsEnd: func(err error) bool { return err == io.EOF },
			OnEnd: func() { served.Add(1) },
		})
		for i := 1; ; i++ {
			event, err := ahead.Next()
			if err == io.EOF {
				is.Equal(i, events+1)
				break
			}
			is.NoErr(err)
			is.Equal(string(event), fmt.Sprintf("%0*d", size, i)) // in order, none lost
			is.NoErr(ahead.Deliver(len(event), func() error {
				switch {
				case i < 10:
					is.Equal(sent.Load(), int64(i)) // nothing is read ahead for a caller that keeps up
				case i == 10:
					time.Sleep(time.Minute)
					is.True(sent.Load() > 200 && sent.Load() < 300) // the server's answer is read up to the limit
					is.True(pool.Held() < 300<<10)
					is.Equal(string(event), fmt.Sprintf("%0*d", size, i)) // unchanged while it is delivered
				case i == events-100:
					time.Sleep(time.Second)
					is.Equal(served.Load(), int64(1)) // the server's part is over
				}
				return nil
			}))
		}
		ahead.Close(func() {})
		is.Equal(pool.Held(), int64(0))
	})
}

// Guards against a goroutine that reads on, or uses the connection of the next call, after its caller has left.
func TestReadingAheadEndsWithTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		account := buffers.NewPool(1 << 20).NewAccount()
		aborted := make(chan struct{})
		reads := 0
		ahead := buffers.NewReadAhead(buffers.ReadAheadOptions{
			Source: func() ([]byte, error) {
				if reads++; reads > 3 {
					<-aborted
					return nil, io.ErrClosedPipe
				}
				return []byte("event"), nil
			},
			Detach: func() {}, Account: account, End: func(buffers.Ended) {}, IsEnd: func(error) bool { return false }, OnEnd: func() {},
		})
		event, err := ahead.Next()
		is.NoErr(err)
		_ = ahead.Deliver(len(event), func() error { time.Sleep(time.Second); return io.ErrClosedPipe })
		ahead.Close(func() { close(aborted) })
		is.Equal(reads, 4)
		account.Release()
	})
}
