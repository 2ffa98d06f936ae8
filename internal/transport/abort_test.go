package transport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// endless returns a handler that writes one line and then waits for release.
func endless(release chan struct{}) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		transport.WriteStream(ctx, "text/plain", func(w *bufio.Writer) {
			fmt.Fprintln(w, "first")
			_ = w.Flush()
			<-release
		})
	}
}

func TestDedicatedStreamEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	server := listen(t, endless(release))
	client := transport.NewClient(transport.ClientOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.DedicatedStream(ctx, "POST", server.Address(), "/", nil, time.Hour)
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.ReadLine()
	is.NoErr(err)
	time.AfterFunc(10*time.Millisecond, cancel) // in the middle of the read
	_, err = stream.ReadLine()
	is.True(err != nil)
	_, err = client.DedicatedStream(ctx, "POST", server.Address(), "/", nil, time.Hour)
	is.True(errors.Is(err, context.Canceled))
}

func TestAbortCutsAnswersUnderWay(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	server := listen(t, endless(release))
	client := transport.NewClient(transport.ClientOptions{})
	stream, err := client.Stream(context.Background(), "GET", server.Address(), "/", nil, false)
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.ReadLine()
	is.NoErr(err)
	is.NoErr(server.Abort())
	_, err = stream.ReadLine()
	is.True(err != nil && !errors.Is(err, io.EOF)) // cut, not finished
	err = client.JSON(context.Background(), "GET", server.Address(), "/", nil, nil)
	is.True(transport.IsNotSent(err))
	is.NoErr(server.Abort())
}
