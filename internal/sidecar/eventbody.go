package sidecar

import (
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/backend"
)

// keepAliveInterval lies between two keepalive events of an open stream.
const keepAliveInterval = time.Second

// contentTypeEvents is the type of a stream of events, one JSON value a line.
const contentTypeEvents = "application/x-ndjson"

// eventBody is the body of an answer that follows a call until its last event. It implements
// fasthttp.ReadCloserWithError, so that it learns whether the last event was handed to the connection.
type eventBody struct {
	reader  *backend.Reader
	pending []byte // Events, or a keepalive, not copied out yet.
	last    bool   // The last event is in pending or was copied out.
	ticker  *time.Ticker
}

func newEventBody(reader *backend.Reader) *eventBody {
	return &eventBody{reader: reader, ticker: time.NewTicker(keepAliveInterval)}
}

// Read implements io.Reader. It waits for events; during a silence it returns keepalive events.
func (b *eventBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.last {
			return 0, io.EOF
		}
		b.pending, b.last = b.reader.Read()
		if len(b.pending) > 0 {
			break
		}
		select {
		case <-b.reader.Ready():
		case <-b.ticker.C:
			b.pending = backend.KeepAliveLine
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// CloseWithError implements fasthttp.ReadCloserWithError.
func (b *eventBody) CloseWithError(err error) error {
	b.ticker.Stop()
	b.reader.Close(err == nil && b.last && len(b.pending) == 0)
	return nil
}
