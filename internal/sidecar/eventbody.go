package sidecar

import (
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/backend"
)

// keepAliveInterval is the interval between keepalive events while a call has no new events.
const keepAliveInterval = time.Second

// contentTypeEvents is the content type of an event stream, which has one JSON value per line.
const contentTypeEvents = "application/x-ndjson"

// eventBody is a response body that streams the events of a call until the last one. It implements
// fasthttp.ReadCloserWithError to learn whether the last event was written to the connection.
type eventBody struct {
	reader   *backend.Reader
	pending  []byte // Events, or a keepalive event, that Read has not returned yet.
	lastRead bool   // The last event is in pending or has been returned by Read.
	ticker   *time.Ticker
}

func newEventBody(reader *backend.Reader) *eventBody {
	return &eventBody{reader: reader, ticker: time.NewTicker(keepAliveInterval)}
}

// Read implements io.Reader. It waits for events and returns a keepalive event when none arrives in time.
func (b *eventBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.lastRead {
			return 0, io.EOF
		}
		b.pending, b.lastRead = b.reader.Read()
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

// CloseWithError implements fasthttp.ReadCloserWithError. The last event counts as delivered if err is nil and Read has
// returned it completely.
func (b *eventBody) CloseWithError(err error) error {
	b.ticker.Stop()
	b.reader.Close(err == nil && b.lastRead && len(b.pending) == 0)
	return nil
}
