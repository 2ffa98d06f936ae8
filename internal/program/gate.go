package program

import "github.com/redwinggauge/redwinggauge/internal/eventlog"

// Running is the call of a program that is under way. Callers that resend its seq attach to Log.
type Running struct {
	Program string
	Root    string
	Seq     uint64
	Digest  string
	Log     *eventlog.Log
	// Need is the number of tokens reserved for the call.
	Need int
}

// gate lets the calls of one program run in order. Its fields are guarded by the tree's lock. At most one call runs.
type gate struct {
	running *Running
	changed chan struct{} // Closed when the gate changes, so that waiting calls look again; nil when none waits.
}

// wait returns a channel that is closed at the next change.
func (g *gate) wait() <-chan struct{} {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// notify wakes the waiting calls.
func (g *gate) notify() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// closeAll drops the running call and wakes the waiting ones.
func (g *gate) closeAll() {
	g.running = nil
	g.notify()
}
