package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// kindEngine is the ports.Member kind of a model engine.
const kindEngine = "engine"

// sidecar is this entry's view of one sidecar.
type sidecar struct {
	mu              sync.Mutex // Guards the fields below.
	member          ports.Member
	load            api.Load
	incarnation     string
	revision        uint64               // Configuration revision that the sidecar last reported.
	reportedAt      time.Time            // When the sidecar last reported load to this entry; zero before the first report.
	seenAt          time.Time            // Last successful exchange, or last use of a watcher's report.
	requestSentAt   time.Time            // When the request of the last successful exchange was sent.
	contacted       bool                 // The first heartbeat round is over, with or without an answer.
	inFlight        int                  // Calls in progress that this entry sent.
	held            map[string]struct{}  // Programs whose prefix the sidecar holds, by its last answer and later calls.
	lastAttemptAt   time.Time            // When the last heartbeat was sent, answered or not.
	sentFences      []api.Fence          // Fences in the last answered heartbeat, sorted by journal.
	failures        int                  // Consecutive unanswered heartbeats.
	lastFailureAt   time.Time            // When the last unanswered heartbeat failed.
	renewUntil      map[string]time.Time // By program: the time until which its hold is renewed.
	pendingReleases map[string]struct{}  // Programs whose prefix the sidecar is to release and has not yet confirmed.
}

func newSidecar() *sidecar {
	return &sidecar{
		renewUntil:      make(map[string]time.Time),
		pendingReleases: make(map[string]struct{}),
		held:            make(map[string]struct{}),
	}
}

// target is a copy of the identity of the sidecar that was chosen for one call.
type target struct {
	ID          string
	Address     string
	Incarnation string
}

// fleet tracks the state of all sidecars by heartbeats. The membership list only says which sidecars exist.
type fleet struct {
	client    *transport.Client
	log       *slog.Logger
	heartbeat time.Duration // Interval between two heartbeats.
	// baseRequest returns the parts of a heartbeat that are the same for every sidecar.
	baseRequest func() api.ExchangeRequest
	// onResponse is called after each answer and each watcher's report that was used. For a report, request is empty.
	onResponse func(id string, request *api.ExchangeRequest, r *api.ExchangeResponse)
	// protocol assigns the watchers of each sidecar. If it is nil, this entry exchanges with all sidecars itself.
	protocol *protocol

	mu       sync.RWMutex // Guards sidecars.
	sidecars map[string]*sidecar
}

func newFleet(client *transport.Client, log *slog.Logger, heartbeat time.Duration) *fleet {
	return &fleet{client: client, log: log, heartbeat: heartbeat, sidecars: make(map[string]*sidecar)}
}

// update applies the membership list. Each new backend member gets a heartbeat loop, which ends with ctx or when the
// member leaves the list. While the membership protocol is active, only members of this entry's region are kept.
func (f *fleet) update(ctx context.Context, members []ports.Member) {
	listed := make(map[string]struct{}, len(members))
	for _, m := range members {
		if m.Role != ports.RoleBackend || (f.protocolActive() && !f.protocol.sameRegion(m.Region)) {
			continue
		}
		listed[m.ID] = struct{}{}
		f.updateMember(ctx, m)
	}
	if f.protocol != nil {
		f.protocol.setSidecars(slices.Collect(maps.Keys(listed)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.sidecars {
		if _, ok := listed[id]; !ok {
			delete(f.sidecars, id)
		}
	}
}

// updateMember adds or updates the sidecar of a listed member and starts the heartbeat loop of a new one.
func (f *fleet) updateMember(ctx context.Context, m ports.Member) {
	f.mu.Lock()
	s := f.sidecars[m.ID]
	known := s != nil
	if !known {
		s = newSidecar()
		f.sidecars[m.ID] = s
	}
	f.mu.Unlock()
	s.mu.Lock()
	s.member = m
	s.mu.Unlock()
	if !known {
		go f.heartbeatLoop(ctx, m.ID, s)
	}
}

// heartbeatLoop exchanges heartbeats with one sidecar, or uses the reports of its watchers, until ctx ends or the sidecar
// leaves the list.
func (f *fleet) heartbeatLoop(ctx context.Context, id string, s *sidecar) {
	ticker := time.NewTicker(f.heartbeat)
	defer ticker.Stop()
	for f.get(id) == s {
		if f.exchangeDue(id, s) {
			f.exchange(ctx, id, s)
		} else {
			f.applyWatcherReport(id, s)
		}
		s.markContacted()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// get returns the sidecar, or nil if it is not listed.
func (f *fleet) get(id string) *sidecar {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.sidecars[id]
}

// exchange sends one heartbeat to the sidecar and records the answer or the failure. The timeout is two heartbeat
// intervals.
func (f *fleet) exchange(ctx context.Context, id string, s *sidecar) {
	began := time.Now()
	request := f.baseRequest()
	address := s.fillRequest(&request)
	s.recordAttempt()
	ctx, cancel := context.WithTimeout(ctx, 2*f.heartbeat)
	defer cancel()
	var response api.ExchangeResponse
	if err := f.client.JSON(ctx, "POST", address, api.PathExchange, &request, &response); err != nil {
		f.log.Debug("sidecar heartbeat failed", "sidecar", id, "error", err)
		f.recordFailure(id, s)
		return
	}
	s.recordResponse(&response, request.Ended, began)
	f.recordSuccess(id, s, &request, &response)
	f.onResponse(id, &request, &response)
}

// fillRequest adds to the heartbeat the holds to renew and to release at this sidecar, and returns its address. A hold
// that has expired is to be released.
func (s *sidecar) fillRequest(r *api.ExchangeRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.renewUntil {
		if now.After(until) {
			delete(s.renewUntil, id)
			s.pendingReleases[id] = struct{}{}
			continue
		}
		r.Renew = append(r.Renew, id)
	}
	for id := range s.pendingReleases {
		r.Ended = append(r.Ended, id)
	}
	return s.member.Address
}

// recordResponse records the answer to a heartbeat that was sent at requestSent. released are the programs whose release
// the answer confirms.
func (s *sidecar) recordResponse(r *api.ExchangeResponse, released []string, requestSent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.load = r.Load
	s.incarnation = r.Incarnation
	s.revision = r.ConfigRevision
	s.reportedAt = now
	s.seenAt = now
	s.requestSentAt = requestSent
	clear(s.held)
	for _, id := range r.Held {
		s.held[id] = struct{}{}
	}
	for _, id := range released {
		delete(s.pendingReleases, id)
	}
}

// keepHold, passed as the hold time at the end of a call, leaves the hold of the program's prefix unchanged.
const keepHold time.Duration = -1

// beginCall counts a call of the program that is about to be sent. The returned function counts its end and takes the time
// for which the program's prefix is to be held: zero releases it immediately, and keepHold leaves its hold unchanged.
func (s *sidecar) beginCall(program string) func(hold time.Duration) {
	s.mu.Lock()
	s.inFlight++
	delete(s.pendingReleases, program)
	s.mu.Unlock()
	return func(hold time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight--
		if hold == keepHold {
			return
		}
		if hold > 0 {
			s.renewUntil[program] = time.Now().Add(hold)
			s.held[program] = struct{}{}
			return
		}
		delete(s.renewUntil, program)
		s.pendingReleases[program] = struct{}{}
	}
}

// setHold has the sidecar hold the program's prefix for the given time, or release it if the time is zero.
func (s *sidecar) setHold(program string, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hold > 0 {
		s.renewUntil[program] = time.Now().Add(hold)
		return
	}
	delete(s.renewUntil, program)
	s.pendingReleases[program] = struct{}{}
}

// forgetPrograms discards the holds and pending releases of programs that this entry no longer owns. From then on the new
// owner renews or releases their holds.
func (f *fleet) forgetPrograms(programs []string) {
	for _, s := range f.list() {
		s.mu.Lock()
		for _, id := range programs {
			delete(s.renewUntil, id)
			delete(s.pendingReleases, id)
		}
		s.mu.Unlock()
	}
}

// releasePrograms has every sidecar that holds a prefix of one of the programs release it.
func (f *fleet) releasePrograms(programs []string) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.sidecars {
		s.mu.Lock()
		for _, id := range programs {
			_, renewing := s.renewUntil[id]
			_, held := s.held[id]
			if renewing || held {
				delete(s.renewUntil, id)
				s.pendingReleases[id] = struct{}{}
			}
		}
		s.mu.Unlock()
	}
}

// list returns the listed sidecars in no particular order.
func (f *fleet) list() []*sidecar {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]*sidecar, 0, len(f.sidecars))
	for _, s := range f.sidecars {
		out = append(out, s)
	}
	return out
}

// ids returns the ids of the listed sidecars.
func (f *fleet) ids() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Collect(maps.Keys(f.sidecars))
}

// serves reports whether any listed sidecar serves the model or plain service.
func (f *fleet) serves(kind api.CallKind, service string) bool {
	for _, s := range f.list() {
		s.mu.Lock()
		match := s.member.Service == service && (s.member.Kind == kindEngine) == (kind == api.KindModel)
		s.mu.Unlock()
		if match {
			return true
		}
	}
	return false
}

func (s *sidecar) markContacted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacted = true
}

// allContacted reports whether the first heartbeat round of every listed sidecar is over. It is false while no sidecar is
// listed.
func (f *fleet) allContacted() bool {
	list := f.list()
	for _, s := range list {
		s.mu.Lock()
		contacted := s.contacted
		s.mu.Unlock()
		if !contacted {
			return false
		}
	}
	return len(list) > 0
}
