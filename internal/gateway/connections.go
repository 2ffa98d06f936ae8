package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections knows the callers' connections and which of them carry a call. It closes idle ones without cutting a call
// that has just arrived: either the call finds its connection closed and is not served, or the connection stays.
type connections struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn // Guarded by mu.
}

// callerConn is one connection. Its fields are guarded by connections.mu.
type callerConn struct {
	busy   bool // A call has begun, or none has come yet.
	closed bool
}

// connKey is the key of a connection in the context of its calls.
type connKey struct{}

func newConnections() *connections {
	return &connections{conns: make(map[net.Conn]*callerConn)}
}

// attach makes the connection known to its calls. It is an http.Server's ConnContext.
func (c *connections) attach(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := &callerConn{busy: true}
	c.conns[conn] = known
	return context.WithValue(ctx, connKey{}, known)
}

// note follows a connection's state. It is an http.Server's ConnState; idle means that the last answer has left.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if known := c.conns[conn]; known != nil {
			known.busy = false
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// begin marks the call's connection as busy. It reports false when the connection is closed: the call must not be served.
func (c *connections) begin(ctx context.Context) bool {
	known, _ := ctx.Value(connKey{}).(*callerConn)
	if known == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.busy = true
	return !known.closed
}

// closeIdle closes the connections that carry no call.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		if !known.busy && !known.closed {
			known.closed = true
			_ = conn.Close()
		}
	}
}
