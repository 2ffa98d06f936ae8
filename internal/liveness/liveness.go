// Package liveness finds out whether servers have ended. A host refuses connections to a port on which no process listens, so this
// is known at once, while a list of servers shows it only after several heartbeats are missing.
package liveness

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/pause"
)

const dialTimeout = 400 * time.Millisecond

// schedule holds the pauses before the attempts of a check. A process that ends may break its connections before its port is closed.
var schedule = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// Checker checks whether servers have ended. It is safe for concurrent use. A nil Checker checks nothing.
type Checker struct {
	ctx context.Context
	log *slog.Logger

	mu      sync.Mutex
	running map[string]bool // Guarded by mu. Addresses that are being checked; true if the check is to be repeated.
}

// NewChecker returns a checker whose checks end with ctx.
func NewChecker(ctx context.Context, log *slog.Logger) *Checker {
	return &Checker{ctx: ctx, log: log, running: make(map[string]bool)}
}

// Check finds out in the background whether the server at the address has ended, and calls ended if it has. There is one check of an
// address at a time; calls during it make it run once more.
func (c *Checker) Check(address string, ended func()) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, running := c.running[address]; running {
		c.running[address] = true
		return
	}
	c.running[address] = false
	go c.run(address, ended)
}

// run checks the address until no call of Check asks for a repetition.
func (c *Checker) run(address string, ended func()) {
	for again := true; again; {
		_ = guard.Run(c.log, "liveness check", func() {
			if c.refuses(address) {
				ended()
			}
		})
		c.mu.Lock()
		again = c.running[address] && c.ctx.Err() == nil
		if again {
			c.running[address] = false
		} else {
			delete(c.running, address)
		}
		c.mu.Unlock()
	}
}

// refuses reports whether the address refuses a connection in one of the attempts.
func (c *Checker) refuses(address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	for _, wait := range schedule {
		pause.For(c.ctx, wait)
		conn, err := dialer.DialContext(c.ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}
