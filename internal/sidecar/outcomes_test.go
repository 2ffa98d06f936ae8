package sidecar_test

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// dropAnswer closes the connection without an answer.
func dropAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	_ = ctx.Conn().Close()
}

// hang answers after the call's timeout.
func hang(ctx *fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }

// cutAnswer begins a completion and closes the connection in the middle.
func cutAnswer(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
		_, _ = w.WriteString("data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n")
		_ = w.Flush()
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	})
}

func respond(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

// refusingAddress accepts no connections: nothing listens on the reserved port.
const refusingAddress = "127.0.0.1:1"

// backendAddress returns the fake's address, or one that refuses connections when there is no handler.
func backendAddress(f *fakeServer, h fasthttp.RequestHandler) string {
	if h == nil {
		return refusingAddress
	}
	return f.Address()
}

// timeoutOf returns the limit on the execution in milliseconds, short only where it is to pass.
func timeoutOf(name string) int64 {
	if name == "timeout" {
		return 100
	}
	return 20_000
}

func TestServiceOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		handler    fasthttp.RequestHandler // nil: connections are refused
		idempotent bool
		code       api.Code
		effects    int
	}{
		{"answer", respond(200, "ok"), false, api.CodeOK, 1},
		{"error answer", respond(500, `{"error":{"code":503,"message":"x"}}`), false, api.CodeOK, 1},
		{"lost answer", dropAnswer, false, api.CodeOutcomeUnknown, 1},
		{"lost answer", dropAnswer, true, api.CodeInterrupted, 1},
		{"timeout", hang, false, api.CodeOutcomeUnknown, 1},
		{"timeout", hang, true, api.CodeTimeout, 1},
		{"refused connection", nil, false, api.CodeBackendLost, 0},
		{"refused connection", nil, true, api.CodeBackendLost, 0},
	}
	for _, c := range cases {
		name := c.name + ", non-idempotent"
		if c.idempotent {
			name = c.name + ", idempotent"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(t)
			f.on("/stamp", c.handler)
			s := startSidecar(t, sidecar.KindService, backendAddress(f, c.handler), nil)
			req := serviceCall("p1/1", c.idempotent)
			req.TimeoutMS = timeoutOf(c.name)
			got := call(t, s, req)
			is.Equal(got.code, c.code)
			again := call(t, s, req) // a resent request joins, and is not sent again
			is.Equal(again.code, c.code)
			is.Equal(f.count("/stamp"), c.effects)
		})
	}
}

func TestModelOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler // nil: connections are refused
		code    api.Code
		text    string
	}{
		{"cut in mid-answer", cutAnswer, api.CodeInterrupted, "half"},
		{"no answer", dropAnswer, api.CodeInterrupted, ""},
		{"bad request", respond(400, "no"), api.CodeBackendError, ""},
		{"failure", respond(500, "no"), api.CodeBackendError, ""},
		{"overloaded engine", respond(429, "no"), api.CodeUnavailable, ""},
		{"timeout", hang, api.CodeTimeout, ""},
		{"end without a reason", answerWithoutEnd, api.CodeInterrupted, "half"},
		{"refused connection", nil, api.CodeBackendLost, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(t)
			f.on("/v1/chat/completions", c.handler)
			s := startSidecar(t, sidecar.KindEngine, backendAddress(f, c.handler), nil)
			req := modelCall("p1/1")
			req.TimeoutMS = timeoutOf(c.name)
			got := call(t, s, req)
			is.Equal(got.code, c.code)
			is.Equal(got.text, c.text)
		})
	}
}

func answerWithoutEnd(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n")
}

// A connection that the service closed while it was idle must not make the outcome of the next call unknown.
func TestNonIdempotentCallsShareNoConnection(t *testing.T) {
	is := is.New(t)
	var last atomic.Pointer[net.Conn]
	f := newFake(t)
	f.on("/stamp", func(ctx *fasthttp.RequestCtx) {
		conn := ctx.Conn()
		last.Store(&conn)
	})
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	seen := make(map[string]bool)
	for _, id := range []string{"p1/1", "p1/2", "p1/3"} {
		is.Equal(call(t, s, serviceCall(id, false)).code, api.CodeOK)
		peer := (*last.Load()).RemoteAddr().String()
		is.True(!seen[peer])
		seen[peer] = true
	}
}
