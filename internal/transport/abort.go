package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// trackingListener keeps a set of its open connections, so that all of them can be closed together.
type trackingListener struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*trackedConn]struct{} // Accepted connections that are not closed yet; guarded by mu.
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

// abort closes the listener and every connection without waiting for responses in progress. Further calls do nothing.
func (l *trackingListener) abort() error {
	l.mu.Lock()
	alreadyAborted := l.aborted
	l.aborted = true
	conns := l.conns
	l.conns = make(map[*trackedConn]struct{})
	l.mu.Unlock()
	if alreadyAborted {
		return nil
	}
	err := l.Close()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
	return err
}

// trackedConn is a connection that removes itself from its listener's set when it is closed.
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

// Abort closes the listener and all connections immediately. As in a crash, responses in progress are cut off.
func (s *Server) Abort() error { return s.listener.abort() }

// closeOnDone closes conn when ctx ends. The returned function cancels that, as context.AfterFunc describes.
func closeOnDone(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}
