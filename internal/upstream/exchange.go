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
	Target     string // Path and query, sent unchanged.
	Host       string
	Header     http.Header // Without hop-by-hop headers.
	Body       []byte
	Repeatable bool      // May run more than once: it is sent again if a reused connection fails.
	Deadline   time.Time // Time by which the whole exchange must be complete, including the body of the answer.
	// Matches reports whether an answer belongs to the request. Late answers to earlier requests on the same connection do not;
	// they are skipped.
	Matches func(status int, header http.Header) bool
}

// Response is an answer whose head has been read. The caller must call Close or Abort.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool         *Pool
	conn         *conn
	message      *http.Response // The answer as read from conn.
	writeResult  <-chan error   // Gets the result of a background write; nil if the request was written immediately.
	stopCancel   func() bool    // Stops the context's end from closing conn; returns false if that has begun.
	bodyComplete bool           // The body was read to its end.
	once         sync.Once      // Makes Close end the exchange only once.
}

// SentError reports that the request was or may have been sent, and that no answer to it arrived. The server may have run it.
type SentError struct {
	Address       string
	NewConnection bool // The request was the first on its connection.
	Err           error
}

// Error implements error.
func (e *SentError) Error() string {
	connection := "a kept"
	if e.NewConnection {
		connection = "a new"
	}
	return fmt.Sprintf("no answer from %s on %s connection: %v", e.Address, connection, e.Err)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

// IsNotSent reports whether err proves that the request was not sent.
func IsNotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

var (
	errProtocolSwitched = errors.New("the server switched to another protocol")
	errRejected         = errors.New("the server closed the new connection before the request was sent")
	errUnrelatedAnswer  = errors.New("the answer belongs to another request")
)

// maxSkippedBytes limits the body of a skipped answer. If it is larger, the connection is closed instead.
const maxSkippedBytes = 1 << 20

// Send sends the request and returns the answer once its head has been read. When ctx ends before Close is called, the
// connection is closed, which tells the server to stop working on the request. The error is a *DialError or a *SentError.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	maxIdle := p.options.MaxIdleNonRepeatable
	if req.Repeatable {
		maxIdle = p.options.IdleTimeout
	}
	for {
		c, err := p.get(ctx, address, maxIdle)
		if err != nil {
			return nil, err
		}
		if c.isNew && !req.Repeatable && !c.staysOpen(p.options.RejectWait) {
			_ = c.Close()
			return nil, &DialError{Address: address, Err: errRejected}
		}
		resp, err := p.exchange(ctx, c, req)
		if err == nil {
			return resp, nil
		}
		_ = c.Close()
		// A reused connection that the server had closed fails immediately, so the request is sent again on another one. A
		// failure of a new connection means that the server itself has failed.
		if c.isNew || !req.Repeatable || ctx.Err() != nil || !time.Now().Before(req.Deadline) {
			return nil, &SentError{Address: address, NewConnection: c.isNew, Err: err}
		}
	}
}

// exchange sends the request on the connection and reads the head of the answer. The end of ctx closes the connection.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (*Response, error) {
	if err := c.SetDeadline(req.Deadline); err != nil {
		return nil, err
	}
	r := &Response{pool: p, conn: c}
	r.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.write(req); err != nil {
		r.stopCancel()
		return nil, err
	}
	if err := r.readHead(req); err != nil {
		r.stopCancel()
		return nil, err
	}
	return r, nil
}

// asyncWriteBytes is the size from which a request is written in the background, while the answer is read: a server may
// answer before it has read the whole request.
const asyncWriteBytes = 16 << 10

// write sends the request. Requests of at least asyncWriteBytes are sent in the background.
func (r *Response) write(req *Request) error {
	data := appendRequest(make([]byte, 0, 512+len(req.Body)), req)
	if len(data) < asyncWriteBytes {
		_, err := r.conn.Write(data)
		return err
	}
	result := make(chan error, 1)
	r.writeResult = result
	go func() {
		_, err := r.conn.Write(data)
		result <- err
	}()
	return nil
}

// appendRequest appends the request in HTTP/1.1 format to data.
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

// readHead reads the head of the answer that matches the request. It skips informational answers and unrelated ones.
func (r *Response) readHead(req *Request) error {
	for {
		message, err := http.ReadResponse(r.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if message.StatusCode >= 100 && message.StatusCode < 200 {
			if message.StatusCode == http.StatusSwitchingProtocols {
				return errProtocolSwitched
			}
			continue
		}
		if !req.Matches(message.StatusCode, message.Header) {
			if _, err := io.CopyN(io.Discard, message.Body, maxSkippedBytes); !errors.Is(err, io.EOF) || message.Close {
				return errUnrelatedAnswer
			}
			continue
		}
		r.message = message
		r.Status = message.StatusCode
		r.Header = message.Header
		r.Body = &bodyReader{response: r, body: message.Body}
		return nil
	}
}

// bodyReader records in the response that the body has been read to its end.
type bodyReader struct {
	response *Response
	body     io.Reader
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept for reuse only if the request was sent and the answer was read completely,
// no further bytes have arrived, the server does not close it, and the context of Send has not ended.
func (r *Response) Close() {
	r.once.Do(func() {
		stopped := r.stopCancel()
		if !stopped || !r.bodyComplete || !r.isWritten() || r.message.Close || r.conn.reader.Buffered() > 0 {
			_ = r.conn.Close()
			return
		}
		r.conn.serverKeepAlive = keepAliveTime(r.Header.Get("Keep-Alive"))
		r.pool.put(r.conn)
	})
}

// Abort ends the exchange and closes the connection, which tells the server to stop working on the request.
func (r *Response) Abort() {
	r.bodyComplete = false
	r.Close()
}

// isWritten reports whether the request has been sent completely. It may be called only once.
func (r *Response) isWritten() bool {
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// ReadAll reads the body to its end. A body of more than limit bytes is an error. io.ErrUnexpectedEOF and connection errors
// mean that the body is incomplete.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	size := r.message.ContentLength
	if size > limit {
		return nil, &tooLargeError{limit: limit}
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
			return nil, &tooLargeError{limit: limit}
		}
	}
}

// tooLargeError reports an answer, or an event of a stream, that exceeds the limit.
type tooLargeError struct{ limit int64 }

// Error implements error.
func (e *tooLargeError) Error() string {
	return fmt.Sprintf("the answer is larger than %d bytes", e.limit)
}

// Events returns a reader for the events in the body.
func (r *Response) Events() *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r.Body, readBufferBytes)}
}

// EventReader splits an event stream into its events.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// Next returns the bytes of the next event, including the empty line that ends it, or io.EOF after the last one. An incomplete
// event at the end of the stream is never returned. The slice is valid until the next call.
func (e *EventReader) Next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.event) > maxEventBytes {
				return nil, &tooLargeError{limit: maxEventBytes}
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

// isBlank reports whether a line, including its line break, is empty.
func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}
