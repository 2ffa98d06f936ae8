package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// headerIdempotencyKey names the header that makes a creation idempotent.
const headerIdempotencyKey = "Idempotency-Key"

// headerProgramID carries the id that the entry that met the caller gave to a new program.
const headerProgramID = "X-Redwinggauge-Program"

// headerEndReason carries an operator's reason to end a program to the owner of its journal. Callers' own headers of the
// name have no effect, since only the internal port reads it.
const headerEndReason = "X-Redwinggauge-Reason"

// serveCreate creates a program at the owner of its journal.
func (e *Entry) serveCreate(ctx *fasthttp.RequestCtx, forward bool) {
	if !ctx.IsPost() {
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "%s accepts POST, not %s", programsPath, ctx.Method()))
		return
	}
	var request api.CreateRequest
	if err := transport.DecodeJSON(ctx, &request); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if _, err := e.servingConfig(); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	id := string(ctx.Request.Header.Peek(headerProgramID))
	if forward || id == "" {
		id = program.NewID(request.Organisation, request.Parent, string(ctx.Request.Header.Peek(headerIdempotencyKey)))
	}
	e.atOwner(ctx, id, programsPath, forward, func(s *shard) { e.create(ctx, s, id, &request) })
}

// create creates the program in an owned journal.
func (e *Entry) create(ctx *fasthttp.RequestCtx, s *shard, id string, request *api.CreateRequest) {
	created, err := e.newProgram(s, request)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	record, existing, err := s.store.Create(id, *created, time.Now().UnixMilli())
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	if existing == nil {
		wait, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
		defer cancel()
		if err := s.commit(wait, record); err != nil {
			transport.WriteError(ctx, err)
			return
		}
	}
	e.writeInfo(ctx, s, id, fasthttp.StatusCreated)
}

// newProgram checks the request against the configuration and returns the program's creation.
func (e *Entry) newProgram(s *shard, request *api.CreateRequest) (*program.Created, *api.Error) {
	config, err := e.servingConfig()
	if err != nil {
		return nil, err
	}
	organisation, ok := config.Organisation(request.Organisation)
	if !ok {
		return nil, api.Errorf(api.CodeUnknownService, "organisation %q does not exist in the configuration", request.Organisation)
	}
	class, ok := config.Class(request.Class)
	if !ok {
		return nil, api.Errorf(api.CodeUnknownService, "class %q does not exist in the configuration", request.Class)
	}
	created := &program.Created{Parent: request.Parent, Organisation: request.Organisation, Class: request.Class}
	if request.Parent != "" {
		return created, nil
	}
	limit := organisation.MaxPrograms
	if limit == 0 {
		limit = config.EffectiveLimits().MaxPrograms
	}
	if limit > 0 && e.underWay(s, request.Organisation, limit) >= limit {
		return nil, api.Errorf(api.CodeBudgetOrg, "organisation %q has reached its limit of %d programs under way", request.Organisation, limit)
	}
	budget := config.Budget(request.Organisation, request.Class)
	created.Limits = program.Limits{
		Calls:  budget.Calls,
		Tokens: budget.Tokens,
		TimeMS: budget.TimeMS,
		IdleMS: class.IdleTimeout().Milliseconds(),
	}
	created.InitialReserve = min(budget.Tokens, defaultMaxTokens)
	return created, nil
}

// programCounts counts the root programs in the owned journals by organisation.
func (e *Entry) programCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range e.ownership.all() {
		s.store.CountRoots(counts)
	}
	return counts
}

// underWay returns how many programs of the organisation count against its limit. While entries exchange directly that
// is every one, as of the last heartbeat; among many entries it is worked out from the journal's own, as programs are
// spread evenly over the journals.
func (e *Entry) underWay(s *shard, organisation string, limit int) int {
	if e.peers.group.direct() {
		return e.programCounts()[organisation] + e.peers.programs(organisation)
	}
	counts := make(map[string]int)
	s.store.CountRoots(counts)
	if counts[organisation] == 0 {
		return 0
	}
	return min(counts[organisation]*e.settings.Journals, limit)
}

func (e *Entry) writeInfo(ctx *fasthttp.RequestCtx, s *shard, id string, status int) {
	tree, err := s.store.Tree(id)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	info, ok := tree.Info(id)
	if !ok {
		transport.WriteError(ctx, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", id))
		return
	}
	info.Journal = s.id
	info.Owner = e.settings.ID
	transport.WriteJSON(ctx, status, info)
}

// serveProgramPath serves a program itself ("") or its history.
func (e *Entry) serveProgramPath(ctx *fasthttp.RequestCtx, id, what string, forward bool) {
	path := programsPath + "/" + id
	if what != "" {
		path += "/" + what
	}
	method := string(ctx.Method())
	switch {
	case method == fasthttp.MethodGet && what == "history":
		e.atOwner(ctx, id, path, forward, func(s *shard) { e.writeHistory(ctx, s, id) })
	case method == fasthttp.MethodGet:
		e.atOwner(ctx, id, path, forward, func(s *shard) { e.writeInfo(ctx, s, id, fasthttp.StatusOK) })
	case method == fasthttp.MethodDelete && what == "":
		e.atOwner(ctx, id, path, forward, func(s *shard) { e.serveEnd(ctx, s, id) })
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "%s does not accept %s", path, method))
	}
}

// historyBody is the answer to a request for a program's history.
type historyBody struct {
	Program  string        `json:"program"`
	Messages []api.Message `json:"messages"`
}

func (e *Entry) writeHistory(ctx *fasthttp.RequestCtx, s *shard, id string) {
	tree, err := s.store.Tree(id)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	bounded, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
	defer cancel()
	messages, err := s.history(bounded, tree, id)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, historyBody{Program: id, Messages: messages})
}

// serveEnd ends a program. Ending one that has ended succeeds.
func (e *Entry) serveEnd(ctx *fasthttp.RequestCtx, s *shard, id string) {
	err := e.endProgram(s, id, endReason(ctx))
	if err != nil && err.Code != api.CodeProgramEnded {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}{id, program.StateEnded})
}

// endProgram commits the end of the program and its descendants and releases their memory.
func (e *Entry) endProgram(s *shard, id, reason string) *api.Error {
	tree, err := s.store.Tree(id)
	if err != nil {
		return err
	}
	info, ok := tree.Info(id)
	if !ok {
		return api.Errorf(api.CodeUnknownProgram, "program %s does not exist", id)
	}
	if info.State == program.StateEnded {
		return api.Errorf(api.CodeProgramEnded, "program %s has ended", id)
	}
	programs := tree.Descendants(id)
	used := tree.TokensUsed()
	wait, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
	defer cancel()
	record := &program.Record{Program: id, AtMS: time.Now().UnixMilli(), Ended: &program.Ended{Reason: reason}}
	if err := s.commit(wait, record); err != nil {
		return err
	}
	if id == tree.Root() {
		e.costs.observe(info.Class, e.priorityOf(info.Class), used)
	}
	e.fleet.programsEnded(programs)
	e.router.forget(programs)
	e.pauses.forget(programs)
	e.log.Info("program ended", "program", id, "reason", reason)
	return nil
}

// atOwner runs serve when this entry owns the program's journal, and otherwise passes the request to the entry that
// does, waiting, bounded, for an owner.
func (e *Entry) atOwner(ctx *fasthttp.RequestCtx, id, path string, forward bool, serve func(*shard)) {
	journal := program.JournalOf(id, e.settings.Journals)
	deadline := time.Now().Add(ms(e.settings.OrderWaitMS))
	mayRun := false
	for {
		if s := e.ownership.shard(journal); s != nil {
			serve(s)
			if string(ctx.Response.Header.Peek(api.HeaderCode)) != codeNotOwnerText || !forward {
				return
			}
		} else if !forward {
			transport.WriteError(ctx, api.Errorf(api.CodeNotOwner, "entry %s does not own journal %d", e.settings.ID, journal))
			return
		} else if e.forward(ctx, id, journal, path, &mayRun) {
			return
		}
		if time.Now().After(deadline) {
			e.writeNoOwner(ctx, journal, mayRun)
			return
		}
		time.Sleep(ownerPause)
	}
}

const codeNotOwnerText = "201"

func (e *Entry) writeNoOwner(ctx *fasthttp.RequestCtx, journal int, mayRun bool) {
	code := api.CodeUnavailable
	if mayRun {
		code = api.CodeInterrupted
	}
	transport.WriteError(ctx, api.Errorf(code, "no entry owns journal %d", journal))
}

// forward passes the request to the owner. It reports false when the owner must be looked for again: these requests
// are idempotent, so sending one again is safe.
func (e *Entry) forward(ctx *fasthttp.RequestCtx, id string, journal int, path string, mayRun *bool) bool {
	address := e.ownership.address(journal)
	if address == "" {
		return false
	}
	var body any
	if len(ctx.PostBody()) > 0 {
		body = ctx.PostBody()
	}
	var answer json.RawMessage
	limit, cancel := context.WithTimeout(e.ctx, ms(e.settings.CommitWaitMS)+time.Second)
	defer cancel()
	err := e.client.JSON(limit, string(ctx.Method()), address, api.PathForward+path, body, &answer,
		transport.Header{Name: headerProgramID, Value: id}, transport.Header{Name: headerEndReason, Value: endReason(ctx)})
	var refused *api.Error
	switch {
	case err == nil:
		status := fasthttp.StatusOK
		if ctx.IsPost() {
			status = fasthttp.StatusCreated
		}
		transport.WriteJSON(ctx, status, answer)
		return true
	case errors.As(err, &refused):
		if movesOwner(refused.Code) {
			return false
		}
		transport.WriteError(ctx, refused)
		return true
	default:
		*mayRun = *mayRun || !transport.IsNotSent(err)
		return false
	}
}
