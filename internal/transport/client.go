package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// ClientOptions configures a Client. NewClient replaces zero values other than that of Token by defaults.
type ClientOptions struct {
	Token           string        // Token sent in api.HeaderToken; empty means none.
	ConnectTimeout  time.Duration // Limit on establishing a connection.
	IdleTimeout     time.Duration // Longest time that a read may wait for data from the peer.
	RequestTimeout  time.Duration // Limit on a JSON request if its context has no deadline.
	MaxConnsPerHost int
	MaxBodyBytes    int // Limit on the body of a response, and on each line of a stream.
	// OnBrokenAnswer is called for each answer that is none of the protocol; see RecordBrokenAnswers. It may be nil.
	OnBrokenAnswer func(address string, e *http1.MalformedError)
	// AcceptCompressed lets the peer compress the body of a response to a JSON request.
	AcceptCompressed bool
}

const (
	defaultConnectTimeout  = time.Second
	defaultIdleTimeout     = 3 * time.Second
	defaultRequestTimeout  = 5 * time.Second
	defaultMaxConnsPerHost = 4096
	maxIdleConnDuration    = 30 * time.Second
	clientReadBufferBytes  = 16 << 10 // Also the limit on the headers of a response.
	defaultMaxResponse     = 16 << 20 // A page of the key-value service has 1 MB, an answer of a model far less.
)

// Client sends HTTP requests and never retries one by itself. It is safe for concurrent use.
type Client struct {
	http           *fasthttp.Client
	token          string
	requestTimeout time.Duration
	connectTimeout time.Duration
	maxBodyBytes   int
	onBrokenAnswer func(address string, e *http1.MalformedError)

	acceptCompressed bool
}

// NewClient returns a Client. It turns off the retries that fasthttp makes by default for idempotent requests.
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
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxResponse
	}
	return &Client{
		token:          o.Token,
		requestTimeout: o.RequestTimeout,
		connectTimeout: o.ConnectTimeout,
		maxBodyBytes:   o.MaxBodyBytes,
		onBrokenAnswer: o.OnBrokenAnswer,

		acceptCompressed: o.AcceptCompressed,
		http: &fasthttp.Client{
			Name:                          "redwinggauge",
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			Dial:                          newDial(o.ConnectTimeout, o.IdleTimeout, o.OnBrokenAnswer),
			MaxConnsPerHost:               o.MaxConnsPerHost,
			MaxIdleConnDuration:           maxIdleConnDuration,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ReadBufferSize:                clientReadBufferBytes,
			MaxResponseBodySize:           o.MaxBodyBytes,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// IsNotSent reports whether err proves that the request was not sent: there was no connection to send it on.
func IsNotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, http1.ErrUnsolicited)
}

// Header is an HTTP header field of a request.
type Header struct{ Name, Value string }

// JSON sends in as JSON to http://address+path and decodes the body of a 2xx response into out. If in is nil, the request
// has no body; if out is nil, the response's body is ignored. A response of another status becomes an *api.Error, or a
// *StatusError if it carries no result code. If no connection can be established, the error wraps a *DialError.
func (c *Client) JSON(ctx context.Context, method, address, path string, in, out any, headers ...Header) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.buildRequest(req, method, address, path, in, headers); err != nil {
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
	data, err := body(resp)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return fmt.Errorf("decode response of %s %s%s: %w", method, address, path, err)
	}
	return nil
}

// buildRequest sets the URI, method, headers and body of req. A body of type []byte is sent as it is, any other as JSON.
func (c *Client) buildRequest(req *fasthttp.Request, method, address, path string, in any, headers []Header) error {
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if c.token != "" {
		req.Header.Set(api.HeaderToken, c.token)
	}
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	if c.acceptCompressed {
		req.Header.Set(fasthttp.HeaderAcceptEncoding, encodingZstd)
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

// decodeError turns a non-2xx response into an *api.Error, or into a *StatusError if it carries no result code.
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

// StatusError reports a response with a status outside 2xx and without a result code.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %.200s", e.Status, e.Body) }

// Stream is a response whose body is read while it arrives. It is not safe for concurrent use.
type Stream struct {
	Status           int
	ContentType      string
	req              *fasthttp.Request
	resp             *fasthttp.Response
	reader           *bufio.Reader
	body             progressReader   // Source of reader.
	account          *buffers.Account // Pays for what is held of the body; nil if nothing limits it.
	maxBodyBytes     int
	readToEnd        bool
	stopContextWatch func() bool // Stops waiting for the end of a dedicated stream's context; nil for other streams.
}

// Stream sends a request and returns when the headers of the response have arrived. Non-2xx responses become errors as in
// JSON. closeAfter works as in Raw.
func (c *Client) Stream(ctx context.Context, method, address, path string, in any, closeAfter bool, headers ...Header) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s := &Stream{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), maxBodyBytes: c.maxBodyBytes}
	if err := c.buildRequest(s.req, method, address, path, in, headers); err != nil {
		s.release()
		return nil, err
	}
	s.resp.StreamBody = true
	if closeAfter {
		s.req.SetConnectionClose()
	}
	if err := c.do(ctx, s.req, s.resp); err != nil {
		s.release()
		return nil, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	return s.checkStatus()
}

// maxErrorBytes is how much is read of the body of a failure.
const maxErrorBytes = 64 << 10

// checkStatus reads the headers of the response. It returns the stream, or an error for a non-2xx response.
func (s *Stream) checkStatus() (*Stream, error) {
	s.open()
	if s.Status/100 != 2 {
		body, _ := io.ReadAll(io.LimitReader(s.reader, maxErrorBytes)) // The status is an error by itself.
		err := decodeError(s.Status, s.resp.Header.Peek(api.HeaderCode), body)
		s.Close()
		return nil, err
	}
	return s, nil
}

// open prepares the reading of the body.
func (s *Stream) open() {
	s.Status = s.resp.StatusCode()
	s.ContentType = string(s.resp.Header.ContentType())
	s.body = progressReader{source: strings.NewReader("")} // For a status that allows no body.
	if stream := s.resp.BodyStream(); stream != nil {
		s.body.source = stream
	}
	s.reader = bufio.NewReader(&s.body)
}

// do sends the request. A deadline of ctx also limits the time for reading a streamed body.
func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.http.DoDeadline(req, resp, deadline)
	}
	return c.http.Do(req, resp)
}

// Response is a complete response of any status.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Raw sends body as it is and returns the complete response, whose body is paid for by account. No status becomes an error. With closeAfter, the connection
// is closed after the response. A client that sets it in all its requests opens a new connection for each of them, so
// that a failure to connect proves that the request was not sent.
func (c *Client) Raw(ctx context.Context, account *buffers.Account, method, address, path string, body []byte, closeAfter bool, headers ...Header) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	s := &Stream{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), maxBodyBytes: c.maxBodyBytes, account: account}
	if err := c.buildRequest(s.req, method, address, path, body, headers); err != nil {
		s.release()
		return Response{}, err
	}
	s.resp.StreamBody = true
	if closeAfter {
		s.req.SetConnectionClose()
	}
	if err := c.do(ctx, s.req, s.resp); err != nil {
		s.release()
		return Response{}, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	defer s.Close()
	s.open()
	answer, err := s.ReadAll()
	if err != nil {
		return Response{}, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	return Response{Status: s.Status, ContentType: s.ContentType, Body: answer}, nil
}

// ReadLine returns the next line without its line ending. The slice is valid until the next call. The error is io.EOF at
// the regular end of the response, io.ErrUnexpectedEOF if the last line has no line ending, and a *limits.TooLargeError if
// the line is too long.
func (s *Stream) ReadLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		s.readToEnd = errors.Is(err, io.EOF)
		if s.readToEnd && len(line) > 0 {
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

// readLongLine returns a line that begins with head and is longer than the reader's buffer.
func (s *Stream) readLongLine(head []byte) ([]byte, error) {
	line, taken := append([]byte(nil), head...), int64(0)
	defer func() { s.account.Give(taken) }() // The caller uses the line at once.
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > s.maxBodyBytes {
			return nil, &limits.TooLargeError{Part: "a line of the stream", Limit: int64(s.maxBodyBytes)}
		}
		if grown := max(len(line)+len(part), 2*cap(line)); len(line)+len(part) > cap(line) {
			if err := s.account.Take(int64(grown - cap(line))); err != nil {
				return nil, err
			}
			taken += int64(grown - cap(line))
			line = append(make([]byte, 0, grown), line...)
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// ReadAll returns the rest of the body. The error is a *limits.TooLargeError if it is larger than a response may be.
func (s *Stream) ReadAll() ([]byte, error) {
	limited := limits.NewReader(s.reader)
	limited.Allow(int64(s.maxBodyBytes)+1, &limits.TooLargeError{Part: "the rest of the stream", Limit: int64(s.maxBodyBytes)})
	body, err := buffers.ReadAll(limited, int64(s.resp.Header.ContentLength()), s.account.Take)
	s.readToEnd = err == nil
	return body, err
}

// SetAccount makes the account pay for long lines while they are read, and for the rest of the body.
func (s *Stream) SetAccount(account *buffers.Account) { s.account = account }

// LimitPause makes reads fail with a *limits.StalledError when MarkProgress has not been called for longer than pause although
// bytes arrive.
func (s *Stream) LimitPause(pause time.Duration) {
	s.body.maxPause = pause
	s.MarkProgress()
}

// MarkProgress records that something useful has arrived.
func (s *Stream) MarkProgress() { s.body.progressAt = time.Now() }

// errAbandoned tells fasthttp not to reuse a connection on which a part of the response is unread.
var errAbandoned = errors.New("stream abandoned before its end")

// Close releases the stream. If the response was not read to its end, its connection is closed and not reused. Further
// calls do nothing.
func (s *Stream) Close() {
	if s.resp == nil {
		return
	}
	if body, ok := s.resp.BodyStream().(fasthttp.ReadCloserWithError); ok && !s.readToEnd {
		_ = body.CloseWithError(errAbandoned)
	} else {
		_ = s.resp.CloseBodyStream()
	}
	s.release()
}

// release returns the request and the response to the pools of fasthttp and stops waiting for the end of the context.
func (s *Stream) release() {
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
	s.req, s.resp = nil, nil
}
