package transport_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// longTime is enough for an upload on a busy machine.
const longTime = 20 * time.Second

// uploaders are the ways in which a client sends an upload and reads its answer.
var uploaders = map[string]func(ctx context.Context, c *transport.Client, address string, upload []byte) (status int, body string, err error){
	"JSON": func(ctx context.Context, c *transport.Client, address string, upload []byte) (int, string, error) {
		var out struct{ Text string }
		err := c.JSON(ctx, http.MethodPost, address, "/", upload, &out)
		return statusOf(err), out.Text, err
	},
	"raw": func(ctx context.Context, c *transport.Client, address string, upload []byte) (int, string, error) {
		answer, err := c.Raw(ctx, nil, http.MethodPost, address, "/", upload, true)
		return answer.Status, string(answer.Body), err
	},
	"stream": func(ctx context.Context, c *transport.Client, address string, upload []byte) (int, string, error) {
		stream, err := c.Stream(ctx, http.MethodPost, address, "/", upload, true)
		status := statusOf(err)
		body, err := readStream(stream, err)
		return status, body, err
	},
	"dedicated stream": func(ctx context.Context, c *transport.Client, address string, upload []byte) (int, string, error) {
		stream, err := c.DedicatedStream(ctx, http.MethodPost, address, "/", upload, longTime)
		status := statusOf(err)
		body, err := readStream(stream, err)
		return status, body, err
	},
}

// statusOf returns the status of which err tells; 200 if there is none.
func statusOf(err error) int {
	var status *transport.StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return http.StatusOK
}

// Guards against a part of an answer that a client takes for the whole because its server ended the connection while the upload was being
// sent, and against a sound answer to such an upload that is lost.
func TestEarlyAnswers(t *testing.T) {
	const text = `{"text":"the body"}`
	upload := []byte(strings.Repeat("u", 3_000_000))
	for name, send := range uploaders {
		for _, ending := range rawanswers.Endings {
			for _, size := range []int{len(upload), 200_000} {
				t.Run(fmt.Sprint(name, "/", ending.Name, "/", size), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					timeout := longTime
					if ending.Name == "end, upload never read" {
						timeout = 2 * time.Second
					}
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					address := rawanswers.ServeEnding(t, ending, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + text })
					broken := 0
					c := transport.NewClient(transport.ClientOptions{IdleTimeout: longTime, OnBrokenAnswer: func(string, *http1.MalformedError) { broken++ }})
					_, body, err := send(ctx, c, address, upload[:size])
					if ending.IsWhole {
						is.NoErr(err)
						is.True(body == text || body == "the body")
					} else {
						is.True(err != nil)
						is.True(!transport.IsNotSent(err))
						var refused *api.Error
						is.True(!errors.As(err, &refused))
						endedHere := errors.Is(err, fasthttp.ErrTimeout) || ctx.Err() != nil // The client's timer may be the first.
						is.True(broken == 1 || endedHere && ending.Name == "end, upload never read")
					}
				})
			}
		}
	}
}

// Guards against the loss of a sound answer whose server does not read the upload.
func TestEarlyAnswerWithALengthOrChunksIsWhole(t *testing.T) {
	const text = "too large"
	upload := []byte(strings.Repeat("u", 3_000_000))
	for name, send := range uploaders {
		for _, ending := range rawanswers.Endings {
			if ending.Name == "end, upload never read" { // The upload is not sent by the deadline.
				continue
			}
			for _, framed := range []string{"Content-Length: 9\r\n\r\n" + text, "Transfer-Encoding: chunked\r\n\r\n9\r\n" + text + "\r\n0\r\n\r\n"} {
				t.Run(fmt.Sprint(name, "/", ending.Name, "/", framed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ctx, cancel := context.WithTimeout(t.Context(), longTime)
					defer cancel()
					address := rawanswers.ServeEnding(t, ending, func(*http.Request) string { return "HTTP/1.1 413 Too Large\r\n" + framed })
					broken := 0
					c := transport.NewClient(transport.ClientOptions{IdleTimeout: longTime, OnBrokenAnswer: func(string, *http1.MalformedError) { broken++ }})
					status, _, _ := send(ctx, c, address, upload)
					is.Equal(status, http.StatusRequestEntityTooLarge)
					is.Equal(broken, 0)
				})
			}
		}
	}
}
