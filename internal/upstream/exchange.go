package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/limits"
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
	// BeforeWrite is called immediately before each time the request is written, on whichever connection. If it returns an error, the
	// request is not written. It may be nil.
	BeforeWrite func() error
	// Matches reports whether an answer belongs to the request. Late answers to earlier requests on the same connection do not;
	// they are skipped.
	Matches func(Head) bool
	// OnMalformed is called for each answer that is none of the protocol, whichever request it belongs to. It may be nil.
	OnMalformed func(*http1.MalformedError)
}

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header
	First  bool // No other answer or request was on the connection before, so it cannot belong to an earlier request.
}

// Response is an answer whose head has been read. The caller must call Close or Abort.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool         *Pool
	conn         *conn
	deadline     time.Time
	head         *http1.Head
	sending      *http1.Sending
	stopCancel   func() bool                 // Stops the context's end from closing conn; returns false if that has begun.
	onMalformed  func(*http1.MalformedError) // Nil if there is none, and once it was called.
	bodyComplete bool                        // The body was read to its end.
	once         sync.Once                   // Makes Close end the exchange only once.
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

// WithheldError reports that Request.BeforeWrite has kept the request from being sent.
type WithheldError struct{ Err error }

// Error implements error.
func (e *WithheldError) Error() string { return fmt.Sprintf("the request was withheld: %v", e.Err) }

// Unwrap returns the cause.
func (e *WithheldError) Unwrap() error { return e.Err }

// IsUnreachable reports whether err proves that the request was not sent because no connection could be opened.
func IsUnreachable(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

// IsNotSent reports whether err proves that the request was not sent.
func IsNotSent(err error) bool {
	var withheld *WithheldError
	return IsUnreachable(err) || errors.As(err, &withheld)
}

// IsAbandoned reports whether err means that the exchange was ended from here, while the server may still have been at work: by its
// context, its deadline or the limit for pauses.
func IsAbandoned(err error) bool {
	var stalled *limits.StalledError
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &stalled)
}

// maxSkippedBytes limits what a backend server may send in one exchange before the answer: all informational answers and answers to other
// requests, with their bodies. The connection is closed as soon as it is passed.
const maxSkippedBytes = 1 << 20

var (
	errTooMuchSkipped  = &limits.TooLargeError{Part: "what precedes the answer", Limit: maxSkippedBytes}
	errRejected        = errors.New("the server closed the new connection before the request was sent")
	errUnrelatedAnswer = errors.New("the answer belongs to another request")
)

// Send sends the request and returns the answer once its head has been read. When ctx ends before Close is called, the
// connection is closed, which tells the server to stop working on the request. The error is a *DialError, a *WithheldError or a
// *SentError.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	c := p.reuse(address, p.maxIdle(req.Repeatable))
	if c != nil {
		resp, err := p.exchange(ctx, c, req)
		if err == nil || IsNotSent(err) {
			return resp, err
		}
		// A reused connection that the server had closed fails immediately, so the request is sent again, on a new connection. A
		// failure of a new connection means that the server itself has failed.
		if !req.Repeatable || ctx.Err() != nil || !time.Now().Before(req.Deadline) {
			return nil, &SentError{Address: address, Err: err}
		}
	}
	sentBefore := c != nil
	c, err := p.dial(ctx, address)
	if err == nil && !req.Repeatable && !c.staysOpen(p.options.RejectWait) {
		_ = c.Close()
		err = &DialError{Address: address, Err: errRejected}
	}
	if err != nil {
		return nil, asSent(err, address, sentBefore)
	}
	resp, err := p.exchange(ctx, c, req)
	switch {
	case IsNotSent(err):
		return nil, asSent(err, address, sentBefore)
	case err != nil:
		return nil, &SentError{Address: address, NewConnection: true, Err: err}
	}
	return resp, nil
}

// asSent returns the error of a request that was not written. If it was written before, on a kept connection, the server may have run
// it, and may have ended while it did.
func asSent(err error, address string, sentBefore bool) error {
	if !sentBefore {
		return err
	}
	return &SentError{Address: address, Err: errors.Unwrap(err)} // Without the type that says it was not sent.
}

// exchange sends the request on the connection and reads the head of the answer. The end of ctx closes the connection, and so does
// an error. A *WithheldError means that nothing was written.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (_ *Response, err error) {
	defer func() {
		if err != nil {
			_ = c.Close()
		}
	}()
	if err := c.SetDeadline(req.Deadline); err != nil {
		return nil, err
	}
	if req.BeforeWrite != nil {
		if err := req.BeforeWrite(); err != nil {
			return nil, &WithheldError{err}
		}
	}
	r := &Response{pool: p, conn: c, deadline: req.Deadline, sending: http1.NewSending(c.Conn), onMalformed: req.OnMalformed}
	r.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.write(req); err != nil {
		r.stopCancel()
		return nil, err
	}
	if err := r.readHead(req); err != nil {
		r.stopCancel()
		r.reportMalformed(err)
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
		_, err := r.sending.Write(data)
		return err
	}
	r.sending.StartWriting(data)
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

// readHead reads the head of the answer that matches the request. It skips informational answers and unrelated ones, up to
// maxSkippedBytes in all.
func (r *Response) readHead(req *Request) error {
	meter := r.conn.meter
	defer meter.AllowAll()
	skippable := int64(maxSkippedBytes)
	first := r.conn.isNew
	for {
		headLimit, tooLarge := int64(http1.MaxHeadBytes), &limits.TooLargeError{Part: "the head of the answer", Limit: http1.MaxHeadBytes}
		if skippable < headLimit {
			headLimit, tooLarge = skippable, errTooMuchSkipped
		}
		meter.Allow(headLimit, tooLarge)
		answer, err := http1.ReadHead(r.conn.reader, req.Method)
		if err != nil {
			return err
		}
		skippable -= headLimit - meter.Left()
		if answer.Status == http.StatusSwitchingProtocols {
			return http1.ErrProtocolSwitched
		}
		if answer.IsInformational() {
			continue
		}
		head := Head{Status: answer.Status, Header: answer.Header, First: first}
		first = false
		if !req.Matches(head) {
			if answer.Close {
				return errUnrelatedAnswer
			}
			meter.Allow(skippable, errTooMuchSkipped)
			if _, err := io.Copy(io.Discard, answer.Body(r.conn.reader, r.sending)); err != nil {
				return fmt.Errorf("%w: %w", errUnrelatedAnswer, err)
			}
			skippable = meter.Left()
			continue
		}
		r.head = answer
		r.Status = answer.Status
		r.Header = answer.Header
		r.Body = &bodyReader{response: r, body: answer.Body(r.conn.reader, r.sending)}
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
	} else {
		b.response.reportMalformed(err)
	}
	return n, err
}

// reportMalformed reports, once, that the answer is none of the protocol or not whole, if err means that.
func (r *Response) reportMalformed(err error) {
	var malformed *http1.MalformedError
	if r.onMalformed != nil && errors.As(err, &malformed) {
		r.onMalformed(malformed)
		r.onMalformed = nil
	}
}

// Close ends the exchange. The connection is kept for reuse only if the request was sent and the answer was read completely,
// no further bytes have arrived, the server does not close it, and the context of Send has not ended.
func (r *Response) Close() {
	r.once.Do(func() {
		stopped := r.stopCancel()
		if !stopped || !r.bodyComplete || !r.sending.IsWritten() || r.head.Close || r.conn.reader.Buffered() > 0 {
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

// ReadAll reads the body to its end. A body of more than limit bytes is a *limits.TooLargeError. The memory is taken from account,
// whose error is returned if it is exhausted. io.ErrUnexpectedEOF and connection errors mean that the body is incomplete.
func (r *Response) ReadAll(limit int64, account *buffers.Account) ([]byte, error) {
	tooLarge := &limits.TooLargeError{Part: "the body of the answer", Limit: limit}
	length := r.head.BodyLength()
	if length > limit {
		return nil, tooLarge
	}
	body := limits.NewReader(r.Body)
	body.Allow(limit+1, tooLarge)
	return buffers.ReadAll(body, length, account.Take)
}

// IsFramed reports whether a length or chunks mark the end of the body. Otherwise it ends with its connection.
func (r *Response) IsFramed() bool { return r.head.IsFramed() }

// Events returns a reader for the events in the body. The memory of large events is taken from account.
func (r *Response) Events(limit limits.Stream, account *buffers.Account) *EventReader {
	return &EventReader{response: r, limit: limit, account: account, taken: readBufferBytes, reader: bufio.NewReaderSize(r.Body, readBufferBytes)}
}

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// EventReader splits an event stream into its events.
type EventReader struct {
	response *Response
	limit    limits.Stream
	account  *buffers.Account
	reader   *bufio.Reader
	event    []byte
	taken    int   // Capacity of event for which no memory need be taken.
	received int64 // Bytes of all events so far.
}

// Next returns the bytes of the next event, including the empty line that ends it, or io.EOF after the last one. Empty lines and
// comments before an event are dropped. An incomplete event at the end of the stream is never returned. The slice is valid until
// the next call. The error is a *limits.TooLargeError or a *limits.StalledError if the server passes the limits, or that of the account.
func (e *EventReader) Next() ([]byte, error) {
	stalls := e.limitPause()
	event, err := e.next()
	if stalls && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &limits.StalledError{Pause: e.limit.MaxPause}
	}
	return event, err
}

// Detach makes the event that Next returned last stay valid.
func (e *EventReader) Detach() { e.event = nil }

// limitPause sets the time by which the next event must be complete. It reports whether this is before the deadline of the
// request.
func (e *EventReader) limitPause() bool {
	if e.limit.MaxPause <= 0 {
		return false
	}
	until := time.Now().Add(e.limit.MaxPause)
	if !until.Before(e.response.deadline) {
		until = e.response.deadline
	}
	if err := e.response.conn.SetReadDeadline(until); err != nil {
		return false // The connection is closed; the read fails.
	}
	return until.Before(e.response.deadline)
}

// next returns the next event as Next does, without a limit on its time.
func (e *EventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	hasField, lineStart := false, 0
	for {
		line, err := e.reader.ReadSlice('\n')
		if err := e.grow(len(line)); err != nil {
			return nil, err
		}
		e.event = append(e.event, line...)
		e.received += int64(len(line))
		switch {
		case len(e.event) > maxEventBytes:
			return nil, &limits.TooLargeError{Part: "an event", Limit: maxEventBytes}
		case e.received > e.limit.Bytes:
			return nil, &limits.TooLargeError{Part: "the event stream", Limit: e.limit.Bytes}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			if hasField || len(e.event) > lineStart { // Comments alone are no event.
				err := &http1.MalformedError{Reason: http1.IncompleteBody, Detail: "the stream ended in an event", Err: io.ErrUnexpectedEOF}
				e.response.reportMalformed(err)
				return nil, err
			}
			return nil, io.EOF
		case err != nil:
			return nil, err
		}
		isEnd := isBlank(e.event[lineStart:])
		if isEnd && hasField {
			return e.event, nil
		}
		if isEnd {
			e.event = e.event[:0]
		} else if e.event[lineStart] != ':' {
			hasField = true
		}
		lineStart = len(e.event)
	}
}

// grow makes room for n more bytes of the event. Its memory is taken before it is allocated.
func (e *EventReader) grow(n int) error {
	if len(e.event)+n <= cap(e.event) {
		return nil
	}
	size := max(len(e.event)+n, 2*cap(e.event))
	if size > e.taken {
		if err := e.account.Take(int64(size - e.taken)); err != nil {
			return err
		}
		e.taken = size
	}
	e.event = append(make([]byte, 0, size), e.event...)
	return nil
}

// isBlank reports whether a line, including its line break, is empty.
func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}
