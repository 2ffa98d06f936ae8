package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Guards against an answer of a sidecar that counts as complete because its connection has ended, and against events that are lost or
// doubled when the call is taken up after that. The answer has neither a length nor chunks.
func TestCallIsTakenUpAfterAnAnswerThatEndedTooEarly(t *testing.T) {
	const (
		last   = `{"kind":"done","result":{"finish_reason":"stop"}}` + "\n"
		events = `{"kind":"started"}` + "\n" + `{"kind":"delta","text":"a"}` + "\n" + `{"kind":"delta","text":"b"}` + "\n" + last
	)
	for _, c := range []struct {
		name  string
		bytes int // Of the events in the first answer.
		reset bool
	}{
		{"complete", len(events), false},
		{"closed after an event", len(events) - len(last), false},
		{"closed in an event", len(events) - 60, false},
		{"closed before the end of the last line", len(events) - 1, false},
		{"reset in an event", len(events) - 60, true},
		{"closed before the first event", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				for n := 0; ; n++ {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					var r api.CallRequest
					if req, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || json.NewDecoder(req.Body).Decode(&r) != nil {
						return
					}
					rest := events[:c.bytes]
					if n > 0 {
						rest = events
						for range r.Offset {
							_, rest, _ = strings.Cut(rest, "\n")
						}
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n"+rest)
					if c.reset && n == 0 {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}
			}()
			e := &Entry{client: transport.NewClient(transport.ClientOptions{})}
			text := ""
			result, failure := e.attempt(t.Context(), target{ID: "s", Address: listener.Addr().String()}, &api.CallRequest{}, reattachTimeout,
				func(event api.Event) { text += event.Text })
			is.True(failure == nil)
			is.Equal(result.FinishReason, "stop")
			is.Equal(text, "ab")
		})
	}
}
