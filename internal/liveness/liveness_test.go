package liveness_test

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/liveness"
)

func TestEndedServerIsFoundAtOnceAndARunningOneIsNot(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var accepted, ended, running atomic.Int64
	count := func(state liveness.State) {
		switch state {
		case liveness.Ended:
			ended.Add(1)
		case liveness.Running:
			running.Add(1)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	address := listener.Addr().String()
	c := liveness.NewChecker(t.Context(), slog.New(slog.DiscardHandler))
	c.Check(address, true, count)
	time.Sleep(50 * time.Millisecond)
	for range 100 { // a burst of broken calls
		c.Check(address, true, count)
	}
	time.Sleep(1500 * time.Millisecond)
	is.Equal(ended.Load(), int64(0))
	is.Equal(running.Load(), int64(2))
	is.Equal(accepted.Load(), int64(6))

	c.Check(address, false, count)
	time.Sleep(200 * time.Millisecond)
	is.Equal(running.Load(), int64(3))
	is.Equal(accepted.Load(), int64(7))

	c.Check(address, true, count)
	_ = listener.Close() // after the connections of the server
	for range 100 {
		if ended.Load() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the end was not found")
}
