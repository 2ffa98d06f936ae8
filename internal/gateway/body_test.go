package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/calls"
)

// Guards against callers whose large requests together fill the memory of the process.
func TestRequestBeyondTheBufferLimitIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	pool := buffers.NewPool(100_000)
	read := func(size int) (*exchange, error) {
		x := &exchange{call: &calls.Call{}, buffers: pool.NewAccount()}
		return x, x.readBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))), 0)
	}
	first, err := read(40_000)
	is.NoErr(err)
	second, err := read(20_000)
	var refused *api.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, api.CodeOverloaded)
	is.Equal(refused.Code.Family(), api.FamilyOverload) // not run
	first.buffers.Release()
	second.buffers.Release()
	is.Equal(pool.Held(), int64(0))
	_, err = read(40_000)
	is.NoErr(err)
}
