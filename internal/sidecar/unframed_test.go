package sidecar_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
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
