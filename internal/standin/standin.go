// Package standin holds what the stand-ins of the platform's services share. Each stand-in is a small server that
// speaks a published protocol, works embedded or as a process of its own, and takes its faults over HTTP.
package standin

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Paths that every stand-in serves.
const (
	PathFault = "/fault" // POST: replaces the fault switches; {} clears them.
	PathStats = "/stats" // GET: counters.
)

// maxBodyBytes bounds a request to a stand-in.
const maxBodyBytes = 64 << 20

// Listen starts a stand-in's server.
func Listen(address, name string, handler fasthttp.RequestHandler) (*transport.Server, error) {
	server, err := transport.Listen(address, handler, transport.ServerOptions{Name: name, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, fmt.Errorf("start stand-in %q: %w", name, err)
	}
	return server, nil
}

// DropAnswer closes the request's connection without an answer.
func DropAnswer(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

// Decode decodes the body into v. On failure it answers 400 and returns false.
func Decode(ctx *fasthttp.RequestCtx, v any) bool {
	body := ctx.PostBody()
	if len(body) == 0 {
		body = []byte("{}")
	}
	if err := json.Unmarshal(body, v); err != nil {
		ctx.Error(fmt.Sprintf("decode body: %v", err), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Faults holds a stand-in's fault switches. It is safe for concurrent use.
type Faults[T any] struct {
	mu    sync.Mutex
	value T // Guarded by mu.
	since time.Time
}

// Get returns the switches and when they were set.
func (f *Faults[T]) Get() (T, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.since
}

// Set replaces the switches.
func (f *Faults[T]) Set(value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.since = value, time.Now()
}

// Update changes the switches in place, for those that count down.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// Handle serves PathFault.
func (f *Faults[T]) Handle(ctx *fasthttp.RequestCtx) {
	var value T
	if !Decode(ctx, &value) {
		return
	}
	f.Set(value)
	transport.WriteJSON(ctx, fasthttp.StatusOK, value)
}

// Take lowers a count of remaining faults and reports whether one was left.
func Take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Millis converts a count of milliseconds.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
