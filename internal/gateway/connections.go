package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connections tracks the callers' connections. It lets those end that carry no call without interrupting a call that has just
// arrived, however long the process takes to notice it: a connection is not closed from outside, but by the read that waits for its
// next request, when that has found nothing.
type connections struct {
	found atomic.Int64 // Requests that had arrived on connections whose wait for one was over.

	mu    sync.Mutex
	conns map[*callerConn]struct{} // Guarded by mu.
}

func newConnections() *connections {
	return &connections{conns: make(map[*callerConn]struct{})}
}

// listener returns a listener whose connections are tracked.
func (c *connections) listener(l net.Listener) net.Listener { return trackedListener{l, c} }

type trackedListener struct {
	net.Listener
	conns *connections
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(conn), nil
}

// add tracks a new connection.
func (c *connections) add(conn net.Conn) *callerConn {
	limitWriteBuffer(conn)
	tracked := &callerConn{Conn: conn, found: &c.found, isNew: true, isIdle: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[tracked] = struct{}{}
	return tracked
}

// setState follows the state of a connection. It is used as http.Server.ConnState. StateIdle means that the last answer has
// been sent.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // Also for a request that arrived together with the one before.
		tracked.begin()
	case http.StateIdle:
		tracked.setIdle()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.conns, tracked)
	}
}

// all returns the connections.
func (c *connections) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*callerConn, 0, len(c.conns))
	for conn := range c.conns {
		list = append(list, conn)
	}
	return list
}

// retireIdle lets the connections end that have carried a call and on which no other one has begun to arrive.
func (c *connections) retireIdle() {
	for _, conn := range c.all() {
		conn.retire(false)
	}
}

// retireQuiet lets the connections end on which no request has begun, also those that have not carried any call yet.
func (c *connections) retireQuiet() {
	for _, conn := range c.all() {
		conn.retire(true)
	}
}

// areQuiet reports whether no request has begun on any connection.
func (c *connections) areQuiet() bool {
	for _, conn := range c.all() {
		if !conn.isQuiet() {
			return false
		}
	}
	return true
}

// len returns the number of connections.
func (c *connections) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// callerConn is the connection of a caller. It knows from its reads whether a request has begun: before the server does, which has to
// parse the head first.
type callerConn struct {
	net.Conn
	found *atomic.Int64 // See connections.

	mu       sync.Mutex
	isNew    bool      // Guarded by mu. No byte of a request has arrived yet.
	isIdle   bool      // Guarded by mu. No byte has arrived since the last answer was sent.
	retired  bool      // Guarded by mu. The connection ends as soon as it is idle.
	deadline time.Time // Guarded by mu. The deadline for reads that the server has set.
}

// errRetired ends the wait for the next request on a connection. The server closes the connection without an answer.
var errRetired = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection retired while idle")}

// setIdle notes that the last answer has been sent.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = true
	if c.retired {
		_ = c.Conn.SetReadDeadline(past) // Fails only on a connection that has ended.
	}
}

// isQuiet reports whether no request has begun.
func (c *callerConn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle
}

// retire lets the connection end once it is idle: the read that waits for the next request is woken, and settles whether there is
// one. A new connection, on which the first request may be on its way, is only retired if includeNew is set.
func (c *callerConn) retire(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.isNew && !includeNew {
		return
	}
	c.retired = true
	if c.isIdle {
		_ = c.Conn.SetReadDeadline(past) // Fails only on a connection that has ended.
	}
}

// SetReadDeadline implements net.Conn. While the connection is retired and idle, its reads do not wait.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retired && c.isIdle {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite ends the answers of the connection. The server uses it to let callers read an answer whose request it has not read to its
// end.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. A deadline that passes while the connection is idle, that of the server or one of retire, ends the
// connection only if there is nothing to read: a read whose deadline has passed does not look.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begin()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readLate(p, err)
	}
	return n, err
}

// begin notes that bytes of a request have arrived.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle {
		return
	}
	c.isNew, c.isIdle = false, false
	if c.retired {
		c.restoreDeadline()
	}
}

// restoreDeadline applies the server's deadline for reads again. The caller holds mu.
func (c *callerConn) restoreDeadline() {
	_ = c.Conn.SetReadDeadline(c.deadline) // Fails only on a connection that has ended.
}

// readLate reads from a connection whose deadline for reads has passed with timeout. If the connection is idle, it returns the request
// that has arrived, or errRetired if there is none.
func (c *callerConn) readLate(p []byte, timeout error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle {
		return 0, timeout
	}
	n, err := readArrived(c.Conn, p)
	switch {
	case n > 0:
		c.found.Add(1)
		c.isNew, c.isIdle = false, false
		c.restoreDeadline()
		return n, nil
	case errors.Is(err, syscall.EAGAIN):
		return 0, errRetired
	}
	return 0, err
}

// readArrived reads what has arrived on a connection, without waiting. The error is syscall.EAGAIN if that is nothing.
func readArrived(conn net.Conn, p []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	failed := raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		return true // It does not wait, also if there was nothing.
	})
	switch {
	case failed != nil:
		return 0, failed
	case n == 0 && err == nil:
		return 0, io.EOF
	}
	return max(n, 0), err
}

// connKey is the context key under which a request finds the callerConn of its connection.
type connKey struct{}

// withConnection makes a connection available in the context of its requests. It is used as http.Server.ConnContext.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
