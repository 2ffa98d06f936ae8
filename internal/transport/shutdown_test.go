package transport_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// lateListener accepts connections whose reads return late, as in a process that is short of processor time.
type lateListener struct {
	net.Listener
	reads chan struct{} // Told of each read that has got bytes, if anybody listens; then the read returns late.
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{conn.(*net.TCPConn), l.reads}, nil
}

type lateConn struct {
	*net.TCPConn
	reads chan struct{}
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		select {
		case c.reads <- struct{}{}:
			time.Sleep(300 * time.Millisecond)
		default:
		}
	}
	return n, err
}

// Guards against a shutdown that drops a request which the process has read from an idle connection.
func TestShutdownAnswersARequestThatHasBeenRead(t *testing.T) {
	is := is.New(t)
	inner, err := transport.Bind("127.0.0.1:0")
	is.NoErr(err)
	listener := lateListener{inner, make(chan struct{})}
	server := transport.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Path()) },
		transport.ServerOptions{Log: slog.New(slog.DiscardHandler)})
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	stopped := make(chan error, 1)
	for _, path := range []string{"/first", "/second"} {
		if path == "/second" {
			time.Sleep(2 * time.Second) // fasthttp closes connections that have been idle for longer than a second.
			go func() {
				<-listener.reads
				stopped <- server.Shutdown(context.Background())
			}()
		}
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
	is.NoErr(<-stopped)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}
