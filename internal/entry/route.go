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

// routeRequest describes a call for which a sidecar is to be chosen.
type routeRequest struct {
	kind         api.CallKind
	service      string // Name of the service or model.
	program      string
	promptTokens int    // Tokens of the whole prompt.
	outputTokens int    // Expected tokens of the answer.
	cachedTokens int    // Tokens of the prompt that the program's last server may hold in its cache.
	sharedDigest uint64 // Digest of a prompt prefix that other programs may share; 0 if there is none.
	sharedTokens int    // Tokens of the shared prefix.
	priority     int
	tried        map[string]bool // Servers not to be chosen again.
}

// router chooses backend servers by the routing policy and holds the policy's view of them.
type router struct {
	failureDomain string

	mu         sync.Mutex // Guards the fields below.
	policy     *schedule.Router
	snapshot   *schedule.Snapshot // The policy's view of the servers.
	random     *rand.Rand
	sequence   uint64                // Number of calls routed so far.
	placements map[string]string     // By program: the server that ran its last call.
	prefixes   *schedule.PrefixIndex // Servers that may hold shared prompt prefixes.
}

// maxSharedPrefixes is the number of shared prompt prefixes whose servers an entry remembers.
const maxSharedPrefixes = 4096

// routeSeed is the first seed of the random choice among servers. The second one is a hash of the entry's id, so that
// entries choose differently.
const routeSeed = 0x72656477

// newRouter returns a router with the named routing policy. It never chooses a server whose last report is older than
// maxAge.
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
		random:        rand.New(rand.NewPCG(routeSeed, hashString(entry))),
		placements:    make(map[string]string),
		prefixes:      schedule.NewPrefixIndex(maxSharedPrefixes),
	}, nil
}

// recentFilter is a schedule.Filter that rejects servers whose last report is older than maxAge.
type recentFilter struct{ maxAge time.Duration }

// Reject implements schedule.Filter.
func (f recentFilter) Reject(b *schedule.BackendServer, req *schedule.Request) schedule.Reason {
	if req.Now.Sub(b.ReportedAt) > f.maxAge {
		return schedule.ReasonUnhealthy
	}
	return schedule.ReasonNone
}

// routeKey returns the name of a model or service in the policy's view, which holds servers of both kinds.
func routeKey(kind api.CallKind, service string) string { return string(kind) + ":" + service }

// update applies the backend members of the membership list. It keeps the load state of servers that stay on the list.
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

// reportLoad records a sidecar's load and makes a server that was marked unreachable available again.
func (r *router) reportLoad(id string, load api.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.snapshot.Server(id); server != nil {
		server.SetLoad(load, time.Now())
		server.Unreachable = false
	}
}

// markUnreachable excludes the server from routing until its next report.
func (r *router) markUnreachable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.snapshot.Server(id); server != nil {
		server.Unreachable = true
	}
}

// choose returns the id of the chosen server and counts the call as sent to it. The error is a *schedule.NoServerError.
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
	if server := r.placements[q.program]; server != "" && q.cachedTokens > 0 {
		request.Cached = []schedule.CachedPrefix{{ServerID: server, Tokens: q.cachedTokens}}
	}
	if q.sharedDigest != 0 {
		request.Cached = append(request.Cached, r.prefixes.Lookup(q.sharedDigest)...)
	}
	choice, err := r.policy.Route(r.snapshot, &request, r.random)
	if err != nil {
		return "", err
	}
	if q.sharedDigest != 0 {
		r.prefixes.Record(q.sharedDigest, choice.Server.ID, q.sharedTokens)
	}
	choice.Server.RecordSent(max(0, q.promptTokens-choice.CachedTokens))
	return choice.Server.ID, nil
}

// sharedPrefix returns the digest and the tokens of the system message at the beginning of a program's first call, or zeros
// if there is none. Programs with the same system message can use the same cached prefix.
func sharedPrefix(messages []api.Message) (digest uint64, tokens int) {
	if len(messages) == 0 || messages[0].Role != "system" {
		return 0, 0
	}
	return hashString(string(messages[0].Content)), program.PromptTokens(messages[:1])
}

// setPlacement records which server ran the program's last call.
func (r *router) setPlacement(program, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placements[program] = server
}

// placement returns the server that ran the program's last call, or "".
func (r *router) placement(program string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placements[program]
}

// forget removes the placements of programs that have ended or are no longer owned.
func (r *router) forget(programs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range programs {
		delete(r.placements, id)
	}
}

// route chooses the sidecar for a call and returns it with its current identity.
func (e *Entry) route(q routeRequest) (*sidecar, target, *api.Error) {
	q.cachedTokens = e.cachedTokens(q)
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

// cachedTokens returns how many tokens of the prompt the program's last server holds. If the last server is not known, as
// after a takeover, all sidecars are searched for one that holds the program's prefix, and it becomes the placement.
func (e *Entry) cachedTokens(q routeRequest) int {
	if q.kind != api.KindModel || q.cachedTokens == 0 {
		return 0
	}
	if id := e.router.placement(q.program); id != "" {
		if s := e.fleet.get(id); s != nil && s.holdsPrefix(q.program) {
			return q.cachedTokens
		}
		return 0
	}
	for _, s := range e.fleet.list() {
		if s.holdsPrefix(q.program) {
			e.router.setPlacement(q.program, s.target().ID)
			return q.cachedTokens
		}
	}
	return 0
}

// routeError returns the error for the policy's reason.
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
