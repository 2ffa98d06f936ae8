package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/ratelimit"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// waitTooLongError reports that a call's expected wait for capacity at its server exceeds what its caller can wait.
type waitTooLongError struct {
	wait        time.Duration
	beyondShare bool    // The call's organisation has had its share of the capacity, for which others wait.
	lead        float64 // How far it is ahead of its share, in calls of average cost.
}

// Error implements error.
func (e *waitTooLongError) Error() string {
	if e.beyondShare {
		return fmt.Sprintf("the server is expected to have capacity for the organisation, which has used its share, in %d ms", e.wait.Milliseconds())
	}
	return fmt.Sprintf("the server is expected to have capacity in %d ms", e.wait.Milliseconds())
}

var (
	// errAtCapacity reports that the time for which a call may wait for capacity at its server ran out.
	errAtCapacity = errors.New("the server is at capacity")
	// errNoServerAvailable reports that no untried backend server is available for a call.
	errNoServerAvailable = errors.New("no backend server is available for the call")
)

// admission places the turns of all gateways at engines, and their calls at servers that have named a limit. It runs at the hub,
// which knows all calls in progress. A call is assigned to a server on arrival; calls that wait for a server count towards its
// load. While its server is at capacity the call waits in the server's queue, which is ordered by schedule.Precedence. Without
// the hub, a gateway uses its own admission for calls at servers with a limit. It is safe for concurrent use.
type admission struct {
	loads        *loads
	directory    *fleet.Directory
	engineLimits schedule.EngineLimits
	limiter      *ratelimit.Limiter
	waiting      atomic.Int64 // Calls in all queues.

	mu     sync.Mutex              // Must not be held while loads.mu is acquired.
	queues map[string]*serverQueue // Guarded by mu. By server id; servers without running or waiting calls have no entry.
	shares schedule.FairShares     // Guarded by mu. Of the organisations in config.
	config *fleet.Config           // Guarded by mu.
}

// serverQueue holds what is running at one server and the calls that wait for it.
type serverQueue struct {
	running schedule.EngineUsage
	calls   *schedule.FairQueue[*waitingCall]
	wake    *time.Timer // Runs when the server may get a further call under its limit; nil if no call waits for that.
}

// waitingCall is a call in a server's queue.
type waitingCall struct {
	usage    schedule.EngineUsage
	cost     float64       // At the engine; 0 at a server of a plain service.
	bounded  bool          // The engine limits apply to it.
	admitted chan struct{} // Closed when the call may run, or when refused is set.
	refused  error         // Why the call was removed from the queue; nil if it may run. Set before admitted is closed.
}

// newAdmission returns an admission without any calls.
func newAdmission(l *loads, d *fleet.Directory, limiter *ratelimit.Limiter) *admission {
	return &admission{
		loads: l, directory: d, limiter: limiter, engineLimits: schedule.DefaultEngineLimits(), queues: make(map[string]*serverQueue),
	}
}

// waitLimits bound how long a call waits for capacity at its server.
type waitLimits struct {
	holdUntil time.Time // When a request to place the call must be answered.
	giveUpAt  time.Time // After this time the request is not repeated. Zero if the wait cannot be predicted.
}

// place chooses a server for the call and waits until the server has capacity. It returns errNoServerAvailable if no server
// can be chosen, errAtCapacity at limits.holdUntil, and a *waitTooLongError immediately when the expected wait extends
// beyond limits.giveUpAt.
func (a *admission) place(
	ctx context.Context, services []string, r placeRequest, precedence schedule.Precedence, limits waitLimits,
) (fleet.Service, placement, error) {
	view := a.directory.View()
	if view.Config == nil {
		return fleet.Service{}, placement{}, errNoServerAvailable
	}
	if a.limiter.IsInUse() {
		r.limitWait = a.limitWait
	}
	r.spreadShared = view.Config.RequiresKeys()
	service, p, err := a.loads.placeAtFirstAvailable(view, services, r)
	if err != nil {
		return service, p, err
	}
	call := &waitingCall{
		usage:   schedule.EngineUsage{Calls: 1, PendingTokens: p.ticket.pendingTokens},
		bounded: service.Engine != nil && r.allCallsKnown, admitted: make(chan struct{}),
	}
	if !call.bounded && !a.limiter.IsLimited(p.server.ID, p.server.Born) {
		return service, p, nil
	}
	if service.Engine != nil {
		call.cost = schedule.CallCost(p.ticket.pendingTokens, r.maxOutput)
	}
	w, err := a.enqueue(p.server, view.Config, precedence, call, limits)
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

// limitWait returns the time until the server may get a further call under the limit that it has named, after those that wait.
func (a *admission) limitWait(server *fleet.BackendServer) time.Duration {
	ahead := 0
	a.mu.Lock()
	if queue := a.queues[server.ID]; queue != nil {
		ahead = queue.calls.Len()
	}
	a.mu.Unlock()
	return a.limiter.Wait(time.Now(), server.ID, server.Born, ahead)
}

// enqueue adds the call to its server's queue, and admits calls for which the server has capacity. It returns a
// *waitTooLongError if the expected wait extends beyond limits.giveUpAt.
func (a *admission) enqueue(
	server *fleet.BackendServer, config *fleet.Config, precedence schedule.Precedence, call *waitingCall, limits waitLimits,
) (*schedule.WaitingCall[*waitingCall], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configureShares(config)
	queue := a.queues[server.ID]
	if queue == nil {
		queue = &serverQueue{calls: schedule.NewFairQueue[*waitingCall](&a.shares)}
		a.queues[server.ID] = queue
	}
	if a.shares.Enabled() {
		return a.enqueueFairly(server, queue, precedence, call, limits)
	}
	if wait := a.expectedWait(server, queue, precedence); !limits.giveUpAt.IsZero() && time.Now().Add(wait).After(limits.giveUpAt) && wait > 0 {
		a.deleteIfIdle(server.ID)
		return nil, &waitTooLongError{wait: wait}
	}
	w := queue.calls.Push(precedence, call.cost, limits.giveUpAt, call)
	a.waiting.Add(1)
	a.admitWaiting(server, queue)
	return w, nil
}

// configureShares sets the weights of the organisations after a change of the configuration. The caller holds mu.
func (a *admission) configureShares(config *fleet.Config) {
	if config == a.config {
		return
	}
	a.config = config
	a.shares.Configure(config.OrganisationRates())
}

// enqueueFairly is enqueue for a deployment with organisations. The call may go ahead of waiting ones and make their wait too long,
// so those that can no longer be admitted in time are refused, or the call itself. The caller holds mu.
func (a *admission) enqueueFairly(
	server *fleet.BackendServer, queue *serverQueue, precedence schedule.Precedence, call *waitingCall, limits waitLimits,
) (*schedule.WaitingCall[*waitingCall], error) {
	now := time.Now()
	w := queue.calls.Push(precedence, call.cost, limits.giveUpAt, call)
	a.waiting.Add(1)
	refusals := queue.calls.RefuseLate(now, w, func(ahead int) time.Duration { return a.limiter.Wait(now, server.ID, server.Born, ahead) })
	for _, r := range refusals {
		a.waiting.Add(-1)
		r.Call.Value.refused = &waitTooLongError{wait: r.Wait, beyondShare: r.BeyondShare, lead: r.Lead}
		close(r.Call.Value.admitted)
	}
	if call.refused != nil {
		a.deleteIfIdle(server.ID)
		return nil, call.refused
	}
	a.admitWaiting(server, queue)
	return w, nil
}

// expectedWait returns the expected wait of a call in the server's queue, or 0 if it is unknown. The caller holds mu.
func (a *admission) expectedWait(server *fleet.BackendServer, queue *serverQueue, precedence schedule.Precedence) time.Duration {
	ahead := queue.calls.Ahead(precedence)
	wait := a.limiter.Wait(time.Now(), server.ID, server.Born, ahead)
	if ahead > 0 {
		wait = max(wait, queue.calls.Interval.Wait(ahead))
	}
	return wait
}

// awaitAdmission waits until the call is admitted, holdUntil is reached, or ctx ends. In the last two cases it removes the
// call from the queue.
func (a *admission) awaitAdmission(ctx context.Context, server *fleet.BackendServer, w *schedule.WaitingCall[*waitingCall], holdUntil time.Time) error {
	select {
	case <-w.Value.admitted:
		return w.Value.refused
	default:
	}
	timer := time.NewTimer(time.Until(holdUntil))
	defer timer.Stop()
	err := errAtCapacity
	select {
	case <-w.Value.admitted:
		return w.Value.refused
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queues[server.ID]
	if queue == nil || !queue.calls.Remove(time.Now(), w) {
		return w.Value.refused // Admitted or refused after the timer or ctx fired.
	}
	a.waiting.Add(-1)
	a.deleteIfIdle(server.ID)
	return err
}

// release gives back all or part of the capacity that a call uses of a server, and admits waiting calls.
func (a *admission) release(server *fleet.BackendServer, usage schedule.EngineUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queues[server.ID]
	queue.running = queue.running.Sub(usage)
	a.admitWaiting(server, queue)
	a.deleteIfIdle(server.ID)
}

// admitWaiting admits calls from the front of the server's queue while the server has capacity, and is called again when it may
// get a further call under its limit. The caller holds mu.
func (a *admission) admitWaiting(server *fleet.BackendServer, queue *serverQueue) {
	for w := a.next(server, queue); w != nil; w = a.next(server, queue) {
		if !a.limiter.Take(time.Now(), server.ID, server.Born) {
			a.wakeAtNextPermit(server, queue)
			return
		}
		queue.calls.Admit(time.Now(), w)
		a.waiting.Add(-1)
		queue.running = queue.running.Add(w.Value.usage)
		close(w.Value.admitted)
	}
}

// next returns the call that the server has capacity for and that is admitted next, or nil. The caller holds mu.
func (a *admission) next(server *fleet.BackendServer, queue *serverQueue) *schedule.WaitingCall[*waitingCall] {
	if w := queue.calls.First(); w == nil || !w.Value.bounded {
		return w
	}
	return queue.calls.Next(a.engineLimits, queue.running, server.Slots)
}

const (
	minWakeInterval = time.Millisecond
	maxWakeInterval = 250 * time.Millisecond // A limit that changes or ends is noticed after this time.
)

// wakeAtNextPermit makes admitWaiting run when the server may get a further call under its limit. The caller holds mu.
func (a *admission) wakeAtNextPermit(server *fleet.BackendServer, queue *serverQueue) {
	if queue.wake != nil {
		return
	}
	wait := a.limiter.Wait(time.Now(), server.ID, server.Born, 0)
	queue.wake = time.AfterFunc(min(max(wait, minWakeInterval), maxWakeInterval), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		queue.wake = nil
		a.admitWaiting(server, queue)
	})
}

// deleteIfIdle deletes the entry of a server without running or waiting calls. The caller holds mu.
func (a *admission) deleteIfIdle(id string) {
	if queue := a.queues[id]; queue.running.Calls == 0 && queue.calls.Len() == 0 {
		delete(a.queues, id)
	}
}
