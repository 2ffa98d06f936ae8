package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// closeWithoutAnswer closes the connection without sending an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	_ = ctx.Conn().Close()
}

// answerLate answers after the timeout that timeoutOf returns for the case "timeout".
func answerLate(ctx *fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }

// cutMidAnswer starts to stream a completion and closes the connection before its end.
func cutMidAnswer(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
		_, _ = w.WriteString("data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n")
		_ = w.Flush()
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	})
}

// respond returns a handler that answers with the status and body.
func respond(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

// refusingAddress is an address that refuses connections, because nothing listens on its reserved port.
const refusingAddress = "127.0.0.1:1"

// backendAddress returns the address of the fake, or refusingAddress when h is nil.
func backendAddress(f *fakeServer, h fasthttp.RequestHandler) string {
	if h == nil {
		return refusingAddress
	}
	return f.Address()
}

// timeoutOf returns the timeout of the call in a test case, in milliseconds. It is short only for the case "timeout".
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
		{"lost answer", closeWithoutAnswer, false, api.CodeOutcomeUnknown, 1},
		{"lost answer", closeWithoutAnswer, true, api.CodeInterrupted, 1},
		{"timeout", answerLate, false, api.CodeOutcomeUnknown, 1},
		{"timeout", answerLate, true, api.CodeTimeout, 1},
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
			f := newFakeServer(t)
			f.setHandler("/stamp", c.handler)
			s := startSidecar(t, sidecar.KindService, backendAddress(f, c.handler), nil)
			req := serviceCall("p1/1", c.idempotent)
			req.TimeoutMS = timeoutOf(c.name)
			got := runCall(t, s, req)
			is.Equal(got.code, c.code)
			again := runCall(t, s, req) // a repeated request joins the execution instead of starting another
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
		{"cut in mid-answer", cutMidAnswer, api.CodeInterrupted, "half"},
		{"no answer", closeWithoutAnswer, api.CodeInterrupted, ""},
		{"bad request", respond(400, "no"), api.CodeBackendError, ""},
		{"failure", respond(500, "no"), api.CodeBackendError, ""},
		{"overloaded engine", respond(429, "no"), api.CodeUnavailable, ""},
		{"timeout", answerLate, api.CodeTimeout, ""},
		{"end without a reason", answerWithoutFinishReason, api.CodeInterrupted, "half"},
		{"refused connection", nil, api.CodeBackendLost, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServer(t)
			f.setHandler("/v1/chat/completions", c.handler)
			s := startSidecar(t, sidecar.KindEngine, backendAddress(f, c.handler), nil)
			req := modelCall("p1/1")
			req.TimeoutMS = timeoutOf(c.name)
			got := runCall(t, s, req)
			is.Equal(got.code, c.code)
			is.Equal(got.text, c.text)
		})
	}
}

// answerWithoutFinishReason answers with a stream that ends with neither [DONE] nor a finish reason.
func answerWithoutFinishReason(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n")
}

// Guards against a service that sends a second copy of an answer, late, on a connection that is in use again: the caller of the
// next request would get it.
func TestLateCopyOfAnAnswerReachesNoOtherCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	s := startSidecar(t, sidecar.KindService, listener.Addr().String(), nil)
	for _, id := range []string{"p1/1", "p1/2", "p1/3"} {
		got := runCall(t, s, serviceCall(id, true))
		is.Equal(got.code, api.CodeOK)
		is.Equal(string(got.result.Body), id)
		time.Sleep(50 * time.Millisecond) // the second copy arrives
	}
}

// answerTwice answers each request on the connection with its call id, and again a little later.
func answerTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Idempotency-Key")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		_, _ = io.WriteString(conn, answer)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, answer)
	}
}

// TestNonIdempotentCallsShareNoConnection checks that each non-idempotent call uses a new connection. A call on a
// reused one would have an unknown outcome if the service closed the idle connection at the same time.
func TestNonIdempotentCallsShareNoConnection(t *testing.T) {
	is := is.New(t)
	var last atomic.Pointer[net.Conn]
	f := newFakeServer(t)
	f.setHandler("/stamp", func(ctx *fasthttp.RequestCtx) {
		conn := ctx.Conn()
		last.Store(&conn)
	})
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	seen := make(map[string]bool)
	for _, id := range []string{"p1/1", "p1/2", "p1/3"} {
		is.Equal(runCall(t, s, serviceCall(id, false)).code, api.CodeOK)
		peer := (*last.Load()).RemoteAddr().String()
		is.True(!seen[peer])
		seen[peer] = true
	}
}
