package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is a request to a backend server.
type Request struct {
	Method     string
	Target     string // Path and query, sent as they are.
	Host       string
	Header     http.Header // Without headers that concern the connection.
	Body       []byte
	Repeatable bool      // A failure on a connection that the server had closed may be followed by another send.
	Deadline   time.Time // The whole exchange ends then.
	// Owns reports whether an answer belongs to the request. Answers to earlier requests may still arrive; they are skipped.
	Owns func(status int, header http.Header) bool
}

// Response is the head of an answer with its body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool    *Pool
	conn    *conn
	message *http.Response
	written <-chan error
	stop    func() bool
	ended   bool // The body was read to its end.
	once    sync.Once
}

// SentError reports that the request left this process and that no whole answer came: it may have run.
type SentError struct {
	Address string
	Fresh   bool // The connection was new.
	Err     error
}

// Error implements error.
func (e *SentError) Error() string {
	connection := "a kept"
	if e.Fresh {
		connection = "a new"
	}
	return fmt.Sprintf("no answer from %s on %s connection: %v", e.Address, connection, e.Err)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

// IsNotSent reports whether err proves that the request did not leave this process.
func IsNotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

var (
	errNotAnHTTPAnswer = errors.New("the bytes are not an HTTP answer")
	errNotAccepted     = errors.New("the server closed the new connection")
	errForeignAnswer   = errors.New("the answer belongs to another request")
)

// maxSkippedBytes bounds the body of an answer to another request that is read past.
const maxSkippedBytes = 1 << 20

// Send sends the request and returns the head of the answer. It ends when ctx does: the connection is then closed, which
// tells the server that nobody waits. The error is a *DialError or a *SentError.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	maxIdle := p.options.ReuseWithin
	if req.Repeatable {
		maxIdle = p.options.IdleTimeout
	}
	for {
		c, err := p.take(ctx, address, maxIdle)
		if err != nil {
			return nil, err
		}
		if c.fresh && !req.Repeatable && !c.isAccepted(p.options.AcceptWait) {
			_ = c.Close()
			return nil, &DialError{Address: address, Err: errNotAccepted}
		}
		resp, err := p.exchange(ctx, c, req)
		if err == nil {
			return resp, nil
		}
		_ = c.Close()
		// A kept connection that the server had closed fails at once; a new one tells whether the server lives.
		if c.fresh || !req.Repeatable || ctx.Err() != nil || !time.Now().Before(req.Deadline) {
			return nil, &SentError{Address: address, Fresh: c.fresh, Err: err}
		}
	}
}

func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (*Response, error) {
	if err := c.SetDeadline(req.Deadline); err != nil {
		return nil, err
	}
	r := &Response{pool: p, conn: c}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.write(req); err != nil {
		r.stop()
		return nil, err
	}
	if err := r.readHead(req); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

// asyncBodyBytes is the size from which a request is written beside reading: a server may answer before it has read it.
const asyncBodyBytes = 16 << 10

// write sends the request, a long one in the background.
func (r *Response) write(req *Request) error {
	data := appendRequest(make([]byte, 0, 512+len(req.Body)), req)
	if len(data) < asyncBodyBytes {
		_, err := r.conn.Write(data)
		return err
	}
	written := make(chan error, 1)
	r.written = written
	go func() {
		_, err := r.conn.Write(data)
		written <- err
	}()
	return nil
}

func appendRequest(data []byte, req *Request) []byte {
	data = append(data, req.Method...)
	data = append(data, ' ')
	data = append(data, req.Target...)
	data = append(data, " HTTP/1.1\r\nHost: "...)
	data = append(data, req.Host...)
	data = append(data, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			data = append(data, name...)
			data = append(data, ": "...)
			data = append(data, value...)
			data = append(data, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		data = append(data, "Content-Length: "...)
		data = strconv.AppendInt(data, int64(len(req.Body)), 10)
		data = append(data, "\r\n"...)
	}
	data = append(data, "\r\n"...)
	return append(data, req.Body...)
}

func (r *Response) readHead(req *Request) error {
	for {
		message, err := http.ReadResponse(r.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if message.StatusCode >= 100 && message.StatusCode < 200 {
			if message.StatusCode == http.StatusSwitchingProtocols {
				return errNotAnHTTPAnswer
			}
			continue
		}
		if !req.Owns(message.StatusCode, message.Header) {
			if _, err := io.CopyN(io.Discard, message.Body, maxSkippedBytes); !errors.Is(err, io.EOF) || message.Close {
				return errForeignAnswer
			}
			continue
		}
		r.message = message
		r.Status = message.StatusCode
		r.Header = message.Header
		r.Body = &bodyReader{response: r, from: message.Body}
		return nil
	}
}

// bodyReader notes the end of the body.
type bodyReader struct {
	response *Response
	from     io.Reader
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if nothing is left on it from this answer or request.
func (r *Response) Close() {
	r.once.Do(func() {
		stopped := r.stop()
		if !stopped || !r.ended || !r.isWritten() || r.message.Close || r.conn.reader.Buffered() > 0 {
			_ = r.conn.Close()
			return
		}
		r.conn.keep = keepAliveTime(r.Header.Get("Keep-Alive"))
		r.pool.put(r.conn)
	})
}

// Discard ends the exchange and closes the connection, which tells the server to stop.
func (r *Response) Discard() {
	r.ended = false
	r.Close()
}

// isWritten reports whether the whole request has been sent.
func (r *Response) isWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// ReadAll reads a body of at most limit bytes to its end. io.ErrUnexpectedEOF and connection errors mean that it broke off.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	size := r.message.ContentLength
	if size > limit {
		return nil, &bufferError{limit: limit}
	}
	buffer := make([]byte, 0, max(size+1, 512))
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if int64(len(buffer)) > limit {
			return nil, &bufferError{limit: limit}
		}
	}
}

// bufferError reports an answer that is larger than this process takes.
type bufferError struct{ limit int64 }

// Error implements error.
func (e *bufferError) Error() string {
	return fmt.Sprintf("the answer is larger than %d bytes", e.limit)
}

// Events returns a reader of the events of the body.
func (r *Response) Events() *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r.Body, readBufferBytes)}
}

// EventReader splits a stream of events.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Next returns the bytes of the next whole event with the empty line that ends it, or io.EOF after the last one. Bytes of
// an event that broke off are never returned. The slice is valid until the next call.
func (e *EventReader) Next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.event) > maxEventBytes {
				return nil, &bufferError{limit: maxEventBytes}
			}
			continue
		case errors.Is(err, io.EOF):
			if len(e.event) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, io.EOF
		case err != nil:
			return nil, err
		}
		if isBlank(line) && len(e.event) > len(line) {
			return e.event, nil
		}
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}
