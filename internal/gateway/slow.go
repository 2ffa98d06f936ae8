package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// Callers that send or read slowly hold memory of the gateway for long. When it needs memory for another call and there is none left,
// the call of the slowest caller is ended.

// Directions of transfers, in metrics and log lines.
const (
	directionRequest = "request"
	directionAnswer  = "answer"
)

// past is a deadline that makes reads and writes that wait fail at once.
var past = time.Unix(1, 0)

// endTransfer returns what ends a transfer with the caller. It does not block.
func (x *exchange) endTransfer(direction string) func(buffers.Ended) {
	controller := http.NewResponseController(x.w)
	return func(e buffers.Ended) {
		var err error
		if direction == directionRequest {
			err = controller.SetReadDeadline(past)
		} else {
			err = controller.SetWriteDeadline(past)
		}
		x.g.metrics.slowCallEnded(direction).Inc()
		x.g.log.Warn("call of the slowest caller ended", "request", x.call.ID, "direction", direction, "held_bytes", e.Held,
			"moved_bytes", e.Moved, "after_ms", e.After.Milliseconds(), "all_held_bytes", x.g.buffers.Held(), "error", err)
	}
}

// receiveBody reads the caller's body. size is its expected length; -1 if unknown.
func (x *exchange) receiveBody(body io.Reader, size int64) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	x.buffers.BeginTransfer(x.endTransfer(directionRequest))
	data, err := buffers.ReadAll(&countingReader{body, x.buffers}, size, x.buffers.TakeRequest)
	x.buffers.EndTransfer()
	if x.buffers.Ended() {
		x.w.Header().Set("Connection", "close") // The rest of the body is not read.
		return nil, buffers.ErrSlowest
	}
	return data, err
}

// countingReader tells an account what is read.
type countingReader struct {
	io.Reader
	account *buffers.Account
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.account.Moved(n)
	return n, err
}

const (
	// answerPartBytes is how much of a body is written at once, so that the progress of the caller is known.
	answerPartBytes = 16 << 10
	// directBytes is how much of an answer may be written without waiting for the caller: net/http buffers it.
	directBytes = 4 << 10
)

// writeBody sends the body of an answer to the caller. The error is buffers.ErrSlowest in a *brokenOffError; a caller that has
// disconnected is detected by its connection.
func (x *exchange) writeBody(body []byte) error {
	if len(body) <= directBytes {
		_, _ = x.w.Write(body)
		return nil
	}
	x.buffers.BeginTransfer(x.endTransfer(directionAnswer))
	defer x.buffers.EndTransfer()
	for len(body) > 0 {
		n, err := x.w.Write(body[:min(len(body), answerPartBytes)])
		if x.buffers.Ended() {
			return &brokenOffError{buffers.ErrSlowest}
		}
		if err != nil {
			return nil
		}
		x.buffers.Moved(n)
		body = body[n:]
	}
	return nil
}

// readAhead returns the events of an answer, which are read ahead while the caller takes them slowly. The server's part is over when
// it has sent all.
func (s *stream) readAhead(ctx context.Context, resp *upstream.Response, p placement) eventSource {
	events := resp.Events(limits.Stream{Bytes: maxStreamBytes, MaxPause: maxEventPause(s.route)}, s.buffers)
	options := buffers.ReadAheadOptions{
		Source: guardedSource(s.g.log, events.Next), Detach: events.Detach, Account: s.buffers, End: s.endTransfer(directionAnswer),
		IsEnd: func(err error) bool { return errors.Is(err, io.EOF) },
		OnEnd: func() { s.recordEnd(p, outcomeServed, nil) }, // The times belong to the goroutine that delivers.
	}
	var recorded *recordedEvents
	if s.transcript != nil {
		recorded = s.record(ctx, p.server, options.Source)
		options.Source, options.Detach = recorded.next, func() {}
	}
	return eventSource{ReadAhead: buffers.NewReadAhead(options), recorded: recorded}
}

// guardedSource returns next with panics converted to errors: events are also read outside the goroutine that serves the call.
func guardedSource(log *slog.Logger, next func() ([]byte, error)) func() ([]byte, error) {
	return func() (event []byte, err error) {
		if panicked := guard.Run(log, "stream", func() { event, err = next() }); panicked != nil {
			return nil, panicked
		}
		return event, err
	}
}

// callerBufferBytes limits what the operating system holds for a caller that reads slowly. It takes as much again for itself. Without
// a limit this grows to megabytes for each connection. A caller in another failure domain, 3 ms away, still gets 20 MB a second.
const callerBufferBytes = 64 << 10

// limitWriteBuffer limits what the operating system holds of the answers on a caller's connection.
func limitWriteBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerBufferBytes) // Fails only on a connection that has ended.
	}
}
