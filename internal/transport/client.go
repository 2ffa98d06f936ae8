package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// ClientOptions configures a Client. Zero fields take the defaults of NewClient.
type ClientOptions struct {
	Token           string        // Sent in api.HeaderToken; empty means none.
	ConnectTimeout  time.Duration // Limit on connecting.
	IdleTimeout     time.Duration // Longest silence of a peer within an answer.
	RequestTimeout  time.Duration // Limit on a JSON exchange when the context has no deadline.
	MaxConnsPerHost int
}

const (
	defaultConnectTimeout  = time.Second
	defaultIdleTimeout     = 3 * time.Second
	defaultRequestTimeout  = 5 * time.Second
	defaultMaxConnsPerHost = 4096
	maxIdleConnAge         = 30 * time.Second
	clientReadBufferBytes  = 16 << 10
)

// Client sends requests to processes and never resends one on its own. It is safe for concurrent use.
type Client struct {
	http           *fasthttp.Client
	token          string
	requestTimeout time.Duration
	connectTimeout time.Duration
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if o.MaxConnsPerHost == 0 {
		o.MaxConnsPerHost = defaultMaxConnsPerHost
	}
	return &Client{
		token:          o.Token,
		requestTimeout: o.RequestTimeout,
		connectTimeout: o.ConnectTimeout,
		http: &fasthttp.Client{
			Name:                          "redwinggauge",
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			Dial:                          newDial(o.ConnectTimeout, o.IdleTimeout),
			MaxConnsPerHost:               o.MaxConnsPerHost,
			MaxIdleConnDuration:           maxIdleConnAge,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ReadBufferSize:                clientReadBufferBytes,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// IsNotSent reports whether err proves that the request did not leave this process.
func IsNotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Header is one HTTP header of a request.
type Header struct{ Name, Value string }

// JSON sends in as JSON (nil: no body) to http://address+path and decodes a 2xx answer into out (nil: ignored). An
// answer with an error body is returned as an *api.Error; a failed connection as a *DialError.
func (c *Client) JSON(ctx context.Context, method, address, path string, in, out any, headers ...Header) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.fill(req, method, address, path, in, headers); err != nil {
		return err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.requestTimeout)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	if resp.StatusCode()/100 != 2 {
		return decodeError(resp.StatusCode(), resp.Header.Peek(api.HeaderCode), resp.Body())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s %s%s: %w", method, address, path, err)
	}
	return nil
}

// fill sets the fields of req. A []byte body is sent as it is.
func (c *Client) fill(req *fasthttp.Request, method, address, path string, in any, headers []Header) error {
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if c.token != "" {
		req.Header.Set(api.HeaderToken, c.token)
	}
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	switch body := in.(type) {
	case nil:
	case []byte:
		req.SetBodyRaw(body)
	default:
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode body of %s %s: %w", method, path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	return nil
}

// decodeError turns a non-2xx answer into an *api.Error.
func decodeError(status int, codeHeader, body []byte) error {
	var decoded api.ErrorBody
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Code != 0 {
		return &api.Error{Code: decoded.Error.Code, Message: decoded.Error.Message}
	}
	if n, err := strconv.Atoi(string(codeHeader)); err == nil {
		return &api.Error{Code: api.Code(n), Message: string(body)}
	}
	return &StatusError{Status: status, Body: string(body)}
}

// StatusError is an answer with a status outside 2xx and without a result code.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %.200s", e.Status, e.Body) }

// Stream is an answer that is read while it arrives. It is not safe for concurrent use.
type Stream struct {
	Status      int
	ContentType string
	req         *fasthttp.Request
	resp        *fasthttp.Response
	reader      *bufio.Reader
	ended       bool
	stop        func() bool // Ends the wait for the context of a dedicated stream; nil otherwise.
}

// Stream sends a request and returns when the answer's headers have arrived. Non-2xx answers become errors as in JSON.
// fresh asks for a new connection, so that a failure to connect proves that nothing was sent.
func (c *Client) Stream(ctx context.Context, method, address, path string, in any, fresh bool, headers ...Header) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s := &Stream{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse()}
	if err := c.fill(s.req, method, address, path, in, headers); err != nil {
		s.release()
		return nil, err
	}
	s.resp.StreamBody = true
	if fresh {
		s.req.SetConnectionClose()
	}
	if err := c.do(ctx, s.req, s.resp); err != nil {
		s.release()
		return nil, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	return s.opened()
}

// opened reads the status of an answer whose headers have arrived and turns a non-2xx answer into an error.
func (s *Stream) opened() (*Stream, error) {
	s.Status = s.resp.StatusCode()
	s.ContentType = string(s.resp.Header.ContentType())
	s.reader = bufio.NewReader(s.resp.BodyStream())
	if s.Status/100 != 2 {
		body, _ := io.ReadAll(s.reader)
		err := decodeError(s.Status, s.resp.Header.Peek(api.HeaderCode), body)
		s.Close()
		return nil, err
	}
	return s, nil
}

// do sends the request. A deadline of ctx also bounds the reading of a streamed body.
func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.http.DoDeadline(req, resp, deadline)
	}
	return c.http.Do(req, resp)
}

// Answer is a whole answer of any status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Raw sends body as it is and returns the whole answer, whatever its status. No status becomes an error. last closes
// the connection after the answer; a client whose requests are all last opens a new connection for each, so that a
// failure to connect proves that nothing was sent.
func (c *Client) Raw(ctx context.Context, method, address, path string, body []byte, last bool, headers ...Header) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.fill(req, method, address, path, body, headers); err != nil {
		return Answer{}, err
	}
	if last {
		req.SetConnectionClose()
	}
	if err := c.do(ctx, req, resp); err != nil {
		return Answer{}, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	return Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

// ReadLine returns the next line without its line end. The slice is valid until the next call. io.EOF ends a stream
// that the peer finished.
func (s *Stream) ReadLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		head := append([]byte(nil), line...)
		var rest []byte
		rest, err = s.reader.ReadBytes('\n')
		line = append(head, rest...)
	}
	if err != nil {
		s.ended = errors.Is(err, io.EOF)
		if s.ended && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// ReadAll returns the rest of the body.
func (s *Stream) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(s.reader)
	s.ended = err == nil
	return body, err
}

// errAbandoned tells fasthttp that the connection holds an unread rest and must not be reused.
var errAbandoned = errors.New("stream abandoned before its end")

// Close releases the stream. A connection whose answer was not read to its end is closed, never reused.
func (s *Stream) Close() {
	if s.resp == nil {
		return
	}
	if body, ok := s.resp.BodyStream().(fasthttp.ReadCloserWithError); ok && !s.ended {
		_ = body.CloseWithError(errAbandoned)
	} else {
		_ = s.resp.CloseBodyStream()
	}
	s.release()
}

func (s *Stream) release() {
	if s.stop != nil {
		s.stop()
	}
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
	s.req, s.resp = nil, nil
}
