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
