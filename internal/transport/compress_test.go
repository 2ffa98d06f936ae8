package transport_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Guards against a hub that fills its link when it sends a large configuration to all gateways at the same time.
func TestLargeMessagesAreCompressedIfThePeerAcceptsIt(t *testing.T) {
	is := is.New(t)
	routes := strings.Repeat(`{"host":"h.example","prefix":"/x/","service":"app"}`, 10_000) // 510 kB
	var sent atomic.Int64
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		text := routes
		if string(ctx.Path()) == "/small" {
			text = "small"
		}
		transport.WriteCompressedJSON(ctx, fasthttp.StatusOK, text)
		sent.Store(int64(len(ctx.Response.Body())))
	})
	get := func(path string, accept bool) string {
		t.Helper()
		var out string
		client := transport.NewClient(transport.ClientOptions{AcceptCompressed: accept})
		is.NoErr(client.JSON(context.Background(), "GET", server.Address(), path, nil, &out))
		return out
	}
	is.Equal(get("/large", true), routes)
	is.True(sent.Load() < 64<<10)
	is.Equal(get("/large", false), routes)
	is.True(sent.Load() > 500_000)
	is.Equal(get("/small", true), "small")
	is.Equal(sent.Load(), int64(len(`"small"`)))
}

// Guards against a small compressed body that fills the memory of its receiver.
func TestCompressedBodyIsLimitedByItsDecompressedSize(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		transport.WriteCompressedJSON(ctx, fasthttp.StatusOK, strings.Repeat("x", 32<<20))
	})
	var out string
	client := transport.NewClient(transport.ClientOptions{AcceptCompressed: true})
	is.True(client.JSON(context.Background(), "GET", server.Address(), "/", nil, &out) != nil)
}
