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
	var accepted, ended atomic.Int64
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
	for range 100 { // a burst of broken calls
		c.Check(address, func() { ended.Add(1) })
	}
	time.Sleep(1500 * time.Millisecond)
	is.Equal(ended.Load(), int64(0))
	is.True(accepted.Load() <= 6)

	c.Check(address, func() { ended.Add(1) })
	_ = listener.Close() // after the connections of the server
	for range 100 {
		if ended.Load() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the end was not found")
}
