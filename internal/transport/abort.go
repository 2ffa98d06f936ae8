package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// trackingListener knows its open connections so that they can be closed at once.
type trackingListener struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*trackedConn]struct{} // Guarded by mu. Every accepted connection that is not yet closed.
	aborted bool                      // Guarded by mu.
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted {
		_ = conn.Close()
		return nil, fmt.Errorf("accept on %s: %w", l.Addr(), net.ErrClosed)
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// abort closes the listener and every connection without waiting for answers under way. A second call does nothing.
func (l *trackingListener) abort() error {
	l.mu.Lock()
	again := l.aborted
	l.aborted = true
	conns := l.conns
	l.conns = make(map[*trackedConn]struct{})
	l.mu.Unlock()
	if again {
		return nil
	}
	err := l.Close()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
	return err
}

// trackedConn is a connection that leaves its listener's set when it closes.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Abort closes the listener and all connections at once and cuts answers under way, as a crash would.
func (s *Server) Abort() error { return s.listener.abort() }

// closeOnDone closes conn when ctx ends. The returned function stops the wait.
func closeOnDone(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}
