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

// noRoomError reports that a turn would wait longer for room at its engine than its caller can.
type noRoomError struct{ wait time.Duration }

// Error implements error.
func (e *noRoomError) Error() string {
	return fmt.Sprintf("the engine is expected to have room in %d ms", e.wait.Milliseconds())
}

var (
	// errEnginesFull reports that a turn waited for room at its engine in vain.
	errEnginesFull = errors.New("the engine is full")
	// errNoServer reports that no backend server is left for a call.
	errNoServer = errors.New("no backend server takes the call")
)

// admission places the turns of all gateways at the hub, which knows the calls under way. A turn is placed when it arrives,
// where the waiting ones count as well; while its engine is full it waits, in the order of the claims. It is safe for
// concurrent use.
type admission struct {
	loads     *loads
	directory *fleet.Directory
	room      schedule.EngineLimits
	waiting   atomic.Int64 // Turns in all lines.

	mu      sync.Mutex             // Never held while the lock of loads is taken.
	engines map[string]*engineLine // Guarded by mu. By server; engines without calls are left out.
}

// engineLine is one engine with the turns that wait for it.
type engineLine struct {
	running schedule.EngineUsage
	line    schedule.WaitQueue[*waitingTurn]
	pace    schedule.AdmissionInterval
}

// waitingTurn is a turn that waits for its engine.
type waitingTurn struct {
	use      schedule.EngineUsage
	admitted chan struct{} // Closed when the turn may run.
}

func newAdmission(l *loads, d *fleet.Directory) *admission {
	return &admission{loads: l, directory: d, room: schedule.DefaultEngineLimits(), engines: make(map[string]*engineLine)}
}

// waitLimits bound how long a turn waits for room.
type waitLimits struct {
	hold   time.Time // Until then the request for a place may be held.
	giveUp time.Time // Until then the turn may be asked for again.
}

// place chooses an engine for the turn and waits until it has room. It returns errEnginesFull at the end of the hold, and a
// *noRoomError at once when the line is too long for the turn.
func (a *admission) place(
	ctx context.Context, services []string, r placeRequest, claim schedule.Precedence, limits waitLimits,
) (fleet.Service, placement, error) {
	view := a.directory.View()
	if view.Config == nil {
		return fleet.Service{}, placement{}, errNoServer
	}
	r.current = true
	service, p, err := a.loads.placeAtFirst(view, services, r)
	if err != nil || service.Engine == nil {
		return service, p, err
	}
	turn := &waitingTurn{use: schedule.EngineUsage{Calls: 1, PendingTokens: p.ticket.pending}, admitted: make(chan struct{})}
	w, err := a.enter(p.server, claim, turn, limits)
	if err == nil {
		err = a.await(ctx, p.server, w, limits.hold)
	}
	if err != nil {
		p.ticket.end(outcomeNeutral)
		return service, placement{}, err
	}
	p.ticket.admit(func(use schedule.EngineUsage) { a.release(p.server, use) })
	return service, p, nil
}

// enter adds the turn to its engine's line, unless it would wait there for too long.
func (a *admission) enter(
	server *fleet.BackendServer, claim schedule.Precedence, turn *waitingTurn, limits waitLimits,
) (*schedule.WaitingCall[*waitingTurn], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.engines[server.ID]
	if e == nil {
		e = &engineLine{}
		a.engines[server.ID] = e
	}
	if ahead := e.line.Ahead(claim); ahead > 0 {
		if wait := e.pace.Wait(ahead); time.Now().Add(wait).After(limits.giveUp) {
			return nil, &noRoomError{wait}
		}
	}
	w := e.line.Push(claim, turn)
	a.waiting.Add(1)
	a.advance(server, e)
	return w, nil
}

// await waits until the turn may run.
func (a *admission) await(ctx context.Context, server *fleet.BackendServer, w *schedule.WaitingCall[*waitingTurn], limit time.Time) error {
	select {
	case <-w.Value.admitted:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	reason := errEnginesFull
	select {
	case <-w.Value.admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		reason = ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.engines[server.ID].line.Remove(w) {
		return nil // Admitted meanwhile.
	}
	a.waiting.Add(-1)
	a.forgetIdle(server.ID)
	return reason
}

// release gives up what a turn uses of an engine, all or a part.
func (a *admission) release(server *fleet.BackendServer, use schedule.EngineUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.engines[server.ID]
	e.running = e.running.Sub(use)
	a.advance(server, e)
	a.forgetIdle(server.ID)
}

// advance admits turns from the front of the engine's line while there is room. The caller holds mu.
func (a *admission) advance(server *fleet.BackendServer, e *engineLine) {
	for w := e.line.First(); w != nil && a.room.Allows(e.running, server.Slots); w = e.line.First() {
		e.line.Remove(w)
		a.waiting.Add(-1)
		e.running = e.running.Add(w.Value.use)
		e.pace.Admitted(time.Now(), e.line.Len() > 0)
		close(w.Value.admitted)
	}
}

// forgetIdle forgets an engine without calls. The caller holds mu.
func (a *admission) forgetIdle(id string) {
	if e := a.engines[id]; e.running.Calls == 0 && e.line.Len() == 0 {
		delete(a.engines, id)
	}
}
