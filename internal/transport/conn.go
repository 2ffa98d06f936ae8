// Package transport wraps fasthttp for the project's processes: a client that never resends on its own, streams that
// end when the peer falls silent, and servers with limits.
package transport

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// idleConn bounds the time that a single read may wait, so that a frozen peer is noticed in the middle of a stream.
type idleConn struct {
	net.Conn
	idle     time.Duration
	deadline atomic.Int64 // Unix nanoseconds set by SetReadDeadline; 0 means none.
}

// Read implements net.Conn. It fails with a timeout when no byte arrives within the idle time or the read deadline.
func (c *idleConn) Read(p []byte) (int, error) {
	limit := time.Now().Add(c.idle)
	if d := c.deadline.Load(); d != 0 && d < limit.UnixNano() {
		limit = time.Unix(0, d)
	}
	if err := c.Conn.SetReadDeadline(limit); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(0)
		return nil
	}
	c.deadline.Store(t.UnixNano())
	return nil
}

// SetDeadline implements net.Conn.
func (c *idleConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// DialError reports that no connection could be made: the request was not sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// newDial returns a dial function with the connect timeout and the idle time of established connections.
func newDial(connect, idle time.Duration) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", addr, connect)
		if err != nil {
			return nil, &DialError{Address: addr, Err: err}
		}
		return &idleConn{Conn: conn, idle: idle}, nil
	}
}
