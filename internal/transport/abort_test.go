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

// stalledHandler returns a handler that sends one line of its response and then blocks until release is closed.
func stalledHandler(release chan struct{}) fasthttp.RequestHandler {
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
	server := listen(t, stalledHandler(release))
	client := transport.NewClient(transport.ClientOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.DedicatedStream(ctx, "POST", server.Address(), "/", nil, time.Hour)
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.ReadLine()
	is.NoErr(err)
	time.AfterFunc(10*time.Millisecond, cancel) // during the read below
	_, err = stream.ReadLine()
	is.True(err != nil)
	_, err = client.DedicatedStream(ctx, "POST", server.Address(), "/", nil, time.Hour)
	is.True(errors.Is(err, context.Canceled))
}

func TestAbortCutsAnswersUnderWay(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	server := listen(t, stalledHandler(release))
	client := transport.NewClient(transport.ClientOptions{})
	stream, err := client.Stream(context.Background(), "GET", server.Address(), "/", nil, false)
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.ReadLine()
	is.NoErr(err)
	is.NoErr(server.Abort())
	_, err = stream.ReadLine()
	is.True(err != nil && !errors.Is(err, io.EOF)) // the response was cut off
	err = client.JSON(context.Background(), "GET", server.Address(), "/", nil, nil)
	is.True(transport.IsNotSent(err))
	is.NoErr(server.Abort())
}
