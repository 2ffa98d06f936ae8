package transport_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// readers are the ways in which a client reads an answer.
var readers = map[string]func(c *transport.Client, address string) (body string, err error){
	"JSON": func(c *transport.Client, address string) (string, error) {
		var out struct{ Text string }
		err := c.JSON(context.Background(), http.MethodPost, address, "/", struct{}{}, &out)
		return out.Text, err
	},
	"raw": func(c *transport.Client, address string) (string, error) {
		answer, err := c.Raw(context.Background(), nil, http.MethodGet, address, "/", nil, true)
		if err == nil && answer.Status != http.StatusOK {
			err = &transport.StatusError{Status: answer.Status}
		}
		return string(answer.Body), err
	},
	"stream": func(c *transport.Client, address string) (string, error) {
		return readStream(c.Stream(context.Background(), http.MethodPost, address, "/", nil, true))
	},
	"dedicated stream": func(c *transport.Client, address string) (string, error) {
		return readStream(c.DedicatedStream(context.Background(), http.MethodGet, address, "/", nil, time.Second))
	},
}

func readStream(s *transport.Stream, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer s.Close()
	body, err := s.ReadAll()
	return string(body), err
}

// Guards against answers that are none of the protocol and are taken for such by a client whose own reader is more liberal, and against
// sound ones that are not.
func TestBrokenAnswersAreErrors(t *testing.T) {
	const text = `{"text":"the body"}`
	for name, read := range readers {
		for _, answer := range append(rawanswers.Broken(), rawanswers.Valid...) {
			t.Run(name+"/"+answer.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address := serveRaw(t, func(conn net.Conn) {
					_, _ = io.WriteString(conn, answer.Bytes("Content-Type: application/json\r\n", text))
				})
				var log strings.Builder
				set := metrics.NewSet()
				client := transport.NewClient(transport.ClientOptions{
					RequestTimeout: 2 * time.Second, OnBrokenAnswer: transport.RecordBrokenAnswers(slog.New(slog.NewTextHandler(&log, nil)), set),
				})
				body, err := read(client, address)
				var counted strings.Builder
				set.WritePrometheus(&counted)
				var malformed *http1.MalformedError
				switch {
				case answer.Reason != "":
					is.True(err != nil)
					is.True(strings.Contains(log.String(), "reason="+answer.Reason))
					is.Equal(strings.Count(log.String(), "broken answer"), 1)
					is.Equal(counted.String(), `redwinggauge_broken_answers_total{reason="`+answer.Reason+`"} 1`+"\n")
					if !answer.HeadIsValid {
						is.True(errors.As(err, &malformed))
						is.Equal(string(malformed.Reason), answer.Reason)
					}
					return
				default:
					is.NoErr(err)
					is.True(body == text || body == "the body")
				}
				is.Equal(log.String(), "")
			})
		}
	}
}

// Guards against a refusal that is believed although it is none: it promises that the request has not run.
func TestBrokenRefusalIsNotBelieved(t *testing.T) {
	for _, answer := range rawanswers.Broken() {
		is := is.New(t)
		address := serveRaw(t, func(conn net.Conn) {
			fields := api.HeaderCode + ": " + strconv.Itoa(int(api.CodeDraining)) + "\r\n"
			_, _ = io.WriteString(conn, strings.ReplaceAll(answer.Bytes(fields, `{"error":{"code":205}}`), " 200 OK", " 503 Busy"))
		})
		client := transport.NewClient(transport.ClientOptions{RequestTimeout: time.Second})
		var refused *api.Error
		err := client.JSON(t.Context(), http.MethodPost, address, "/", struct{}{}, nil)
		is.True(err != nil)
		is.True(!errors.As(err, &refused))
		is.True(!transport.IsNotSent(err))
		_, err = client.Stream(t.Context(), http.MethodPost, address, "/", nil, true)
		is.True(err != nil)
		is.True(answer.HeadIsValid || !errors.As(err, &refused)) // Of a valid head, the status is read before the body.
	}
}

// Guards against bytes after an answer that are taken for the answer to the next request, and against the same for late informational
// answers and the body of an answer to HEAD.
func TestKeptConnectionAfterUnusualAnswers(t *testing.T) {
	is := is.New(t)
	var connections, requests atomic.Int64
	answers := []string{
		"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 500 Other\r\nContent-Length: 5\r\n\r\nextra",
	}
	address := serveKept(t, &connections, func(conn net.Conn) {
		_, _ = io.WriteString(conn, answers[(requests.Add(1)-1)%int64(len(answers))])
	})
	client := transport.NewClient(transport.ClientOptions{})
	for range answers {
		is.NoErr(client.JSON(t.Context(), http.MethodPost, address, "/", struct{}{}, nil))
	}
	is.Equal(connections.Load(), int64(1))
	err := client.JSON(t.Context(), http.MethodPost, address, "/", struct{}{}, nil)
	is.True(transport.IsNotSent(err)) // The connection has bytes that belong to no request.
	is.Equal(requests.Load(), int64(len(answers)))
	is.NoErr(client.JSON(t.Context(), http.MethodPost, address, "/", struct{}{}, nil))
	is.Equal(connections.Load(), int64(2))
}

// Guards against a body that is awaited where the request allows none.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		is := is.New(t)
		address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\n") })
		answer, err := transport.NewClient(transport.ClientOptions{}).Raw(t.Context(), nil, http.MethodHead, address, "/", nil, true)
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		is.Equal(len(answer.Body), 0)
	}
}
