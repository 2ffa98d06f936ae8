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

// sidecar is what this entry knows of one sidecar.
type sidecar struct {
	mu          sync.Mutex // Guards the fields below.
	member      ports.Member
	load        api.Load
	incarnation string
	revision    uint64    // Of the configuration that the sidecar has heard of.
	reportedAt  time.Time // Of load; zero before the first report.
	seenAt      time.Time // Last successful exchange.
	askedAt     time.Time // When that exchange was begun.
	asked       bool      // The first exchange has ended, with or without an answer.
	inFlight    int       // This entry's calls under way.
	held        map[string]struct{}
	exchangedAt time.Time            // Last question, answered or not.
	fences      []api.Fence          // Told in the last answered question.
	failures    int                  // Unanswered questions since the last answer.
	failedAt    time.Time            // Last unanswered question.
	renew       map[string]time.Time // Programs served here, to the end of their hold.
	ended       map[string]struct{}  // Programs whose end the sidecar has not confirmed.
}

func newSidecar() *sidecar {
	return &sidecar{
		renew: make(map[string]time.Time),
		ended: make(map[string]struct{}),
		held:  make(map[string]struct{}),
	}
}

// target is a sidecar as chosen for one call.
type target struct {
	ID          string
	Address     string
	Incarnation string
}

// fleet keeps the view of all sidecars by heartbeats. The membership list only says whom to ask.
type fleet struct {
	client    *transport.Client
	log       *slog.Logger
	heartbeat time.Duration
	request   func() api.ExchangeRequest                                           // The parts that are equal for every sidecar.
	learned   func(id string, asked *api.ExchangeRequest, r *api.ExchangeResponse) // Called after each successful exchange.
	group     *group                                                               // Tells who watches a sidecar; nil: this entry watches all.

	mu       sync.RWMutex // Guards sidecars.
	sidecars map[string]*sidecar
}

func newFleet(client *transport.Client, log *slog.Logger, heartbeat time.Duration) *fleet {
	return &fleet{client: client, log: log, heartbeat: heartbeat, sidecars: make(map[string]*sidecar)}
}

// update takes the backend members of the list. New ones get a heartbeat loop that ends with ctx or when the member
// leaves the list.
func (f *fleet) update(ctx context.Context, members []ports.Member) {
	listed := make(map[string]struct{}, len(members))
	for _, m := range members {
		if m.Role != ports.RoleBackend || (f.bounded() && !f.group.near(m.Region)) {
			continue
		}
		listed[m.ID] = struct{}{}
		f.updateOne(ctx, m)
	}
	if f.group != nil {
		f.group.setSidecars(slices.Collect(maps.Keys(listed)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.sidecars {
		if _, ok := listed[id]; !ok {
			delete(f.sidecars, id)
		}
	}
}

func (f *fleet) updateOne(ctx context.Context, m ports.Member) {
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
		go f.beat(ctx, m.ID, s)
	}
}

// beat exchanges with one sidecar until it leaves the list.
func (f *fleet) beat(ctx context.Context, id string, s *sidecar) {
	ticker := time.NewTicker(f.heartbeat)
	defer ticker.Stop()
	for f.get(id) == s {
		if f.due(id, s) {
			f.exchange(ctx, id, s)
		} else {
			f.hearOf(id, s)
		}
		s.markAsked()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// get returns the sidecar or nil.
func (f *fleet) get(id string) *sidecar {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.sidecars[id]
}

// exchange sends one heartbeat.
func (f *fleet) exchange(ctx context.Context, id string, s *sidecar) {
	began := time.Now()
	request := f.request()
	address := s.fillRequest(&request)
	s.exchanging()
	ctx, cancel := context.WithTimeout(ctx, 2*f.heartbeat)
	defer cancel()
	var response api.ExchangeResponse
	if err := f.client.JSON(ctx, "POST", address, api.PathExchange, &request, &response); err != nil {
		f.log.Debug("sidecar heartbeat failed", "sidecar", id, "error", err)
		f.failed(id, s)
		return
	}
	s.take(&response, request.Ended, began)
	f.answered(id, s, &request, &response)
	f.learned(id, &request, &response)
}

// fillRequest adds the parts of the heartbeat that concern this sidecar and returns its address.
func (s *sidecar) fillRequest(r *api.ExchangeRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.renew {
		if now.After(until) {
			delete(s.renew, id)
			s.ended[id] = struct{}{}
			continue
		}
		r.Renew = append(r.Renew, id)
	}
	for id := range s.ended {
		r.Ended = append(r.Ended, id)
	}
	return s.member.Address
}

// take notes the answer to a heartbeat.
func (s *sidecar) take(r *api.ExchangeResponse, confirmed []string, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.load = r.Load
	s.incarnation = r.Incarnation
	s.revision = r.ConfigRevision
	s.reportedAt = now
	s.seenAt = now
	s.askedAt = began
	clear(s.held)
	for _, id := range r.Held {
		s.held[id] = struct{}{}
	}
	for _, id := range confirmed {
		delete(s.ended, id)
	}
}

// keepHold leaves the hold of a program's prefix as it is.
const keepHold time.Duration = -1

// begin counts a call of the program that is about to be sent; the returned function counts its end and holds the
// program's prefix for the time, has it released at once, or leaves it with keepHold.
func (s *sidecar) begin(program string) func(hold time.Duration) {
	s.mu.Lock()
	s.inFlight++
	delete(s.ended, program)
	s.mu.Unlock()
	return func(hold time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight--
		if hold == keepHold {
			return
		}
		if hold > 0 {
			s.renew[program] = time.Now().Add(hold)
			s.held[program] = struct{}{}
			return
		}
		delete(s.renew, program)
		s.ended[program] = struct{}{}
	}
}

// adopt holds the prefix of a program whose owner this entry has become, or has it released.
func (s *sidecar) adopt(program string, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hold > 0 {
		s.renew[program] = time.Now().Add(hold)
		return
	}
	delete(s.renew, program)
	s.ended[program] = struct{}{}
}

// forget drops what is noted of programs whose owner this entry no longer is: their holds are their new owner's.
func (f *fleet) forget(programs []string) {
	for _, s := range f.list() {
		s.mu.Lock()
		for _, id := range programs {
			delete(s.renew, id)
			delete(s.ended, id)
		}
		s.mu.Unlock()
	}
}

// programsEnded tells every sidecar that holds something of the programs to release it.
func (f *fleet) programsEnded(programs []string) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.sidecars {
		s.mu.Lock()
		for _, id := range programs {
			_, renewing := s.renew[id]
			_, held := s.held[id]
			if renewing || held {
				delete(s.renew, id)
				s.ended[id] = struct{}{}
			}
		}
		s.mu.Unlock()
	}
}

// list returns the sidecars in no order.
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

// serves reports whether any listed sidecar stands before the service or model.
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

func (s *sidecar) markAsked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = true
}

// askedAll reports whether every listed sidecar has been asked once; false while none is listed.
func (f *fleet) askedAll() bool {
	list := f.list()
	for _, s := range list {
		s.mu.Lock()
		asked := s.asked
		s.mu.Unlock()
		if !asked {
			return false
		}
	}
	return len(list) > 0
}
