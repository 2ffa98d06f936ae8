package transport

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// ServerOptions configures a Server. Zero fields take the defaults of NewServer.
type ServerOptions struct {
	Name           string
	MaxBodyBytes   int
	MaxConns       int
	MaxConnsPerIP  int // 0 means no limit.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxConns       = 64 << 10
	defaultHeaderTimeout  = 30 * time.Second
	defaultServerIdle     = 90 * time.Second
	defaultMaxHeaderBytes = 16 << 10
)

// Server serves HTTP on one listener.
type Server struct {
	http     *fasthttp.Server
	listener *trackingListener
	done     chan error
}

// Listen starts a Server on address ("host:0" picks a port) that calls handler.
func Listen(address string, handler fasthttp.RequestHandler, o ServerOptions) (*Server, error) {
	listener, err := Bind(address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, handler, o), nil
}

// Bind opens a listener on address ("host:0" picks a port).
func Bind(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// Serve starts a Server on the listener that calls handler.
func Serve(listener net.Listener, handler fasthttp.RequestHandler, o ServerOptions) *Server {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxConns == 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultServerIdle
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	tracking := &trackingListener{Listener: listener, conns: make(map[*trackedConn]struct{})}
	s := &Server{listener: tracking, done: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Name:                  o.Name,
		Handler:               handler,
		ErrorHandler:          writeParseError,
		MaxRequestBodySize:    o.MaxBodyBytes,
		Concurrency:           o.MaxConns,
		MaxConnsPerIP:         o.MaxConnsPerIP,
		ReadTimeout:           o.HeaderTimeout,
		IdleTimeout:           o.IdleTimeout,
		ReadBufferSize:        o.MaxHeaderBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                silentLogger{},
	}
	go func() { s.done <- s.http.Serve(tracking) }()
	return s
}

// Address returns the listener's address, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting and waits until every connection is idle or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// silentLogger drops fasthttp's own lines: each is a peer's mistake that the peer is told about.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// writeParseError answers a request that could not be read.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		WriteError(ctx, api.Errorf(api.CodeBodyTooLarge, "the request body exceeds the limit of this port"))
	case errors.As(err, &small):
		WriteError(ctx, api.Errorf(api.CodeBadRequest, "the request headers exceed the limit of this port"))
	default:
		WriteError(ctx, api.Errorf(api.CodeBadRequest, "the request cannot be parsed: %v", err))
	}
	ctx.SetConnectionClose()
}

// WriteJSON answers with the status and v as JSON under CodeOK.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, api.Errorf(api.CodeBackendError, "encode answer: %v", err))
		return
	}
	SetCode(ctx, api.CodeOK)
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// WriteError answers with the error's code, status and body.
func WriteError(ctx *fasthttp.RequestCtx, e *api.Error) {
	data, err := json.Marshal(e.Body())
	if err != nil {
		data = []byte(`{"error":{}}`)
	}
	SetCode(ctx, e.Code)
	ctx.SetStatusCode(e.Code.HTTPStatus())
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// SetCode sets the result code header of the answer.
func SetCode(ctx *fasthttp.RequestCtx, code api.Code) {
	ctx.Response.Header.Set(api.HeaderCode, strconv.Itoa(int(code)))
}

// WriteStream answers 200 with a body that write produces while it is sent. The headers leave at once.
func WriteStream(ctx *fasthttp.RequestCtx, contentType string, write func(w *bufio.Writer)) {
	SetCode(ctx, api.CodeOK)
	ctx.SetContentType(contentType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(write)
}

// WriteBody answers 200 with a body of unknown length that is read from body and sent piece by piece. The headers leave at
// once. body.CloseWithError is told whether everything was handed to the connection (nil) or why not.
func WriteBody(ctx *fasthttp.RequestCtx, contentType string, body fasthttp.ReadCloserWithError) {
	SetCode(ctx, api.CodeOK)
	ctx.SetContentType(contentType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(body, -1)
}

// DecodeJSON decodes the request's body into v.
func DecodeJSON(ctx *fasthttp.RequestCtx, v any) *api.Error {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		return api.Errorf(api.CodeBadRequest, "the request body is not valid JSON: %v", err)
	}
	return nil
}

// Authorized reports whether the request carries the token. An empty token admits every request.
func Authorized(ctx *fasthttp.RequestCtx, token string) bool {
	if token == "" {
		return true
	}
	return subtle.ConstantTimeCompare(ctx.Request.Header.Peek(api.HeaderToken), []byte(token)) == 1
}
