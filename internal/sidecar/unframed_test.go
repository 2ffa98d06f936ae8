package sidecar_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// startUnframed starts a backend server that answers the path with neither a length nor chunks, and then closes or resets the
// connection. It returns its address.
func startUnframed(t *testing.T, path, body string, reset bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			_, _ = io.WriteString(w, `{"boot_id":"b1","cache_capacity":1000}`)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against truncated answers of backend servers that count as complete when an answer ends with its connection, and against
// complete ones that count as truncated.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const (
		text = "data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n"
		end  = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n"
	)
	for _, c := range []struct {
		name, body string
		reset      bool
		code       api.Code
	}{
		{"stream", text + end + "\ndata: [DONE]\n\n", false, api.CodeOK},
		{"stream without [DONE]", text + end + "\n", false, api.CodeOK},
		{"stream with a comment at its end", text + end + "\n: end\n", false, api.CodeOK},
		{"stream without [DONE], reset", text + end + "\n", true, api.CodeInterrupted},
		{"stream ends in a line", text + end[:20], false, api.CodeInterrupted},
		{"stream ends before the end of an event", text + end, false, api.CodeInterrupted},
		{"stream ends between events", text, false, api.CodeInterrupted},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startSidecar(t, sidecar.KindEngine, startUnframed(t, "/v1/chat/completions", c.body, c.reset), nil)
			got := runCall(t, s, modelCall("p1/1"))
			is.Equal(got.code, c.code)
		})
	}
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		s := startSidecar(t, sidecar.KindService, startUnframed(t, "/stamp", "whole", reset), nil)
		got := runCall(t, s, serviceCall("p1/1", false))
		if reset {
			is.Equal(got.code, api.CodeOutcomeUnknown)
			continue
		}
		is.Equal(got.code, api.CodeOK)
		is.Equal(string(got.result.Body), "whole")
	}
}

// Guards against a part of an answer to a long upload that counts as the whole, because a backend server ended the connection while the
// upload was being sent, and against the loss of a sound one.
func TestEarlyAnswersOfBackendServers(t *testing.T) {
	const events = "data: {\"choices\":[{\"delta\":{\"content\":\"all\"},\"finish_reason\":\"stop\"}]}\n\n"
	const report = `{"boot_id":"b1","cache_capacity":1000}`
	upload := strings.Repeat("u", 1_500_000) // More than the server's host takes, and less than a request to a sidecar may have.
	for _, ending := range rawanswers.Endings {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			timeoutMS := int64(20_000) // Enough for an upload on a busy machine.
			if ending.Name == "end, upload never read" {
				timeoutMS = 2000
			}
			start := func(kind, answer string) *sidecar.Sidecar {
				return startSidecar(t, kind, rawanswers.ServeEnding(t, ending, func(r *http.Request) string {
					if r.ContentLength <= 0 {
						return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
					}
					return answer
				}), nil)
			}
			for _, idempotent := range []bool{false, true} {
				call := serviceCall("p1/1", idempotent)
				call.HTTP.Body, call.TimeoutMS = []byte(upload), timeoutMS
				got := runCall(t, start(sidecar.KindService, "HTTP/1.1 200 OK\r\n\r\nthe body"), call)
				switch {
				case ending.IsWhole:
					is.Equal(got.code, api.CodeOK)
					is.Equal(string(got.result.Body), "the body")
				case idempotent:
					is.Equal(got.code, api.CodeInterrupted)
				default:
					is.Equal(got.code, api.CodeOutcomeUnknown)
				}
			}

			call := modelCall("p1/1")
			call.Model.Messages[0].Content = json.RawMessage(`"` + upload + `"`)
			got := runCall(t, start(sidecar.KindEngine, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+events), call)
			if ending.IsWhole {
				is.Equal(got.code, api.CodeOK)
			} else {
				is.Equal(got.code, api.CodeInterrupted)
			}

			if ending.Name == "end, upload never read" { // The call ends by its timeout.
				return
			}
			refused := serviceCall("p1/1", false)
			refused.HTTP.Body, refused.TimeoutMS = []byte(upload), timeoutMS
			got = runCall(t, start(sidecar.KindService, "HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\n\r\ntoo large"), refused)
			is.Equal(got.code, api.CodeOK)
			is.Equal(got.result.Status, http.StatusRequestEntityTooLarge)
			is.Equal(string(got.result.Body), "too large")
		})
	}
}

// Guards against an error that ends up in an answer which another engine had begun, and against one that ends it as if it were whole: the
// engine that should go on with the answer answers with an error.
func TestContinuationAnsweredByAnErrorOfAnyShape(t *testing.T) {
	for name, answer := range map[string]string{
		"500":                         "HTTP/1.1 500 Failed\r\nContent-Length: 10\r\n\r\nerror text",
		"500 as an event stream":      "HTTP/1.1 500 Failed\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"error text\"},\"finish_reason\":\"stop\"}]}\n\n",
		"302":                         "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
		"304":                         "HTTP/1.1 304 Not Modified\r\n\r\n",
		"200 of another type":         "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 23\r\n\r\n{\"error\":\"error text\"}\n\n",
		"200 of another type, stream": "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\nerror text\n\n",
		"200 empty":                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"200 empty stream":            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
		"200 without length, empty":   "HTTP/1.1 200 OK\r\n\r\n",
		"200 without length, text":    "HTTP/1.1 200 OK\r\n\r\nerror text",
		"204":                         "HTTP/1.1 204 No Content\r\n\r\n",
		"205":                         "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n",
		"head without end":            "HTTP/1.1 200 OK\r\nX-Error: error text\r\n",
		"no HTTP":                     "error text\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != pathChat {
					_, _ = io.WriteString(w, `{"boot_id":"b1","cache_capacity":1000}`)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}))
			defer server.Close()
			s := startSidecar(t, sidecar.KindEngine, server.Listener.Addr().String(), nil)
			req := modelCall("p1/1")
			req.Model.ResumeText = "half"
			got := runCall(t, s, req)
			is.Equal(got.text, "")
			is.True(got.code == api.CodeInterrupted || got.code == api.CodeBackendError)
		})
	}
}
