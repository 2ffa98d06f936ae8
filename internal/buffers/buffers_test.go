package buffers_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/buffers"
)

func TestRequestsLeaveRoomForAnswers(t *testing.T) {
	is := is.New(t)
	p := buffers.NewPool(100)
	first, second := p.NewAccount(), p.NewAccount()
	is.NoErr(first.TakeRequest(50))
	is.True(errors.Is(second.TakeRequest(1), buffers.ErrExhausted))
	is.NoErr(first.Take(50))
	is.True(errors.Is(second.Take(1), buffers.ErrExhausted))
	is.Equal(p.Held(), int64(100))
	first.Release()
	is.Equal(p.Held(), int64(0))
	is.NoErr(second.TakeRequest(50))
}

// Guards against small calls that are refused because large answers fill the memory.
func TestLargeCallsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	p := buffers.NewPool(1 << 20)
	large, small := p.NewAccount(), p.NewAccount()
	is.NoErr(large.Take(800 << 10))
	is.Equal(large.Take(100<<10), buffers.ErrExhausted)
	is.NoErr(small.TakeRequest(12 << 10))
	is.NoErr(small.Take(4 << 10))
	is.Equal(p.NewAccount().TakeRequest(17<<10), buffers.ErrExhausted)
	large.Release()
	small.Release()
	is.Equal(p.Held(), int64(0))
	is.NoErr(p.NewAccount().TakeRequest(512 << 10))
}
