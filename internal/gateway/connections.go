package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections tracks the callers' connections and which of them carry a call. It closes idle connections without
// interrupting a call that has just arrived: either the call finds its connection marked as closed and is not served, or the
// connection stays open.
type connections struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn // Guarded by mu.
}

// callerConn is the state of one connection. Its fields are guarded by connections.mu.
type callerConn struct {
	conn   net.Conn // Not guarded.
	busy   bool     // A call is in progress, or the connection has not carried any call yet.
	active bool     // Bytes of a request have arrived whose answer has not been sent.
	closed bool
}

// connKey is the context key under which a request finds the callerConn of its connection.
type connKey struct{}

func newConnections() *connections {
	return &connections{conns: make(map[net.Conn]*callerConn)}
}

// addConnection tracks a new connection and makes it available in the context of its requests. It is used as
// http.Server.ConnContext.
func (c *connections) addConnection(ctx context.Context, conn net.Conn) context.Context {
	limitWriteBuffer(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := &callerConn{conn: conn, busy: true}
	c.conns[conn] = tracked
	return context.WithValue(ctx, connKey{}, tracked)
}

// setState follows the state of a connection. It is used as http.Server.ConnState. StateIdle means that the last answer has
// been sent.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive, http.StateIdle:
		if tracked := c.conns[conn]; tracked != nil {
			tracked.active = state == http.StateActive
			tracked.busy = tracked.busy && tracked.active
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// beginCall marks the call's connection as busy. It reports false if the connection has been closed: the call must not be
// served.
func (c *connections) beginCall(ctx context.Context) bool {
	tracked, _ := ctx.Value(connKey{}).(*callerConn)
	if tracked == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked.busy = true
	return !tracked.closed
}

// closeIdle closes the connections that have carried a call and on which no other one has begun to arrive.
func (c *connections) closeIdle() {
	c.closeIf(func(tracked *callerConn) bool { return !tracked.busy && !tracked.active })
}

// closeQuiet closes the connections on which no request has begun, also those that have not carried any call yet.
func (c *connections) closeQuiet() {
	c.closeIf(func(tracked *callerConn) bool { return !tracked.active })
}

// closeIf closes the connections for which the condition holds.
func (c *connections) closeIf(condition func(*callerConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if condition(tracked) && !tracked.closed {
			tracked.closed = true
			_ = conn.Close()
		}
	}
}

// areQuiet reports whether no request has begun on any connection.
func (c *connections) areQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tracked := range c.conns {
		if tracked.active {
			return false
		}
	}
	return true
}
