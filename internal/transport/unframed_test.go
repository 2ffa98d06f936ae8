package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Guards against truncated answers that count as complete, and against complete ones that count as truncated, when an answer has
// neither a length nor chunks and ends with its connection.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name, body string
		reset      bool
		lines      []string // Complete lines of the stream.
		streamErr  error    // How the stream ends; nil: with another error.
	}{
		{name: "closed", body: "one\ntwo\n", lines: []string{"one", "two"}, streamErr: io.EOF},
		{name: "closed in a line", body: "one\ntw", lines: []string{"one"}, streamErr: io.ErrUnexpectedEOF},
		{name: "reset", body: "one\ntwo\n", reset: true, lines: []string{"one", "two"}},
		{name: "reset in a line", body: "one\ntw", reset: true, lines: []string{"one"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan struct{}) // Closed when the lines have been read: a reset discards what has not.
			address := serveRaw(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, openHead+c.body)
				<-read
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := transport.NewClient(transport.ClientOptions{})
			stream, err := client.Stream(context.Background(), "GET", address, "/", nil, false)
			is.NoErr(err)
			defer stream.Close()
			for _, want := range c.lines {
				line, err := stream.ReadLine()
				is.NoErr(err)
				is.Equal(string(line), want)
			}
			close(read)
			_, err = stream.ReadLine()
			if c.streamErr != nil {
				is.Equal(err, c.streamErr)
			} else {
				is.True(err != nil && !errors.Is(err, io.EOF))
			}
			answer, err := client.Raw(context.Background(), "GET", address, "/", nil, true)
			is.Equal(err != nil, c.reset)
			if !c.reset {
				is.Equal(string(answer.Body), c.body)
			}
		})
	}
}
