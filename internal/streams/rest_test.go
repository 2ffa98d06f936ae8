package streams_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/streams"
)

func TestRestOfAStreamIsAnEventStream(t *testing.T) {
	for _, c := range []struct {
		status      int
		header      http.Header
		framed      bool
		rest, empty bool // Whether it may be the rest of a stream, with events and without any.
	}{
		{200, http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}}, true, true, true},
		{200, http.Header{"Content-Type": {"text/event-stream"}}, false, true, false},
		{200, http.Header{}, true, true, false},
		{200, http.Header{"Content-Type": {"application/json"}}, true, false, false},
		{200, http.Header{"Content-Type": {"text/event-stream"}, "Content-Encoding": {"gzip"}}, true, false, true},
		{204, http.Header{"Content-Type": {"text/event-stream"}}, true, false, true},
		{200, http.Header{"Content-Type": {";"}}, true, false, false},
	} {
		is := is.New(t)
		is.Equal(streams.CheckRest(c.status, c.header) == nil, c.rest)
		is.Equal(streams.CheckEmptyRest(c.header, c.framed) == nil, c.empty)
	}
}
