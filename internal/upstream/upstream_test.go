package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// startBackend starts a server that handles each connection by serve. n is the number of the connection, from 1 on.
func startBackend(t *testing.T, serve func(n int, r *bufio.Reader, conn net.Conn)) (address string, accepted *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(accepted.Add(1))
			go serve(n, bufio.NewReader(conn), conn)
		}
	}()
	return listener.Addr().String(), accepted
}

// readRequest reads a request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// request returns a POST request that matches answer.
func request(body string, repeatable bool) *upstream.Request {
	return &upstream.Request{
		Method: "POST", Target: "/p?q=1", Host: "h", Header: http.Header{"Id": {"mine"}}, Body: []byte(body), Repeatable: repeatable,
		Deadline: time.Now().Add(5 * time.Second),
		Matches:  func(h upstream.Head) bool { return h.Header.Get("Id") == "mine" },
	}
}

func newPool() *upstream.Pool { return upstream.NewPool(upstream.DefaultOptions(), nil) }

// answer is a complete answer to a request of the function request.
const answer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

// send sends the request and returns the body of its answer.
func send(t *testing.T, p *upstream.Pool, address string, req *upstream.Request) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), address, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1<<20, nil)
	return string(body), err
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	address, accepted := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+answer)
		}
	})
	p := newPool()
	for range 2 {
		body, err := send(t, p, address, request("x", false))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(accepted.Load(), int64(1)) // the connection is reused
}

func TestBytesAfterAnAnswerReachNoOtherRequest(t *testing.T) {
	is := is.New(t)
	address, accepted := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer+"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwrong")
		}
	})
	p := newPool()
	for range 3 {
		body, err := send(t, p, address, request("x", false))
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(20 * time.Millisecond) // the extra bytes arrive
	}
	is.Equal(accepted.Load(), int64(3))
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(conn, head)
				_ = conn.Close()
			})
			_, err := send(t, newPool(), address, request("x", false))
			is.True(err != nil)
		})
	}
}

func TestRequestThatMayHaveRunIsNotResent(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			if requests.Add(1) > 1 {
				_ = conn.Close()
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	})
	p := newPool()
	_, err := send(t, p, address, request("x", false))
	is.NoErr(err)
	_, err = send(t, p, address, request("x", false))
	is.True(err != nil && !upstream.IsNotSent(err))
	is.Equal(requests.Load(), int64(2))
}

// Guards against an answer that is not told to be possibly one to an earlier request.
func TestOnlyTheFirstAnswerOfAConnectionIsFirst(t *testing.T) {
	is := is.New(t)
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"+answer)
		}
	})
	var first []bool
	p := newPool()
	for range 2 {
		req := request("x", true)
		req.Matches = func(h upstream.Head) bool {
			first = append(first, h.First)
			return h.Header.Get("Id") == "mine"
		}
		_, err := send(t, p, address, req)
		is.NoErr(err)
	}
	is.Equal(first, []bool{true, false, false, false})
}

// keepConnections makes the pool keep n idle connections to the address.
func keepConnections(t *testing.T, p *upstream.Pool, address string, n int) {
	t.Helper()
	var open []*upstream.Response
	for range n {
		resp, err := p.Send(t.Context(), address, request("first", true))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, resp)
	}
	for _, resp := range open {
		_, _ = resp.ReadAll(1<<20, nil)
		resp.Close()
	}
}

// Guards against a request that a server may have run, and under which it may have ended, but that is taken for not sent.
func TestRequestThatEndsItsServerOnAKeptConnectionCountsAsSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(conn, answer)
		_, _, _ = readRequest(r)
		_ = listener.Close()
		_ = conn.Close()
	}()
	p := newPool()
	keepConnections(t, p, listener.Addr().String(), 1)
	_, err = send(t, p, listener.Addr().String(), request("second", true))
	var sent *upstream.SentError
	is.True(errors.As(err, &sent))
	is.True(!upstream.IsNotSent(err))
	is.True(errors.Is(err, syscall.ECONNREFUSED)) // the server has ended
}

// Guards against a request that is sent although it became known while the connection was opened, or while a kept one broke, that it
// must not be.
func TestRequestIsCheckedEachTimeItIsWritten(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for first := true; ; first = false {
			_, _, err := readRequest(r)
			if err == nil {
				requests.Add(1)
			}
			if err != nil || !first {
				_ = conn.Close()
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	})
	refusal := errors.New("not any more")
	p := newPool()
	withheld := request("first", true)
	withheld.BeforeWrite = func() error { return refusal }
	_, err := send(t, p, address, withheld)
	is.True(errors.Is(err, refusal) && upstream.IsNotSent(err) && !upstream.IsUnreachable(err))
	is.Equal(requests.Load(), int64(0))

	keepConnections(t, p, address, 1)
	asked := 0
	again := request("second", true)
	again.BeforeWrite = func() error {
		if asked++; asked > 1 {
			return refusal
		}
		return nil
	}
	_, err = send(t, p, address, again)
	is.True(errors.Is(err, refusal) && !upstream.IsNotSent(err)) // it was sent once
	is.Equal(asked, 2)
	is.Equal(requests.Load(), int64(2))
}

// Guards against a request that a server gets as many times as it has kept connections.
func TestRequestIsSentAgainOnceOnly(t *testing.T) {
	is := is.New(t)
	var failed atomic.Int64
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			_, body, err := readRequest(r)
			if err != nil || body != "first" {
				if err == nil {
					failed.Add(1)
				}
				_ = conn.Close()
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	})
	p := newPool()
	keepConnections(t, p, address, 4)
	_, err := send(t, p, address, request("second", true))
	is.True(err != nil)
	is.Equal(failed.Load(), int64(2))
}

func TestNonRepeatableRequestIsNotSentOnRejectedConnection(t *testing.T) {
	is := is.New(t)
	address, _ := startBackend(t, func(_ int, _ *bufio.Reader, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	options := upstream.DefaultOptions()
	options.RejectWait = 50 * time.Millisecond
	_, err := send(t, upstream.NewPool(options, nil), address, request("x", false))
	is.True(upstream.IsNotSent(err))
}

func TestCancelledRequestClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, _ net.Conn) {
		_, _, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, address, request("x", true))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

func TestConnectionWithUnreadRequestIsNotReused(t *testing.T) {
	is := is.New(t)
	address, accepted := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer) // before the request's body is read
		time.Sleep(time.Second)
	})
	p := newPool()
	for range 2 {
		body, err := send(t, p, address, request(strings.Repeat("x", 32<<20), true))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(accepted.Load(), int64(2))
}

func TestTruncatedEventIsNotDelivered(t *testing.T) {
	is := is.New(t)
	address, _ := startBackend(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"14\r\nid: 1\ndata: a\n\nid: 2\r\n")
		_ = conn.Close()
	})
	resp, err := newPool().Send(t.Context(), address, request("x", true))
	is.NoErr(err)
	defer resp.Close()
	events := resp.Events(limits.Stream{Bytes: 1 << 20}, nil)
	event, err := events.Next()
	is.NoErr(err)
	is.Equal(string(event), "id: 1\ndata: a\n\n")
	_, err = events.Next()
	is.True(err != nil && !errors.Is(err, io.EOF))
}
