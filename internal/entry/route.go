package entry

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// routeRequest asks for a sidecar for one call.
type routeRequest struct {
	kind         api.CallKind
	service      string // Service or model.
	program      string
	promptTokens int    // Of the whole prompt.
	outputTokens int    // Expected.
	cached       int    // Tokens of the prompt that the program's last server holds.
	shared       uint64 // Digest of a beginning that other programs may have too; 0 when there is none.
	sharedTokens int
	priority     int
	tried        map[string]bool
}

// router holds the backend servers as the routing policy sees them.
type router struct {
	failureDomain string

	mu       sync.Mutex // Guards the fields below.
	policy   *schedule.Router
	snapshot *schedule.Snapshot
	random   *rand.Rand
	sequence uint64
	placed   map[string]string // Program to the server that ran its last call.
	prefixes *schedule.PrefixIndex
}

// maxSharedPrefixes is how many beginnings of prompts an entry remembers the servers of.
const maxSharedPrefixes = 4096

// Seeds of the random choice among servers. Entries differ by the second one.
const routeSeed = 0x72656477

func newRouter(policy, failureDomain, entry string, maxAge time.Duration) (*router, error) {
	p, err := schedule.NewRouter(policy, schedule.DefaultRouteSettings())
	if err != nil {
		return nil, err
	}
	p.Filters = append([]schedule.Filter{recentFilter{maxAge}}, p.Filters...)
	return &router{
		failureDomain: failureDomain,
		policy:        p,
		snapshot:      schedule.NewSnapshot(nil),
		random:        rand.New(rand.NewPCG(routeSeed, hashOf(entry))),
		placed:        make(map[string]string),
		prefixes:      schedule.NewPrefixIndex(maxSharedPrefixes),
	}, nil
}

// recentFilter rejects servers whose last report is older than maxAge.
type recentFilter struct{ maxAge time.Duration }

// Reject implements schedule.Filter.
func (f recentFilter) Reject(b *schedule.BackendServer, req *schedule.Request) schedule.Reason {
	if req.Now.Sub(b.ReportedAt) > f.maxAge {
		return schedule.ReasonUnhealthy
	}
	return schedule.ReasonNone
}

// routeKey names a model or service among the servers of both kinds.
func routeKey(kind api.CallKind, service string) string { return string(kind) + ":" + service }

// update takes the backend members of the list, keeping what is known of those that stay.
func (r *router) update(members []ports.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := make([]schedule.BackendServer, 0, len(members))
	for _, m := range members {
		if m.Role != ports.RoleBackend {
			continue
		}
		server := schedule.BackendServer{ID: m.ID}
		if known := r.snapshot.Server(m.ID); known != nil {
			server = *known
		}
		kind := api.KindService
		if m.Kind == kindEngine {
			kind = api.KindModel
		}
		server.FailureDomain = m.FailureDomain
		server.Service = routeKey(kind, m.Service)
		server.Leaving = m.Leaving
		servers = append(servers, server)
	}
	r.snapshot = schedule.NewSnapshot(servers)
}

// report takes a sidecar's load.
func (r *router) report(id string, load api.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.snapshot.Server(id); server != nil {
		server.SetLoad(load, time.Now())
		server.Unreachable = false
	}
}

// lost leaves the server out until its next report.
func (r *router) lost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.snapshot.Server(id); server != nil {
		server.Unreachable = true
	}
}

// choose picks a server and counts the call as sent to it. The error is a *schedule.NoServerError.
func (r *router) choose(q routeRequest) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	request := schedule.Request{
		Service:        routeKey(q.kind, q.service),
		PromptTokens:   q.promptTokens,
		ExpectedOutput: q.outputTokens,
		Priority:       q.priority,
		FailureDomain:  r.failureDomain,
		Now:            time.Now(),
		Sequence:       r.sequence,
	}
	for id := range q.tried {
		request.Tried = append(request.Tried, id)
	}
	if server := r.placed[q.program]; server != "" && q.cached > 0 {
		request.Cached = []schedule.CachedPrefix{{ServerID: server, Tokens: q.cached}}
	}
	if q.shared != 0 {
		request.Cached = append(request.Cached, r.prefixes.Lookup(q.shared)...)
	}
	choice, err := r.policy.Route(r.snapshot, &request, r.random)
	if err != nil {
		return "", err
	}
	if q.shared != 0 {
		r.prefixes.Record(q.shared, choice.Server.ID, q.sharedTokens)
	}
	choice.Server.RecordSent(max(0, q.promptTokens-choice.CachedTokens))
	return choice.Server.ID, nil
}

// sharedPrefix returns the digest and the tokens of the system message with which a program's first call begins.
func sharedPrefix(messages []api.Message) (digest uint64, tokens int) {
	if len(messages) == 0 || messages[0].Role != "system" {
		return 0, 0
	}
	return hashOf(string(messages[0].Content)), program.PromptTokens(messages[:1])
}

// place notes which server ran the program's last call.
func (r *router) place(program, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placed[program] = server
}

// placement returns the server that ran the program's last call, or "".
func (r *router) placement(program string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placed[program]
}

// forget drops the placements of ended programs.
func (r *router) forget(programs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range programs {
		delete(r.placed, id)
	}
}

// route chooses the sidecar for a call.
func (e *Entry) route(q routeRequest) (*sidecar, target, *api.Error) {
	q.cached = e.cachedTokens(q)
	id, err := e.router.choose(q)
	if err != nil {
		return nil, target{}, routeError(q, err)
	}
	s := e.fleet.get(id)
	if s == nil {
		return nil, target{}, api.Errorf(api.CodeUnavailable, "backend server %s has left the membership list", id)
	}
	return s, s.target(), nil
}

// cachedTokens returns how much of the prompt the program's last server holds. A program whose last server is not known
// here, as after a takeover, is looked for at every sidecar.
func (e *Entry) cachedTokens(q routeRequest) int {
	if q.kind != api.KindModel || q.cached == 0 {
		return 0
	}
	if id := e.router.placement(q.program); id != "" {
		if s := e.fleet.get(id); s != nil && s.holds(q.program) {
			return q.cached
		}
		return 0
	}
	for _, s := range e.fleet.list() {
		if s.holds(q.program) {
			e.router.place(q.program, s.target().ID)
			return q.cached
		}
	}
	return 0
}

// routeError maps the policy's reason to a result code.
func routeError(q routeRequest, err error) *api.Error {
	var none *schedule.NoServerError
	if !errors.As(err, &none) {
		return api.Errorf(api.CodeUnavailable, "%v", err)
	}
	switch none.Reason {
	case schedule.ReasonUnknownService:
		return api.Errorf(api.CodeUnknownService, "no backend server serves %s %q", q.kind, q.service)
	case schedule.ReasonOverloaded:
		return api.Errorf(api.CodeOverloaded, "every backend server of %s %q is overloaded", q.kind, q.service)
	default:
		return api.Errorf(api.CodeUnavailable, "no backend server of %s %q can take the call now: %s", q.kind, q.service, none.Reason)
	}
}
