// Package standin contains the code shared by the stand-ins, which replace the platform's services and the backend servers
// in tests and demos. Each stand-in is a small server that implements a published protocol. It runs inside another process
// or as its own process, and its faults can be set over HTTP.
package standin

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// HTTP paths that every stand-in serves.
const (
	PathFault = "/fault" // POST: replaces the injected faults; {} clears them.
	PathStats = "/stats" // GET: returns the counters.
)

// maxBodyBytes limits the body of a request to a stand-in.
const maxBodyBytes = 64 << 20

// Listen starts the HTTP server of a stand-in.
func Listen(address, name string, handler fasthttp.RequestHandler) (*transport.Server, error) {
	server, err := transport.Listen(address, handler, transport.ServerOptions{Name: name, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, fmt.Errorf("start stand-in %q: %w", name, err)
	}
	return server, nil
}

// CloseWithoutResponse closes the connection of a request without sending a response.
func CloseWithoutResponse(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

// DecodeJSON decodes the request body into v; an empty body counts as {}. On failure it responds with status 400 and
// returns false.
func DecodeJSON(ctx *fasthttp.RequestCtx, v any) bool {
	body := ctx.PostBody()
	if len(body) == 0 {
		body = []byte("{}")
	}
	if err := json.Unmarshal(body, v); err != nil {
		ctx.Error(fmt.Sprintf("decode request body: %v", err), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// FaultState holds the faults that a stand-in currently injects. It is safe for concurrent use.
type FaultState[T any] struct {
	mu    sync.Mutex
	value T         // Guarded by mu.
	setAt time.Time // Guarded by mu.
}

// Get returns the faults and the time at which they were set.
func (f *FaultState[T]) Get() (T, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.setAt
}

// Set replaces the faults.
func (f *FaultState[T]) Set(value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.setAt = value, time.Now()
}

// Update changes the faults in place and keeps the time at which they were set. It is used for faults that count down.
func (f *FaultState[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// Handle serves PathFault: it replaces the faults by those in the request body.
func (f *FaultState[T]) Handle(ctx *fasthttp.RequestCtx) {
	var value T
	if !DecodeJSON(ctx, &value) {
		return
	}
	f.Set(value)
	transport.WriteJSON(ctx, fasthttp.StatusOK, value)
}

// DecrementIfPositive decrements a count of remaining faults and reports whether it was positive.
func DecrementIfPositive(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
