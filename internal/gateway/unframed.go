package gateway

import (
	"net"
	"net/http"
)

// unframedAnswer is an answer that ends with its connection: that of a stream to a caller whose version of the protocol has no chunks. Only a
// reset tells the caller that it is not whole. A nil unframedAnswer is one whose end is marked.
type unframedAnswer struct{ conn *net.TCPConn }

// newUnframedAnswer returns the answer to a request if it would end with its connection as a stream, otherwise nil.
func newUnframedAnswer(r *http.Request) *unframedAnswer {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	tracked := connectionOf(r)
	if tracked == nil {
		return nil
	}
	conn, ok := tracked.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return &unframedAnswer{conn}
}

// begin makes any end of the connection a reset, also that of the process.
func (u *unframedAnswer) begin() {
	if u != nil {
		_ = u.conn.SetLinger(0) // Fails only on a connection that has ended.
	}
}

// complete makes the connection end in order.
func (u *unframedAnswer) complete() {
	if u != nil {
		_ = u.conn.SetLinger(-1)
	}
}
