package entry

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	// defaultPageSize is the largest number of programs in a response to a request without a limit.
	defaultPageSize = 100
	// maxPageSize is the largest number of programs in any response.
	maxPageSize = 10_000
	// peerListTimeout is the timeout for reading the programs of all other entries.
	peerListTimeout = 2 * time.Second
	// drainRequestTimeout is the timeout for a request to drain a backend server.
	drainRequestTimeout = 5 * time.Second
	// endReasonValue is the key of the user value that holds an operator's reason for ending a program.
	endReasonValue = "end_reason"
	// internalPortValue is the key of the user value that marks a request at the internal port.
	internalPortValue = "internal"
)

// newOperatorHandler returns the handler for the operators' configuration and audit trail paths. A new configuration is
// announced to all other entries.
func (e *Entry) newOperatorHandler() *httpapi.Handler {
	return &httpapi.Handler{
		Store:     e.store,
		Tracker:   e.tracker,
		Operators: httpapi.Operators(e.settings.Operators),
		Announce: func() {
			e.refreshMembers()
			e.peers.sendHeartbeats(e.ctx, ms(e.settings.HeartbeatMS)).Wait()
		},
	}
}

// serveOperators handles requests at the operators' port.
func (e *Entry) serveOperators(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if e.serveHealth(ctx, path) || e.serveMetrics(ctx, path) {
		return
	}
	if path == api.PathAdminConfig && ctx.IsPost() && e.isDraining() {
		transport.WriteError(ctx, api.Errorf(api.CodeDraining, "entry %s is shutting down", e.settings.ID))
		return
	}
	if e.operatorHandler.Serve(ctx) {
		return
	}
	operator, err := e.operatorHandler.Operators.Authenticate(ctx)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	switch {
	case path == api.PathAdminPrograms && ctx.IsGet():
		e.servePrograms(ctx)
	case strings.HasPrefix(path, api.PathAdminPrograms+"/"):
		e.serveOneProgram(ctx, operator, path[len(api.PathAdminPrograms)+1:])
	case path == api.PathAdminBackends && ctx.IsGet():
		transport.WriteJSON(ctx, fasthttp.StatusOK, api.BackendList{Backends: e.backends()})
	case strings.HasPrefix(path, api.PathAdminBackends+"/") && strings.HasSuffix(path, "/drain") && ctx.IsPost():
		id := strings.TrimSuffix(path[len(api.PathAdminBackends)+1:], "/drain")
		e.serveDrain(ctx, operator, id)
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "%s %s does not exist", ctx.Method(), path))
	}
}

// pageParams reads the page size and the id after which the page begins from the query.
func pageParams(ctx *fasthttp.RequestCtx) (limit int, after string) {
	limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
	if err != nil || limit <= 0 {
		limit = defaultPageSize
	}
	return min(limit, maxPageSize), string(ctx.QueryArgs().Peek("after"))
}

// servePrograms lists the programs of all entries, sorted by id. Programs of entries that do not answer are missing.
func (e *Entry) servePrograms(ctx *fasthttp.RequestCtx) {
	limit, after := pageParams(ctx)
	programs := e.localPrograms(limit, after)
	requestCtx, cancel := context.WithTimeout(e.ctx, peerListTimeout)
	defer cancel()
	for _, address := range e.peers.addresses() {
		var list api.ProgramList
		path := api.PathPrograms + "?" + ctx.QueryArgs().String()
		if err := e.client.JSON(requestCtx, "GET", address, path, nil, &list); err != nil {
			e.log.Warn("program list lacks the programs of a peer", "address", address, "error", err)
			continue
		}
		programs = append(programs, list.Programs...)
	}
	sort.Slice(programs, func(i, j int) bool { return programs[i].ID < programs[j].ID })
	transport.WriteJSON(ctx, fasthttp.StatusOK, api.ProgramList{Programs: programs[:min(limit, len(programs))]})
}

// localPrograms returns up to limit programs in the owned journals whose ids follow after, sorted by id.
func (e *Entry) localPrograms(limit int, after string) []api.ProgramInfo {
	var out []api.ProgramInfo
	for _, s := range e.ownership.all() {
		for _, tree := range s.store.Trees() {
			for _, id := range tree.Programs() {
				info, ok := tree.Info(id)
				if !ok || id <= after {
					continue
				}
				info.Journal, info.Owner = s.id, e.settings.ID
				out = append(out, info)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out[:min(limit, len(out))]
}

// serveOneProgram returns or ends one program. The end is written to the audit trail first.
func (e *Entry) serveOneProgram(ctx *fasthttp.RequestCtx, operator, id string) {
	if ctx.IsDelete() {
		reason := string(ctx.QueryArgs().Peek("reason"))
		if err := e.operatorHandler.Record(e.ctx, policy.EventProgramEnd, operator, id, reason, ""); err != nil {
			transport.WriteError(ctx, api.AsError(err, api.CodeStoreUnavailable))
			return
		}
		ctx.SetUserValue(endReasonValue, "ended by operator "+operator+": "+reason)
	}
	e.serveProgramPath(ctx, id, "", true)
}

// endReason returns the reason to record for the end of the program: an operator's, one forwarded by another entry, or that
// its caller ended it.
func endReason(ctx *fasthttp.RequestCtx) string {
	if reason, ok := ctx.UserValue(endReasonValue).(string); ok {
		return reason
	}
	if internal, _ := ctx.UserValue(internalPortValue).(bool); internal {
		return string(ctx.Request.Header.Peek(headerEndReason))
	}
	return "ended by its caller"
}

// backends returns this entry's view of the backend servers, sorted by id.
func (e *Entry) backends() []api.BackendInfo {
	config := e.config()
	out := []api.BackendInfo{}
	for _, s := range e.fleet.list() {
		info := s.info()
		info.ChecksFence = config.ChecksFence(info.ID)
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// info returns what this entry knows of the sidecar's backend server.
func (s *sidecar) info() api.BackendInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := api.BackendInfo{
		ID: s.member.ID, Address: s.member.Address, Kind: s.member.Kind, Service: s.member.Service,
		Region: s.member.Region, FailureDomain: s.member.FailureDomain, Incarnation: s.incarnation,
		ConfigRevision: s.revision, Leaving: s.member.Leaving || s.load.Draining, Load: s.load,
	}
	if !s.seenAt.IsZero() {
		info.SeenMS = s.seenAt.UnixMilli()
	}
	return info
}

// serveDrain asks a sidecar to finish its calls and stop. The request is written to the audit trail first.
func (e *Entry) serveDrain(ctx *fasthttp.RequestCtx, operator, id string) {
	s := e.fleet.get(id)
	if s == nil {
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "backend server %q does not exist", id))
		return
	}
	reason := string(ctx.QueryArgs().Peek("reason"))
	if err := e.operatorHandler.Record(e.ctx, policy.EventDrain, operator, id, reason, ""); err != nil {
		transport.WriteError(ctx, api.AsError(err, api.CodeStoreUnavailable))
		return
	}
	requestCtx, cancel := context.WithTimeout(e.ctx, drainRequestTimeout)
	defer cancel()
	var answer json.RawMessage
	if err := e.client.JSON(requestCtx, "POST", s.target().Address, api.PathDrain, struct{}{}, &answer); err != nil {
		transport.WriteError(ctx, api.AsError(err, api.CodeInterrupted))
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}{id, "draining"})
}
