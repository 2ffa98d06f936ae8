// Package upstream sends HTTP/1.1 requests to backend servers. It manages the connections itself, so that it can tell for
// every failure whether the server may have run the request, and so that bytes of one answer never end up in another.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// Options configures a Pool.
type Options struct {
	ConnectTimeout       time.Duration // Limit for opening a connection.
	UnackedTimeout       time.Duration // How long the server's host may leave sent bytes unacknowledged.
	IdleTimeout          time.Duration // Time after which an idle connection is closed.
	RejectWait           time.Duration // Time given to servers to reject a new connection, before a non-repeatable request.
	MaxIdleNonRepeatable time.Duration // Largest idle time of a connection for a non-repeatable request.
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout:       400 * time.Millisecond, // Many round trips in a region; a lost first packet takes a second.
		UnackedTimeout:       1500 * time.Millisecond,
		IdleTimeout:          8 * time.Second,
		RejectWait:           4 * time.Millisecond,   // A round trip in a region. Servers reset connections beyond their limit.
		MaxIdleNonRepeatable: 700 * time.Millisecond, // Servers drop idle connections unannounced and reset what is sent.
	}
}

// Pool keeps idle connections to backend servers for reuse. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // Guarded by mu. By address; the most recently used is last.
	onDial func()             // Called before each attempt to open a connection; may be nil.
}

// NewPool returns an empty pool. If onDial is not nil, it is called before each attempt to open a connection.
func NewPool(options Options, onDial func()) *Pool {
	p := &Pool{options: options, idle: make(map[string][]*conn), onDial: onDial}
	p.dialer = net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: -1, Control: p.setUnackedTimeout}
	return p
}

// setUnackedTimeout limits the time for which sent bytes may stay unacknowledged on a new socket. Otherwise a connection to a
// host that has lost power would stay open.
func (p *Pool) setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	meter           *limits.Reader // Limits what reader reads of the connection.
	reader          *bufio.Reader
	address         string
	lastUsed        time.Time     // End of the last answer.
	serverKeepAlive time.Duration // How long the server keeps the connection when idle; 0 if not stated.
	isNew           bool          // The current request is the first on the connection.
}

const readBufferBytes = 4 << 10 // Size of the read buffer of a connection and of an EventReader.

// DialError reports that no usable connection could be opened. The request was not sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// reuse returns a connection to the address that was idle for at most maxIdle, or nil if there is none. It closes the idle
// connections that it finds unusable.
func (p *Pool) reuse(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.lastUsed) <= maxIdle && !c.expired(now, p.options.IdleTimeout) && c.isQuiet() {
			c.isNew = false
			return c
		}
		_ = c.Close()
	}
}

// dial opens a connection to the address.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if p.onDial != nil {
		p.onDial()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	meter := limits.NewReader(raw)
	return &conn{Conn: raw, meter: meter, reader: bufio.NewReaderSize(meter, readBufferBytes), address: address, isNew: true}, nil
}

// popIdle removes and returns the most recently used idle connection to the address, or nil if there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// IsConnected reports whether an idle connection to the address may carry a request.
func (p *Pool) IsConnected(address string, repeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	c, now := list[len(list)-1], time.Now()
	return now.Sub(c.lastUsed) <= p.maxIdle(repeatable) && !c.expired(now, p.options.IdleTimeout)
}

// maxIdle returns the largest idle time of a connection for a request.
func (p *Pool) maxIdle(repeatable bool) time.Duration {
	if repeatable {
		return p.options.IdleTimeout
	}
	return p.options.MaxIdleNonRepeatable
}

// put makes a connection available for reuse.
func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been idle for too long, and connections to addresses for which keep returns false.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && !c.expired(now, p.options.IdleTimeout) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// expiryMargin is how long before the server would close an idle connection it is no longer reused.
const expiryMargin = 500 * time.Millisecond

// expired reports whether the connection has been idle for longer than limit or than the server keeps it.
func (c *conn) expired(now time.Time, limit time.Duration) bool {
	if c.serverKeepAlive > 0 && c.serverKeepAlive-expiryMargin < limit {
		limit = c.serverKeepAlive - expiryMargin
	}
	return now.Sub(c.lastUsed) > limit
}

// staysOpen waits and then reports whether the server has left the new connection open and has sent nothing on it.
func (c *conn) staysOpen(wait time.Duration) bool {
	time.Sleep(wait)
	return c.isQuiet()
}

// isQuiet reports whether the connection is open and no unexpected bytes have arrived on it.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepAliveTime returns the timeout in a Keep-Alive header, for which the server keeps an idle connection. It returns 0 if the
// header has none.
func keepAliveTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
