package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	openHead    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	maxExchange = 64 << 20 // Bytes of memory that one exchange with a server in trouble may allocate.
)

// serveRaw answers one request on each connection by write.
func serveRaw(t *testing.T, write func(net.Conn)) (address string) {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			write(conn)
		}
	})
}

// serveConns handles each connection by serve and then closes it.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// serveKept answers each request on each connection by write, and counts the connections.
func serveKept(t *testing.T, connections *atomic.Int64, write func(net.Conn)) (address string) {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		connections.Add(1)
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			write(conn)
		}
	})
}

// endlessly returns a function that writes the start and then the repeated text until the connection is closed.
func endlessly(start, repeated string) func(net.Conn) {
	block := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}
}

// Guards against a peer that fills the memory of the process with bytes that are no answer.
func TestEndlessBytesEndTheRequest(t *testing.T) {
	client := transport.NewClient(transport.ClientOptions{RequestTimeout: time.Minute, MaxBodyBytes: 1 << 20})
	readAll := func(address string) error {
		stream, err := client.Stream(context.Background(), "GET", address, "/", nil, false)
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = stream.ReadAll()
		return err
	}
	readLine := func(address string) error {
		stream, err := client.Stream(context.Background(), "GET", address, "/", nil, false)
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = stream.ReadLine()
		return err
	}
	readJSON := func(address string) error { return client.JSON(context.Background(), "GET", address, "/", nil, nil) }
	for name, c := range map[string]struct {
		start, repeated string
		request         func(address string) error
	}{
		"status line":           {"HTTP/1.1 200 ", "x", readJSON},
		"headers":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n", readJSON},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", readJSON},
		"trailers":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", readJSON},
		"trailers of a stream":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", readAll},
		"body":                  {openHead, "x", readJSON},
		"failure":               {"HTTP/1.1 500 Failed\r\n\r\n", "x", readJSON},
		"line of a stream":      {openHead, "x", readLine},
		"rest of a stream":      {openHead, "x\n", readAll},
		"failure of a stream":   {"HTTP/1.1 500 Failed\r\n\r\n", "x", readAll},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := allocated()
			err := c.request(serveRaw(t, endlessly(c.start, c.repeated)))
			is.True(err != nil)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the bytes end the request, not its time limit
			is.True(allocated()-before < maxExchange)
		})
	}
}

// Guards against a stream that stalls, but sends a byte now and then so that the limit on the time without bytes never ends it.
func TestStreamWithoutProgressEnds(t *testing.T) {
	is := is.New(t)
	const pause, lines = time.Second, 12
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, openHead)
		for range lines { // longer than the longest pause in all
			time.Sleep(pause / 10)
			_, _ = io.WriteString(conn, "x\n")
		}
		for _, err := io.WriteString(conn, ":"); err == nil; _, err = io.WriteString(conn, ":") {
			time.Sleep(pause / 10)
		}
	})
	stream, err := transport.NewClient(transport.ClientOptions{}).Stream(context.Background(), "GET", address, "/", nil, false)
	is.NoErr(err)
	defer stream.Close()
	stream.LimitPause(pause)
	for range lines {
		_, err = stream.ReadLine()
		is.NoErr(err)
		stream.MarkProgress()
	}
	_, err = stream.ReadLine()
	var stalled *limits.StalledError
	is.True(errors.As(err, &stalled))
}

// allocated returns the bytes of memory that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
