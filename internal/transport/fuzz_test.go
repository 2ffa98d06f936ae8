package transport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// scriptedConn is a connection on which a server has sent what source holds.
type scriptedConn struct {
	net.Conn
	source io.Reader
}

// Read implements net.Conn.
func (c scriptedConn) Read(p []byte) (int, error) { return c.source.Read(p) }

// Write implements net.Conn.
func (c scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// readStrictly reads the final answer to a GET request as internal/http1 understands it.
func readStrictly(answer string) (status int, body string, err error) {
	r := bufio.NewReader(strings.NewReader(answer))
	for {
		head, err := http1.ReadHead(r, http.MethodGet)
		switch {
		case err != nil:
			return 0, "", err
		case head.Status == http.StatusSwitchingProtocols:
			return 0, "", http1.ErrProtocolSwitched
		case !head.IsInformational():
			data, err := io.ReadAll(head.Body(r, &http1.Sending{}))
			return head.Status, string(data), err
		}
	}
}

// Reads whatever bytes the fuzzer finds behind a checked connection. The client's own reader must find the same answer in them.
func FuzzCheckedConnection(f *testing.F) {
	for _, answer := range append(rawanswers.Broken(), rawanswers.Valid...) {
		f.Add(answer.Bytes("X-Id: 1\r\n", "the body"))
	}
	f.Fuzz(func(t *testing.T, answer string) {
		if len(answer) > clientBufferBytes { // The client's own limit for a head.
			return
		}
		conn := http1.NewConn(scriptedConn{source: strings.NewReader(answer)}, nil)
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		var got fasthttp.Response
		gotErr := got.ReadLimitBody(bufio.NewReaderSize(conn, 4*clientBufferBytes), maxFuzzedBody) // Room is made for a body that never comes.
		status, body, err := readStrictly(answer)
		if (err == nil) != (gotErr == nil) {
			t.Fatalf("%q: the client got %v, not %v", answer, gotErr, err)
		}
		if err == nil && (got.StatusCode() != status || string(got.Body()) != body) {
			t.Fatalf("%q: the client got %d %q, not %d %q", answer, got.StatusCode(), got.Body(), status, body)
		}
	})
}

const (
	clientBufferBytes = 4 << 10
	maxFuzzedBody     = 1 << 20
)
