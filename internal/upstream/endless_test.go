package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

const (
	chunkedHead  = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
	untilEndHead = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"
	maxExchange  = 64 << 20 // Bytes of memory that one exchange with a server in trouble may allocate.
)

// sendEndlessly writes the start and then the repeated text until the connection is closed. It closes done then.
func sendEndlessly(start, repeated string, done chan struct{}) func(int, *bufio.Reader, net.Conn) {
	block := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	return func(_ int, r *bufio.Reader, conn net.Conn) {
		defer close(done)
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}
}

// Guards against a server that fills the memory of the process with bytes that are no answer.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":                   {"HTTP/1.1 200 ", "x"},
		"one header":                    {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":                  {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational answers":         {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"answers to other requests":     {"", other},
		"body of another answer":        {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"informational and unrelated":   {"", "HTTP/1.1 102 Processing\r\n\r\n" + other},
		"body":                          {untilEndHead, "x"},
		"chunks":                        {chunkedHead, "1\r\nx\r\n"},
		"chunk size":                    {chunkedHead, "0"},
		"chunk extension":               {chunkedHead + "1;", "x"},
		"chunk extensions":              {chunkedHead, "1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
		"one trailer":                   {chunkedHead + "0\r\nX: ", "x"},
		"trailers":                      {chunkedHead + "0\r\n", "X: y\r\n"},
		"body with a false length":      {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		"body that states a small part": {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1048577\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			done := make(chan struct{})
			address, _ := startBackend(t, sendEndlessly(c.start, c.repeated, done))
			before := allocated()
			req := request("x", false)
			req.Deadline = time.Now().Add(time.Minute)
			_, err := send(t, newPool(), address, req)
			is.True(err != nil)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the bytes end the exchange, not its deadline
			is.True(!upstream.IsNotSent(err))                // the server may have run the request
			is.True(allocated()-before < maxExchange)
			<-done // the connection is closed
		})
	}
}

// Guards against a stream that never ends its event, has no event, or never ends.
func TestEndlessStreamEnds(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"line":            {untilEndHead + "data: ", "x"},
		"lines":           {untilEndHead, "data: x\n"},
		"empty lines":     {untilEndHead, "\n"},
		"comments":        {untilEndHead, ": x\n\n"},
		"events":          {untilEndHead, "id: 1\ndata: x\n\n"},
		"chunked comment": {chunkedHead, "5\r\n: x\n\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			done := make(chan struct{})
			address, _ := startBackend(t, sendEndlessly(c.start, c.repeated, done))
			before := allocated()
			req := request("x", true)
			req.Deadline = time.Now().Add(time.Minute) // The bytes end the stream, not its deadline.
			resp, err := newPool().Send(t.Context(), address, req)
			is.NoErr(err)
			events := resp.Events(limits.Stream{Bytes: 4 << 20}, nil)
			for err == nil {
				_, err = events.Next()
			}
			var tooLarge *limits.TooLargeError
			is.True(errors.As(err, &tooLarge))
			is.True(allocated()-before < maxExchange)
			resp.Abort()
			<-done
		})
	}
}

// Guards against a stream that stalls, but sends a byte now and then so that a limit on the time without bytes never ends it.
// A slow one that sends its events in time goes on.
func TestStreamWithoutEventsEndsAndSlowStreamDoesNot(t *testing.T) {
	is := is.New(t)
	const pause, events = time.Second, 12
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, untilEndHead)
		for range events { // longer than the longest pause in all
			time.Sleep(pause / 10)
			_, _ = io.WriteString(conn, "data: x\n\n")
		}
		for _, err := io.WriteString(conn, "data: "); err == nil; _, err = io.WriteString(conn, "x") {
			time.Sleep(pause / 10)
		}
	})
	req := request("x", true)
	req.Deadline = time.Now().Add(time.Minute)
	resp, err := newPool().Send(t.Context(), address, req)
	is.NoErr(err)
	defer resp.Abort()
	reader := resp.Events(limits.Stream{Bytes: 1 << 20, MaxPause: pause}, nil)
	for range events {
		_, err = reader.Next()
		is.NoErr(err)
	}
	_, err = reader.Next()
	var stalled *limits.StalledError
	is.True(errors.As(err, &stalled))
}

// allocated returns the bytes of memory that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
