// Package upstream talks HTTP/1.1 to backend servers. It keeps connections itself, so that it can say of every failure
// whether the request may have run, and so that bytes of one answer never reach another.
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
)

// Options tune a Pool.
type Options struct {
	ConnectTimeout time.Duration // Limit on connecting.
	SilenceTimeout time.Duration // How long sent bytes may stay unacknowledged by the server's machine.
	IdleTimeout    time.Duration // Age at which an idle connection is closed.
	AcceptWait     time.Duration // How long after connecting a server may still turn the connection away.
	ReuseWithin    time.Duration // Longest idle time of a connection that carries a call that must not run twice.
}

// DefaultOptions returns the options in force when the settings give none.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout: 400 * time.Millisecond, // Many round trips within a region; a lost first packet takes a second.
		SilenceTimeout: 1500 * time.Millisecond,
		IdleTimeout:    8 * time.Second,
		AcceptWait:     4 * time.Millisecond,   // A round trip within a region: servers reset connections beyond their limit.
		ReuseWithin:    700 * time.Millisecond, // A server drops idle connections without notice; it then resets what is sent.
	}
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // Guarded by mu. By address, the latest used last.
	dialed func()
}

// NewPool returns an empty pool. dialed is called for each new connection.
func NewPool(options Options, dialed func()) *Pool {
	p := &Pool{options: options, idle: make(map[string][]*conn), dialed: dialed}
	p.dialer = net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: -1, Control: p.control}
	return p
}

// control sets the time after which unacknowledged bytes break a connection: a machine without power never answers.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	used    time.Time     // End of the last answer.
	keep    time.Duration // How long the server keeps it idle; 0 when it did not say.
	fresh   bool          // Carries its first request.
}

const readBufferBytes = 4 << 10

// DialError reports that no connection could be made: the request was not sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// take returns a connection to the address that was idle for at most maxIdle, or a new one.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Sub(c.used) <= maxIdle && !c.expired(now, p.options.IdleTimeout) && c.isQuiet() {
			c.fresh = false
			return c, nil
		}
		_ = c.Close()
	}
	if p.dialed != nil {
		p.dialed()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), address: address, fresh: true}, nil
}

func (p *Pool) pop(address string) *conn {
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

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that are idle for too long and those to addresses that keep rejects.
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

// expiryMargin is how long before the server's own limit an idle connection is no longer used.
const expiryMargin = 500 * time.Millisecond

func (c *conn) expired(now time.Time, limit time.Duration) bool {
	if c.keep > 0 && c.keep-expiryMargin < limit {
		limit = c.keep - expiryMargin
	}
	return now.Sub(c.used) > limit
}

// isAccepted waits for a short time and reports whether the server has kept the new connection.
func (c *conn) isAccepted(wait time.Duration) bool {
	time.Sleep(wait)
	return c.isQuiet()
}

// isQuiet reports whether the connection is open and nothing has arrived that no request asked for.
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

// keepAliveTime reads the time for which a server keeps an idle connection; 0 when it does not say.
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
