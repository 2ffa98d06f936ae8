package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// waitTooLongError reports that a turn's expected wait for capacity at its engine exceeds what its caller can wait.
type waitTooLongError struct{ wait time.Duration }

// Error implements error.
func (e *waitTooLongError) Error() string {
	return fmt.Sprintf("the engine is expected to have capacity in %d ms", e.wait.Milliseconds())
}

var (
	// errEngineFull reports that the time for which a turn may wait for capacity at its engine ran out.
	errEngineFull = errors.New("the engine is at capacity")
	// errNoServerAvailable reports that no untried backend server is available for a call.
	errNoServerAvailable = errors.New("no backend server is available for the call")
)

// admission places the turns of all gateways at engines. It runs at the hub, which knows all calls in progress. A turn is
// assigned to an engine on arrival; turns that wait for an engine count towards its load. While its engine is at capacity
// the turn waits in the engine's queue, which is ordered by schedule.Precedence. It is safe for concurrent use.
type admission struct {
	loads        *loads
	directory    *fleet.Directory
	engineLimits schedule.EngineLimits
	waiting      atomic.Int64 // Turns in all queues.

	mu     sync.Mutex              // Must not be held while loads.mu is acquired.
	queues map[string]*engineQueue // Guarded by mu. By server id; engines without running or waiting turns have no entry.
}

// engineQueue holds what is running at one engine and the turns that wait for it.
type engineQueue struct {
	running           schedule.EngineUsage
	turns             schedule.WaitQueue[*waitingTurn]
	admissionInterval schedule.AdmissionInterval
}

// waitingTurn is a turn in an engine's queue.
type waitingTurn struct {
	usage    schedule.EngineUsage
	admitted chan struct{} // Closed when the turn may run.
}

// newAdmission returns an admission without any turns.
func newAdmission(l *loads, d *fleet.Directory) *admission {
	return &admission{loads: l, directory: d, engineLimits: schedule.DefaultEngineLimits(), queues: make(map[string]*engineQueue)}
}

// waitLimits bound how long a turn waits for capacity at its engine.
type waitLimits struct {
	holdUntil time.Time // When a request to place the turn must be answered.
	giveUpAt  time.Time // After this time the request is not repeated.
}

// place chooses an engine for the turn and waits until the engine has capacity. It returns errNoServerAvailable if no engine
// can be chosen, errEngineFull at limits.holdUntil, and a *waitTooLongError immediately when the expected wait extends
// beyond limits.giveUpAt.
func (a *admission) place(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, limits waitLimits,
) (fleet.Service, placement, error) {
	view := a.directory.View()
	if view.Config == nil {
		return fleet.Service{}, placement{}, errNoServerAvailable
	}
	r.allCallsKnown = true
	service, p, err := a.loads.placeAtFirstAvailable(view, services, r)
	if err != nil || service.Engine == nil {
		return service, p, err
	}
	turn := &waitingTurn{usage: schedule.EngineUsage{Calls: 1, PendingTokens: p.ticket.pendingTokens}, admitted: make(chan struct{})}
	w, err := a.enqueue(p.server, precedence, turn, limits)
	if err == nil {
		err = a.awaitAdmission(ctx, p.server, w, limits.holdUntil)
	}
	if err != nil {
		p.ticket.end(outcomeNeutral)
		return service, placement{}, err
	}
	p.ticket.setRelease(func(usage schedule.EngineUsage) { a.release(p.server, usage) })
	return service, p, nil
}

// enqueue adds the turn to its engine's queue, and admits turns for which the engine has capacity. It returns a
// *waitTooLongError if the expected wait extends beyond limits.giveUpAt.
func (a *admission) enqueue(
	server *fleet.BackendServer, precedence schedule.Precedence, turn *waitingTurn, limits waitLimits,
) (*schedule.WaitingCall[*waitingTurn], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queues[server.ID]
	if queue == nil {
		queue = &engineQueue{}
		a.queues[server.ID] = queue
	}
	if ahead := queue.turns.Ahead(precedence); ahead > 0 {
		if wait := queue.admissionInterval.Wait(ahead); time.Now().Add(wait).After(limits.giveUpAt) {
			return nil, &waitTooLongError{wait}
		}
	}
	w := queue.turns.Push(precedence, turn)
	a.waiting.Add(1)
	a.admitWaiting(server, queue)
	return w, nil
}

// awaitAdmission waits until the turn is admitted, holdUntil is reached, or ctx ends. In the last two cases it removes the
// turn from the queue.
func (a *admission) awaitAdmission(ctx context.Context, server *fleet.BackendServer, w *schedule.WaitingCall[*waitingTurn], holdUntil time.Time) error {
	select {
	case <-w.Value.admitted:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(holdUntil))
	defer timer.Stop()
	err := errEngineFull
	select {
	case <-w.Value.admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queues[server.ID].turns.Remove(w) {
		return nil // Admitted after the timer or ctx fired.
	}
	a.waiting.Add(-1)
	a.deleteIfIdle(server.ID)
	return err
}

// release gives back all or part of the capacity that a turn uses of an engine, and admits waiting turns.
func (a *admission) release(server *fleet.BackendServer, usage schedule.EngineUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queues[server.ID]
	queue.running = queue.running.Sub(usage)
	a.admitWaiting(server, queue)
	a.deleteIfIdle(server.ID)
}

// admitWaiting admits turns from the front of the engine's queue while the engine has capacity. The caller holds mu.
func (a *admission) admitWaiting(server *fleet.BackendServer, queue *engineQueue) {
	for w := queue.turns.First(); w != nil && a.engineLimits.Allows(queue.running, server.Slots); w = queue.turns.First() {
		queue.turns.Remove(w)
		a.waiting.Add(-1)
		queue.running = queue.running.Add(w.Value.usage)
		queue.admissionInterval.Admitted(time.Now(), queue.turns.Len() > 0)
		close(w.Value.admitted)
	}
}

// deleteIfIdle deletes the entry of an engine without running or waiting turns. The caller holds mu.
func (a *admission) deleteIfIdle(id string) {
	if queue := a.queues[id]; queue.running.Calls == 0 && queue.turns.Len() == 0 {
		delete(a.queues, id)
	}
}
