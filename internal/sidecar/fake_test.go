package sidecar_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// fakeServer is a fake backend server. A test sets a handler for each path; other paths get an empty answer.
type fakeServer struct {
	*transport.Server
	mu       sync.Mutex
	handlers map[string]fasthttp.RequestHandler // By path; under mu, like all below.
	counts   map[string]int                     // Number of requests by path.
	bodies   map[string][]string                // Request bodies by path, oldest first.
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	f := &fakeServer{handlers: map[string]fasthttp.RequestHandler{}, counts: map[string]int{}, bodies: map[string][]string{}}
	server, err := transport.Listen("127.0.0.1:0", f.handle, transport.ServerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	f.Server = server
	t.Cleanup(func() { f.stop() })
	f.setHandler("/v1/load", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"boot_id":"b1","cache_capacity":1000}`) })
	return f
}

func (f *fakeServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = f.Shutdown(ctx)
}

func (f *fakeServer) setHandler(path string, h fasthttp.RequestHandler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[path] = h
}

func (f *fakeServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	f.mu.Lock()
	f.counts[path]++
	f.bodies[path] = append(f.bodies[path], string(ctx.PostBody()))
	h := f.handlers[path]
	f.mu.Unlock()
	if h != nil {
		h(ctx)
	}
}

// count returns the number of requests to the path.
func (f *fakeServer) count(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[path]
}

// body returns the body of the latest request to the path, or "" when there was none.
func (f *fakeServer) body(path string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.bodies[path]; len(b) > 0 {
		return b[len(b)-1]
	}
	return ""
}

// streamCompletion returns a handler that streams pieces as a completion. Unless gate is nil, each piece is sent after a
// value is received from gate.
func streamCompletion(gate <-chan struct{}, pieces ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
			send := func(v any) {
				data, _ := json.Marshal(v)
				_, _ = w.WriteString("data: " + string(data) + "\n\n")
				_ = w.Flush()
			}
			for _, p := range pieces {
				if gate != nil {
					<-gate
				}
				send(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{"content": p}}}})
			}
			send(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{}, "finish_reason": "stop"}}})
			send(map[string]any{"choices": []any{}, "usage": map[string]any{"prompt_tokens": 5, "completion_tokens": len(pieces)}})
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
		})
	}
}

// startSidecar starts a sidecar for the backend server, with short intervals. change, unless nil, adjusts its settings.
func startSidecar(t *testing.T, kind, backend string, change func(*sidecar.Settings)) *sidecar.Sidecar {
	t.Helper()
	config := sidecar.Default()
	config.Name, config.Listen, config.Kind, config.Backend = "s1", "127.0.0.1:0", kind, backend
	config.ProbeInterval, config.LingerTimeout, config.DrainTimeout = 20*time.Millisecond, 0, 2*time.Second
	if change != nil {
		change(&config)
	}
	s, err := sidecar.Start(context.Background(), config, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// requestCtx abbreviates the parameter type of handlers.
type requestCtx = fasthttp.RequestCtx

var client = transport.NewClient(transport.ClientOptions{})

// post sends in to a path of the internal interface. It returns the result code of an error answer, or CodeOK.
func post(t *testing.T, s *sidecar.Sidecar, path string, in, out any) api.Code {
	t.Helper()
	err := client.JSON(context.Background(), "POST", s.Address(), path, in, out)
	if err == nil {
		return api.CodeOK
	}
	var coded *api.Error
	if !errors.As(err, &coded) {
		t.Fatalf("POST %s: %v", path, err)
	}
	return coded.Code
}

// outcome is the complete answer to a call.
type outcome struct {
	code   api.Code
	text   string
	events int // Number of events without keepalives.
	result *api.Result
}

// openCall sends a call and returns its event stream, or the code with which it was refused.
func openCall(t *testing.T, s *sidecar.Sidecar, req *api.CallRequest) (*transport.Stream, api.Code) {
	t.Helper()
	stream, err := client.Stream(context.Background(), "POST", s.Address(), api.PathCalls, req, false)
	if err == nil {
		return stream, api.CodeOK
	}
	var coded *api.Error
	if !errors.As(err, &coded) {
		t.Fatalf("call %s: %v", req.CallID, err)
	}
	return nil, coded.Code
}

// readEvent returns the next event that is not a keepalive.
func readEvent(t *testing.T, stream *transport.Stream) api.Event {
	t.Helper()
	for {
		line, err := stream.ReadLine()
		if err != nil {
			t.Fatalf("read event: %v", err)
		}
		var e api.Event
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatalf("decode %q: %v", line, err)
		}
		if e.Kind != api.EventKeepAlive {
			return e
		}
	}
}

// runCall sends a call and reads its events to the last one.
func runCall(t *testing.T, s *sidecar.Sidecar, req *api.CallRequest) outcome {
	t.Helper()
	stream, code := openCall(t, s, req)
	if stream == nil {
		return outcome{code: code}
	}
	defer stream.Close()
	return readToEnd(t, stream)
}

// readToEnd reads a stream to its last event.
func readToEnd(t *testing.T, stream *transport.Stream) outcome {
	t.Helper()
	var out outcome
	for {
		e := readEvent(t, stream)
		out.events++
		out.text += e.Text
		switch e.Kind {
		case api.EventDone:
			out.code, out.result = api.CodeOK, e.Result
			return out
		case api.EventError:
			out.code = e.Error.Code
			return out
		}
	}
}

// modelCall returns the first attempt of a model call of program p1, under fencing number 5 of journal 1.
func modelCall(id string) *api.CallRequest {
	return &api.CallRequest{
		CallID: id, Attempt: 1, Program: "p1", Root: "p1", Seq: 1, Kind: api.KindModel, Idempotent: true,
		Fence: api.Fence{Journal: 1, Number: 5}, Fingerprint: "f-" + id,
		Model: &api.ModelCall{
			Model: "m", MaxTokens: 10, HoldMS: 60000,
			Messages: []api.Message{{Role: "user", Content: json.RawMessage(`"hello"`)}},
		},
	}
}

// serviceCall returns the first attempt of a service call of program p1, under fencing number 5 of journal 1.
func serviceCall(id string, idempotent bool) *api.CallRequest {
	return &api.CallRequest{
		CallID: id, Attempt: 1, Program: "p1", Root: "p1", Seq: 1, Kind: api.KindService, Idempotent: idempotent,
		Fence: api.Fence{Journal: 1, Number: 5}, Fingerprint: "f-" + id, TimeoutMS: 2000,
		HTTP: &api.ServiceCall{Service: "archive", Method: "POST", Path: "stamp?x=1", ContentType: "application/json", Body: []byte(`{"slip":1}`)},
	}
}

// eventually polls until the condition holds, and fails the test after 20 seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout while waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
