package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/pause"
)

const (
	// deregistrationTime is how long the platform may take to notice that the gateway is not ready. It checks once a second,
	// and two checks must fail.
	deregistrationTime = 2500 * time.Millisecond
	stopPollInterval   = 100 * time.Millisecond // Between checks for connections that have become idle.
	retirePollInterval = 10 * time.Millisecond  // Between checks whether the last connections have ended.
)

// plannedStop is how long a gateway that was asked to stop still begins calls.
type plannedStop struct {
	deregistered time.Time // From then on, callers find the other gateways.
	end          time.Time // Calls that are still running are cut.
}

// admits reports whether a call with the deadline may be sent to a server now. Until the platform has noticed that the gateway stops, all
// are: no other gateway is sure to get them. Later ones must be over before the end.
func (p *plannedStop) admits(now, deadline time.Time) bool {
	return p == nil || now.Before(p.deregistered) || !deadline.After(p.end)
}

// idleBeforeRetire is how long a connection has carried no call when a stopping gateway lets it end, while callers may not know another
// one. A caller is the likelier to send on a connection the shorter its last answer is past, and a request that crosses the end of its
// connection has to be sent again; one that arrives in time is served, and its answer tells the caller to close.
const idleBeforeRetire = time.Second

// retirableAfter returns how long a connection must have been idle at the time for the stop to let it end.
func (p *plannedStop) retirableAfter(now time.Time) time.Duration {
	if now.Before(p.deregistered) {
		return idleBeforeRetire
	}
	return 0
}

// announceStop makes the answer tell its caller that the connection ends after it, if the gateway stops.
func (g *Gateway) announceStop(w http.ResponseWriter) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// checkStop returns an error if the call would begin so late in a planned stop that it might be cut. A call that may have run goes on: its
// caller could not send it again.
func (x *exchange) checkStop() error {
	stop := x.g.stopping.Load()
	if x.runs > 0 || stop.admits(time.Now(), x.deadline) {
		return nil
	}
	return api.Errorf(api.CodeDraining, "the gateway stops in %v", time.Until(stop.end).Round(time.Millisecond))
}

// waitingCalls are the calls that wait for a server. It is safe for concurrent use.
type waitingCalls struct {
	mu   sync.Mutex
	ends map[*exchange]context.CancelFunc // Guarded by mu.
}

// waitForServer returns a context for the call's wait for a server, which ends when a planned stop does not admit the call any more. done
// must be called when the wait is over.
func (x *exchange) waitForServer(ctx context.Context) (waiting context.Context, done func()) {
	if x.runs > 0 {
		return ctx, func() {}
	}
	w := &x.g.waitingCalls
	waiting, end := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ends == nil {
		w.ends = make(map[*exchange]context.CancelFunc)
	}
	w.ends[x] = end
	return waiting, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.ends, x)
		end()
	}
}

// endLate ends the waits of the calls that the stop does not admit now.
func (w *waitingCalls) endLate(stop *plannedStop, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, end := range w.ends {
		if !stop.admits(now, x.deadline) {
			end()
		}
	}
}

// Shutdown makes the readiness check fail and lets idle connections end, so that callers move to other gateways. It answers
// the calls in progress and those that still arrive until the platform has noticed, then closes the port for callers. Calls that arrive
// later, on connections that are open, are refused as not run unless they are sure to end in time. It returns when no call is left or
// the drain time is over.
func (g *Gateway) Shutdown(ctx context.Context) error {
	start := time.Now()
	g.log.Info("stop", "active", g.active.Load())
	stop := &plannedStop{deregistered: start.Add(deregistrationTime), end: start.Add(g.settings.drainTime())}
	g.stopping.Store(stop)
	g.draining.Store(true)
	g.group.MarkLeaving() // So that another gateway becomes the hub before this one ends.
	ctx, cancel := context.WithTimeout(ctx, g.settings.drainTime())
	defer cancel()
	listening := true
	for ctx.Err() == nil && (listening || !g.conns.AreQuiet()) {
		if listening && time.Since(start) >= deregistrationTime {
			listening = false
			_ = g.callers.Close()
		}
		g.waitingCalls.endLate(stop, time.Now())
		g.conns.RetireIdle(stop.retirableAfter(time.Now()))
		pause.For(ctx, stopPollInterval)
	}
	for ctx.Err() == nil && g.conns.Len() > 0 {
		g.conns.RetireAll()
		pause.For(ctx, retirePollInterval)
	}
	var group errgroup.Group
	for _, server := range g.servers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		g.log.Warn("calls interrupted at the end of the drain time", "active", g.active.Load(), "error", err)
	}
	g.origins.flush(ctx)
	g.transcripts.flush(ctx)
	g.stop()
	g.log.Info("stopped", "after_ms", time.Since(start).Milliseconds(), "active", g.active.Load(),
		"connections", g.conns.Len(), "found_late", g.conns.Found())
	return nil
}
