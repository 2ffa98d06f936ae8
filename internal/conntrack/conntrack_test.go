package conntrack

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// followState tells a connection its state, as servers do.
func followState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		conn.(*Conn).Begin()
	case http.StateIdle:
		conn.(*Conn).SetIdle()
	}
}

// starvedListener accepts connections whose reads return some time after they have taken the bytes from the operating system, as in a
// process that gets no processor time. Each such read is told to reads.
type starvedListener struct {
	net.Listener
	delay time.Duration
	reads chan struct{}
}

func (l starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return starvedConn{conn.(*net.TCPConn), l}, nil
}

type starvedConn struct {
	*net.TCPConn
	l starvedListener
}

func (c starvedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		select {
		case c.l.reads <- struct{}{}:
			time.Sleep(c.l.delay)
		default:
		}
	}
	return n, err
}

// serveTracked serves HTTP on tracked connections, which the listener accepts, until the test ends. It answers each request with its path.
func serveTracked(t *testing.T, c *Tracker, l net.Listener) {
	t.Helper()
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: followState, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(c.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
}

// dialTracked returns a Tracker and a client's connection to a server on its connections.
func dialTracked(t *testing.T) (*Tracker, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := NewTracker()
	serveTracked(t, c, l)
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return c, conn
}

// exchangeOn sends a request on the connection and returns the body of the answer.
func exchangeOn(conn net.Conn, path string) (string, error) {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	return answerOn(conn)
}

// answerOn reads an answer and returns its body.
func answerOn(conn net.Conn) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a planned stop that closes a connection whose next request has been read, but not parsed.
func TestRequestThatAStarvedProcessHasReadIsAnswered(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := starvedListener{Listener: inner, delay: 200 * time.Millisecond, reads: make(chan struct{})}
	c := NewTracker()
	serveTracked(t, c, listener)
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	body, err := exchangeOn(conn, "/first")
	is.NoErr(err)
	is.Equal(body, "/first")

	go func() {
		<-listener.reads
		c.RetireIdle(0)
	}()
	body, err = exchangeOn(conn, "/second")
	is.NoErr(err)
	is.Equal(body, "/second")
	for c.RetireIdle(0) == 0 && c.Len() > 0 { // until the answer has been sent
		time.Sleep(time.Millisecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the connection ends after the answer
}

// Guards against a planned stop, or an idle timeout, that closes a connection on which a request has arrived that nobody has read.
func TestRequestThatHasArrivedOnAnIdleConnectionIsRead(t *testing.T) {
	for _, includeNew := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = client.Close() }()
		accepted, err := l.Accept()
		is.NoErr(err)
		c := NewTracker()
		conn := c.Add(accepted)
		_, err = io.WriteString(client, "request")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // The bytes arrive.
		if !includeNew {
			conn.isNew = false
		}
		if includeNew {
			c.RetireAll()
		} else {
			is.Equal(c.RetireIdle(0), 1)
		}
		part := make([]byte, 3)
		n, err := conn.Read(part)
		is.NoErr(err)
		is.Equal(string(part[:n]), "req")
		is.True(!c.AreQuiet())
		n, err = conn.Read(part) // The rest of the request is waited for as usual.
		is.NoErr(err)
		is.Equal(string(part[:n]), "ues")
		is.Equal(c.Found(), int64(1))

		_, err = conn.Read(part)
		is.NoErr(err)
		conn.SetIdle()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute))) // as the server does for the next request
		_, err = conn.Read(part)
		is.Equal(err, errRetired)
	}
}

// Guards against planned stops that close a connection before its first request.
func TestNewConnectionsStayOpenUntilAllAreToEnd(t *testing.T) {
	is := is.New(t)
	c, conn := dialTracked(t)
	for c.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.RetireIdle(0)
	body, err := exchangeOn(conn, "/first")
	is.NoErr(err)
	is.Equal(body, "/first")
	c.RetireAll()
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against calls that are cut because they arrived together with the one before them on a connection that is to end.
func TestRequestsThatArriveTogetherAreAnsweredDuringAStop(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := NewTracker()
	began := make(chan struct{}, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(100 * time.Millisecond):
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
		ConnState: followState, IdleTimeout: time.Minute,
	}
	go func() { _ = server.Serve(c.Listen(l)) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		<-began
		if i == 1 {
			c.RetireIdle(0)
		}
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprintf("/%d", i+1))
	}
}

// Guards against stops that end connections on which their callers are about to send.
func TestOnlyConnectionsThatHaveBeenIdleForLongAreRetired(t *testing.T) {
	is := is.New(t)
	c, conn := dialTracked(t)
	body, err := exchangeOn(conn, "/first")
	is.NoErr(err)
	is.Equal(body, "/first")
	is.Equal(c.RetireIdle(time.Hour), 0)
	body, err = exchangeOn(conn, "/second")
	is.NoErr(err)
	is.Equal(body, "/second")
	for c.RetireIdle(50*time.Millisecond) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
