package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/conntrack"
)

// setConnState follows the state of a caller's connection. It is used as http.Server.ConnState. StateIdle means that the last answer
// has been sent.
func setConnState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*conntrack.Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.Begin()
	case http.StateIdle:
		tracked.SetIdle()
	}
}

// connKey is the context key under which a request finds its connection.
type connKey struct{}

// withConnection makes a connection available in the context of its requests. It is used as http.Server.ConnContext.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	tracked, ok := conn.(*conntrack.Conn)
	if !ok {
		return ctx
	}
	limitWriteBuffer(tracked.Conn)
	return context.WithValue(ctx, connKey{}, tracked)
}

// connectionOf returns the connection of a request, or nil if it is not tracked.
func connectionOf(r *http.Request) *conntrack.Conn {
	tracked, _ := r.Context().Value(connKey{}).(*conntrack.Conn)
	return tracked
}

// sinceBegun returns the time since the first bytes of the request were read.
func sinceBegun(r *http.Request) time.Duration {
	if tracked := connectionOf(r); tracked != nil {
		return time.Since(tracked.Begun())
	}
	return 0
}
