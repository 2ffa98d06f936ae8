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

// State is what a check has found out about a server.
type State int

// Values of State.
const (
	Unknown State = iota // The server's host does not answer.
	Running
	Ended
)

// attemptPauses holds the pauses before the attempts of a thorough check. A process that ends may break its connections before its port is
// closed.
var attemptPauses = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// Checker checks whether servers have ended. It is safe for concurrent use. A nil Checker checks nothing.
type Checker struct {
	ctx context.Context
	log *slog.Logger

	mu      sync.Mutex
	running map[string]*check // Guarded by mu. By address.
}

// check is a check of an address.
type check struct {
	again    bool // It is to be repeated.
	thorough bool // The next attempts are those of a thorough check.
}

// NewChecker returns a checker whose checks end with ctx.
func NewChecker(ctx context.Context, log *slog.Logger) *Checker {
	return &Checker{ctx: ctx, log: log, running: make(map[string]*check)}
}

// Check finds out in the background whether the server at the address has ended, and calls done with the result. thorough means that
// it may be about to end. There is one check of an address at a time; calls during it make it run once more.
func (c *Checker) Check(address string, thorough bool, done func(State)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if running := c.running[address]; running != nil {
		running.again, running.thorough = true, running.thorough || thorough
		return
	}
	c.running[address] = &check{again: true, thorough: thorough}
	go c.run(address, done)
}

// run checks the address until no call of Check asks for a repetition.
func (c *Checker) run(address string, done func(State)) {
	for {
		c.mu.Lock()
		next := *c.running[address]
		if !next.again || c.ctx.Err() != nil {
			delete(c.running, address)
			c.mu.Unlock()
			return
		}
		*c.running[address] = check{}
		c.mu.Unlock()
		_ = guard.Run(c.log, "liveness check", func() { done(c.state(address, next.thorough)) })
	}
}

// state opens connections to the address, the last of which decides, unless one is refused before.
func (c *Checker) state(address string, thorough bool) State {
	dialer := net.Dialer{Timeout: dialTimeout}
	pauses := attemptPauses
	if !thorough {
		pauses = pauses[:1]
	}
	state := Unknown
	for _, wait := range pauses {
		pause.For(c.ctx, wait)
		conn, err := dialer.DialContext(c.ctx, "tcp", address)
		switch {
		case err == nil:
			_ = conn.Close()
			state = Running
		case errors.Is(err, syscall.ECONNREFUSED):
			return Ended
		default:
			state = Unknown
		}
	}
	return state
}
