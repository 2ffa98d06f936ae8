// Package transport wraps fasthttp for HTTP between processes: a client that never retries by itself, streams that fail
// when the peer stops sending, and servers with limits on requests and connections.
package transport

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/http1"
)

// idleConn limits the time that a single read may wait, so that a peer that hangs in the middle of a stream is detected.
type idleConn struct {
	net.Conn
	idleTimeout  time.Duration
	readDeadline atomic.Int64 // Deadline set by SetReadDeadline, in Unix nanoseconds; 0 means none.
}

// NetConn returns the connection itself.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails with a timeout if no byte arrives within the idle timeout or before the read deadline.
func (c *idleConn) Read(p []byte) (int, error) {
	limit := time.Now().Add(c.idleTimeout)
	if d := c.readDeadline.Load(); d != 0 && d < limit.UnixNano() {
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
		c.readDeadline.Store(0)
		return nil
	}
	c.readDeadline.Store(t.UnixNano())
	return nil
}

// SetDeadline implements net.Conn.
func (c *idleConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// DialError reports that no connection could be established, so the request was not sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// newDial returns a function that dials with the connect timeout and returns connections with the idle timeout, which check the answers.
func newDial(connectTimeout, idleTimeout time.Duration, onBroken func(address string, e *http1.MalformedError)) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return nil, &DialError{Address: addr, Err: err}
		}
		return http1.NewConn(&idleConn{Conn: conn, idleTimeout: idleTimeout}, func(e *http1.MalformedError) {
			if onBroken != nil {
				onBroken(addr, e)
			}
		}), nil
	}
}
