// Package conntrack lets the connections of a server end while they are idle, without losing a request that has just arrived.
//
// A server learns that a request has begun only when it has been told: after the read, and after the head is parsed. In a process that
// is short of processor time this takes long, and whoever closes the connection in between takes the request with it. Here nobody closes
// an idle connection from outside: the read that waits for its next request is woken, looks once for what has arrived, and ends the
// connection if that is nothing.
package conntrack

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Tracker tracks the connections of servers. It is safe for concurrent use.
type Tracker struct {
	found atomic.Int64 // See Found.

	mu    sync.Mutex
	conns map[*Conn]struct{} // Guarded by mu.
}

// NewTracker returns a Tracker without connections.
func NewTracker() *Tracker { return &Tracker{conns: make(map[*Conn]struct{})} }

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener { return listener{l, t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.Add(conn), nil
}

// Add tracks a new connection.
func (t *Tracker) Add(conn net.Conn) *Conn {
	tracked := &Conn{Conn: conn, tracker: t, isNew: true, isIdle: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[tracked] = struct{}{}
	return tracked
}

// remove ends the tracking of a connection.
func (t *Tracker) remove(conn *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// all returns the connections.
func (t *Tracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Conn, 0, len(t.conns))
	for conn := range t.conns {
		list = append(list, conn)
	}
	return list
}

// RetireIdle lets the connections end that have carried a request and have been idle for at least the given time. It returns the number
// of those that have not ended yet.
func (t *Tracker) RetireIdle(idleFor time.Duration) (idle int) {
	idleSince := time.Now().Add(-idleFor)
	for _, conn := range t.all() {
		if conn.retireIdle(idleSince) {
			idle++
		}
	}
	return idle
}

// RetireAll lets all connections end on which no request has begun, or as soon as the last one has been answered, also those that have
// not carried any request yet.
func (t *Tracker) RetireAll() {
	for _, conn := range t.all() {
		conn.retire()
	}
}

// AreQuiet reports whether no request has begun on any connection.
func (t *Tracker) AreQuiet() bool {
	for _, conn := range t.all() {
		if !conn.isQuiet() {
			return false
		}
	}
	return true
}

// Len returns the number of connections.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Found returns the number of requests that had arrived on connections whose wait for one was over.
func (t *Tracker) Found() int64 { return t.found.Load() }

// Conn is the connection of a client. It knows from its reads whether a request has begun, before its server does. The server must call
// Begin and SetIdle.
type Conn struct {
	net.Conn
	tracker *Tracker

	mu        sync.Mutex
	isNew     bool      // Guarded by mu. No byte of a request has arrived yet.
	isIdle    bool      // Guarded by mu. No byte has arrived since the last answer was sent.
	idleSince time.Time // Guarded by mu. When the last answer had been sent, if isIdle.
	begun     time.Time // Guarded by mu. When the first bytes of the latest request were read.
	retired   bool      // Guarded by mu. The connection ends as soon as it is idle.
	deadline  time.Time // Guarded by mu. The deadline for reads that the server has set.
}

// past is a deadline that makes reads that wait fail at once.
var past = time.Unix(1, 0)

// errRetired ends the wait for the next request on a connection. The server closes the connection without an answer.
var errRetired = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection retired while idle")}

// SetIdle notes that the last answer has been sent.
func (c *Conn) SetIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle, c.idleSince = true, time.Now()
	if c.retired {
		_ = c.Conn.SetReadDeadline(past) // Fails only on a connection that has ended.
	}
}

// isQuiet reports whether no request has begun.
func (c *Conn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle
}

// retire lets the connection end once it is idle: the read that waits for the next request is woken, and settles whether there is
// one.
func (c *Conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireLocked()
}

// retireIdle is retire for a connection that has carried a request and is idle since the given time or earlier. It reports whether the
// connection is one.
func (c *Conn) retireIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isNew || !c.isIdle || c.idleSince.After(since) {
		return false
	}
	c.retireLocked()
	return true
}

// retireLocked is retire. The caller holds mu.
func (c *Conn) retireLocked() {
	if !c.retired && c.isIdle {
		_ = c.Conn.SetReadDeadline(past) // Fails only on a connection that has ended.
	}
	c.retired = true
}

// SetReadDeadline implements net.Conn. While the connection is retired and idle, its reads do not wait.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retired && c.isIdle {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the answers of the connection. The server uses it to let callers read an answer whose request it has not read to its
// end.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. A deadline that passes while the connection is idle, that of the server or one of retire, ends the
// connection only if there is nothing to read: a read whose deadline has passed does not look.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.Begin()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readLate(p, err)
	}
	return n, err
}

// Begin notes that a request has begun. Reads do so by themselves; a server must where a request may have arrived together with the one
// before it.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle {
		return
	}
	c.isNew, c.isIdle, c.begun = false, false, time.Now()
	if c.retired {
		c.restoreDeadline()
	}
}

// Begun returns when the first bytes of the latest request were read.
func (c *Conn) Begun() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// restoreDeadline applies the server's deadline for reads again. The caller holds mu.
func (c *Conn) restoreDeadline() {
	_ = c.Conn.SetReadDeadline(c.deadline) // Fails only on a connection that has ended.
}

// readLate reads from a connection whose deadline for reads has passed with timeout. If the connection is idle, it returns the request
// that has arrived, or errRetired if there is none.
func (c *Conn) readLate(p []byte, timeout error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle {
		return 0, timeout
	}
	n, err := readArrived(c.Conn, p)
	switch {
	case n > 0:
		c.tracker.found.Add(1)
		c.isNew, c.isIdle, c.begun = false, false, time.Now()
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
