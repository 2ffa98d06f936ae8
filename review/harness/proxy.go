package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between a gateway and the store. Its connections can go silent: no byte passes any more, and nothing is closed. New
// connections work.
type proxy struct {
	address, target string

	mu    sync.Mutex
	conns []*proxyConn // Guarded by mu.
}

// proxyConn is a connection through a proxy.
type proxyConn struct {
	mu     sync.Mutex
	silent bool // Guarded by mu.
}

func (c *proxyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func newProxy(target string) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(from)
		}
	}()
	return p, nil
}

func (p *proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &proxyConn{}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.pass(from, to)
	c.pass(to, from)
}

// pass passes bytes on until the connection ends. While it is silent, bytes are lost, and so is its end.
func (c *proxyConn) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	n := len(p.conns)
	p.conns = nil
	return n
}
