package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// The buffer is bounded in bytes and time, and never takes what it has forgotten for nothing.
func TestBufferLimits(t *testing.T) {
	is := is.New(t)
	b := NewBuffer("i", 10)
	now := time.Now()
	fence := api.Fence{Journal: 1, Number: 7}
	hold := func(incarnation string, number uint64, size int) api.HoldState {
		return b.Hold(&api.HoldRequest{Fence: fence, Incarnation: incarnation, Number: number, Data: make([]byte, size)}, now)
	}
	is.Equal(hold("other", 1, 1), api.HoldGone)
	is.Equal(hold("i", 1, 8), api.HoldDone)
	is.Equal(hold("i", 1, 8), api.HoldDone) // held already
	is.Equal(hold("i", 2, 8), api.HoldFull)
	is.Equal(b.Bytes(), 8)
	b.Drop(&api.DropRequest{Fence: fence, Through: 1})
	is.Equal(b.Bytes(), 0)
	is.Equal(hold("i", 2, 8), api.HoldDone)
	b.Expire(now.Add(bufferAge))
	is.Equal(b.Bytes(), 0)
	is.Equal(hold("i", 3, 1), api.HoldGone)
	is.Equal(b.Seal(&api.SealRequest{Fence: fence, Incarnation: "i"}).State, api.HoldGone)
	is.Equal(hold("i", 3, 1), api.HoldSealed)
}
