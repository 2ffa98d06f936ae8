package transport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

func listen(t *testing.T, handler fasthttp.RequestHandler) *transport.Server {
	t.Helper()
	server, err := transport.Listen("127.0.0.1:0", handler, transport.ServerOptions{MaxBodyBytes: 1024})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return server
}

// When a response is closed before it is read to its end, the next request must not read the rest of it. This would happen
// if the connection went back to the pool.
func TestAbandonedStreamIsNeverReadByTheNextRequest(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		transport.WriteStream(ctx, "text/plain", func(w *bufio.Writer) {
			for i := range 50 {
				fmt.Fprintf(w, "%s %d\n", path, i)
				_ = w.Flush()
			}
		})
	})
	client := transport.NewClient(transport.ClientOptions{})
	for i := range 20 {
		path := fmt.Sprintf("/%d", i)
		stream, err := client.Stream(context.Background(), "GET", server.Address(), path, nil, false)
		is.NoErr(err)
		line, err := stream.ReadLine()
		is.NoErr(err)
		is.Equal(string(line), path+" 0")
		stream.Close()
	}
}

func TestSilentPeerEndsTheStream(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		transport.WriteStream(ctx, "text/plain", func(w *bufio.Writer) {
			fmt.Fprintln(w, "first")
			_ = w.Flush()
			<-release
		})
	})
	client := transport.NewClient(transport.ClientOptions{IdleTimeout: 50 * time.Millisecond})
	stream, err := client.Stream(context.Background(), "GET", server.Address(), "/", nil, false)
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.ReadLine()
	is.NoErr(err)
	_, err = stream.ReadLine()
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
}

func TestErrorsKeepTheirCode(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		transport.WriteError(ctx, api.Errorf(api.CodeStaleFence, "journal 3 is owned under 9"))
	})
	client := transport.NewClient(transport.ClientOptions{})
	err := client.JSON(context.Background(), "POST", server.Address(), "/", struct{}{}, nil)
	var coded *api.Error
	is.True(errors.As(err, &coded))
	is.Equal(coded.Code, api.CodeStaleFence)
	_, err = client.Stream(context.Background(), "POST", server.Address(), "/", nil, false)
	is.True(errors.As(err, &coded))
	is.Equal(coded.Message, "journal 3 is owned under 9")
	err = client.JSON(context.Background(), "POST", server.Address(), "/", make([]byte, 2048), nil)
	is.True(errors.As(err, &coded))
	is.Equal(coded.Code, api.CodeBodyTooLarge)
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := transport.NewClient(transport.ClientOptions{})
	err = client.JSON(context.Background(), "POST", address, "/", nil, nil)
	is.True(transport.IsNotSent(err))
}

// Guards against one request that takes the whole process down.
func TestPanicOfAHandlerFailsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/panic" {
			panic("a fault of the program")
		}
		transport.WriteJSON(ctx, fasthttp.StatusOK, nil)
	})
	client := transport.NewClient(transport.ClientOptions{})
	err := client.JSON(context.Background(), "POST", server.Address(), "/panic", nil, nil)
	var failure *api.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, api.CodeOutcomeUnknown) // the request may have had an effect
	is.NoErr(client.JSON(context.Background(), "POST", server.Address(), "/", nil, nil))
}

// Guards against a panic at an answer whose status allows no body.
func TestStreamOfAnAnswerWithoutBodyIsEmpty(t *testing.T) {
	client := transport.NewClient(transport.ClientOptions{})
	for _, answer := range []string{"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n"} {
		is := is.New(t)
		address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, answer) })
		stream, err := client.Stream(t.Context(), "GET", address, "/", nil, true)
		var status *transport.StatusError
		if errors.As(err, &status) {
			is.Equal(status.Status, 304)
			continue
		}
		is.NoErr(err)
		_, err = stream.ReadLine()
		is.Equal(err, io.EOF)
		stream.Close()
		raw, err := client.Raw(t.Context(), nil, "GET", address, "/", nil, true)
		is.NoErr(err)
		is.Equal(len(raw.Body), 0)
	}
}
