package transport

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/conntrack"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/pause"
)

// ServerOptions configures a Server. Serve replaces zero values of the limits and timeouts by defaults, except those of
// MaxConnsPerIP and WriteTimeout.
type ServerOptions struct {
	Name           string        // Sent in the Server header; empty means no such header.
	MaxBodyBytes   int           // Limit on the body of a request.
	MaxConns       int           // Limit on open connections.
	MaxConnsPerIP  int           // 0 means no limit.
	HeaderTimeout  time.Duration // Limit on reading a whole request.
	IdleTimeout    time.Duration // Longest time that a connection waits for its next request.
	WriteTimeout   time.Duration // Limit on sending an answer; 0 means none.
	MaxHeaderBytes int           // Limit on the headers of a request.
	Log            *slog.Logger  // For panics of the handler.
}

const (
	defaultMaxBodyBytes      = 8 << 20
	defaultMaxConns          = 64 << 10
	defaultHeaderTimeout     = 30 * time.Second
	defaultServerIdleTimeout = 90 * time.Second
	defaultMaxHeaderBytes    = 16 << 10
)

// Server serves HTTP on one listener.
type Server struct {
	http     *fasthttp.Server
	listener *trackingListener
	conns    *conntrack.Tracker
	done     chan error // Receives the error with which http stops serving.
}

// Listen starts a Server on address, where port 0 selects a free port. The server passes its requests to handler.
func Listen(address string, handler fasthttp.RequestHandler, o ServerOptions) (*Server, error) {
	listener, err := Bind(address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, handler, o), nil
}

// Bind opens a listener on address, where port 0 selects a free port.
func Bind(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// Serve starts a Server on the listener. The server passes its requests to handler.
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
		o.IdleTimeout = defaultServerIdleTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	tracking := &trackingListener{Listener: listener, conns: make(map[*trackedConn]struct{})}
	s := &Server{listener: tracking, conns: conntrack.NewTracker(), done: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Name:                  o.Name,
		Handler:               catchPanics(handler, o.Log),
		ErrorHandler:          writeParseError,
		MaxRequestBodySize:    o.MaxBodyBytes,
		Concurrency:           o.MaxConns,
		MaxConnsPerIP:         o.MaxConnsPerIP,
		ReadTimeout:           o.HeaderTimeout,
		IdleTimeout:           o.IdleTimeout,
		WriteTimeout:          o.WriteTimeout,
		ReadBufferSize:        o.MaxHeaderBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
		ConnState:             setConnState,
	}
	go func() { s.done <- s.http.Serve(s.conns.Listen(tracking)) }()
	return s
}

// catchPanics returns a handler that answers a request with CodeOutcomeUnknown when handler panics.
func catchPanics(handler fasthttp.RequestHandler, log *slog.Logger) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := guard.Run(log, string(ctx.Path()), func() { handler(ctx) }); err != nil {
			ctx.Response.Reset()
			WriteError(ctx, api.Errorf(api.CodeOutcomeUnknown, "%v", err))
			ctx.SetConnectionClose()
		}
	}
}

// Address returns the listener's address, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// setConnState follows the state of a connection.
func setConnState(conn net.Conn, state fasthttp.ConnState) {
	tracked, ok := conn.(*conntrack.Conn)
	if !ok { // fasthttp wraps the connections if it limits their number per address.
		return
	}
	switch state {
	case fasthttp.StateActive:
		tracked.Begin()
	case fasthttp.StateIdle:
		tracked.SetIdle()
	}
}

const (
	retireTimeout      = 500 * time.Millisecond // For idle connections to end by themselves.
	retirePollInterval = 5 * time.Millisecond
)

// Shutdown lets idle connections end, stops accepting connections and waits until all open ones are idle or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	retiring, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	for s.conns.RetireIdle(0) > 0 && retiring.Err() == nil {
		pause.For(retiring, retirePollInterval)
	}
	return s.http.ShutdownWithContext(ctx)
}

// discardLogger discards the log lines of fasthttp. They report invalid requests of peers, and the response reports the same
// to the peer.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// writeParseError responds to a request that could not be read or parsed.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		WriteError(ctx, api.Errorf(api.CodeBodyTooLarge, "the request body exceeds the limit of this port"))
	case errors.As(err, &headerTooLarge):
		WriteError(ctx, api.Errorf(api.CodeBadRequest, "the request headers exceed the limit of this port"))
	default:
		WriteError(ctx, api.Errorf(api.CodeBadRequest, "the request cannot be parsed: %v", err))
	}
	ctx.SetConnectionClose()
}

// WriteJSON sends v as JSON with the status and the result code CodeOK.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, api.Errorf(api.CodeBackendError, "encode response: %v", err))
		return
	}
	writeJSONBody(ctx, status, data)
}

// writeJSONBody sends a JSON body with the status and the result code CodeOK.
func writeJSONBody(ctx *fasthttp.RequestCtx, status int, data []byte) {
	SetCode(ctx, api.CodeOK)
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// WriteError sends the error's body with its result code and the HTTP status of that code.
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

// SetCode sets the response header that carries the result code.
func SetCode(ctx *fasthttp.RequestCtx, code api.Code) {
	ctx.Response.Header.Set(api.HeaderCode, strconv.Itoa(int(code)))
}

// WriteStream sends status 200 and a body that write produces while it is being sent. The headers are sent immediately.
func WriteStream(ctx *fasthttp.RequestCtx, contentType string, write func(w *bufio.Writer)) {
	SetCode(ctx, api.CodeOK)
	ctx.SetContentType(contentType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(write)
}

// WriteBody sends status 200 and a body of unknown length that is read from body in pieces. The headers are sent
// immediately. At the end body.CloseWithError is called: with nil if everything was written to the connection, or else with
// the error.
func WriteBody(ctx *fasthttp.RequestCtx, contentType string, body fasthttp.ReadCloserWithError) {
	SetCode(ctx, api.CodeOK)
	ctx.SetContentType(contentType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(body, -1)
}

// DecodeJSON decodes the JSON body of the request into v.
func DecodeJSON(ctx *fasthttp.RequestCtx, v any) *api.Error {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		return api.Errorf(api.CodeBadRequest, "the request body is not valid JSON: %v", err)
	}
	return nil
}

// Authorized reports whether the request carries the token in api.HeaderToken. If token is empty, every request is
// authorized.
func Authorized(ctx *fasthttp.RequestCtx, token string) bool {
	if token == "" {
		return true
	}
	return subtle.ConstantTimeCompare(ctx.Request.Header.Peek(api.HeaderToken), []byte(token)) == 1
}
