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

// headerIdempotencyKey is the request header that makes the creation of a program idempotent.
const headerIdempotencyKey = "Idempotency-Key"

// headerProgramID is the header of a forwarded request. In a request to create a program, it carries the program id that
// the entry which received the caller's request has chosen.
const headerProgramID = "X-Redwinggauge-Program"

// headerEndReason is the header that carries an operator's reason for ending a program to the owner of its journal. It is
// read only at the internal port, so a caller that sends it has no effect.
const headerEndReason = "X-Redwinggauge-Reason"

// serveCreate serves a request to create a program. The owner of the program's journal creates it.
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
	e.serveAtOwner(ctx, id, programsPath, forward, func(s *shard) { e.create(ctx, s, id, &request) })
}

// create commits the creation of the program to the owned journal. If the program already exists, it answers with the
// existing one.
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
		waitCtx, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
		defer cancel()
		if err := s.commit(waitCtx, record); err != nil {
			transport.WriteError(ctx, err)
			return
		}
	}
	e.writeInfo(ctx, s, id, fasthttp.StatusCreated)
}

// newProgram checks the request against the configuration and returns the data of the creation record. Sub-agent programs,
// which have a parent, get no limits of their own.
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
	if limit > 0 && e.countedPrograms(s, request.Organisation, limit) >= limit {
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

// programCounts returns the number of root programs in the owned journals for each organisation.
func (e *Entry) programCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range e.ownership.all() {
		s.store.CountRoots(counts)
	}
	return counts
}

// countedPrograms returns how many root programs of the organisation count against its limit. While every entry exchanges
// heartbeats with every other, it is the exact number as of the last heartbeats. With more entries, it is extrapolated
// from the programs in this journal, since programs are spread evenly over the journals; it is then at most limit.
func (e *Entry) countedPrograms(s *shard, organisation string, limit int) int {
	if e.peers.protocol.fullMesh() {
		return e.programCounts()[organisation] + e.peers.programCount(organisation)
	}
	counts := make(map[string]int)
	s.store.CountRoots(counts)
	if counts[organisation] == 0 {
		return 0
	}
	return min(counts[organisation]*e.settings.Journals, limit)
}

// writeInfo answers with the description of the program.
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

// serveProgramPath serves requests for a program (subresource "") or for its history.
func (e *Entry) serveProgramPath(ctx *fasthttp.RequestCtx, id, subresource string, forward bool) {
	path := programsPath + "/" + id
	if subresource != "" {
		path += "/" + subresource
	}
	method := string(ctx.Method())
	switch {
	case method == fasthttp.MethodGet && subresource == "history":
		e.serveAtOwner(ctx, id, path, forward, func(s *shard) { e.writeHistory(ctx, s, id) })
	case method == fasthttp.MethodGet:
		e.serveAtOwner(ctx, id, path, forward, func(s *shard) { e.writeInfo(ctx, s, id, fasthttp.StatusOK) })
	case method == fasthttp.MethodDelete && subresource == "":
		e.serveAtOwner(ctx, id, path, forward, func(s *shard) { e.serveEnd(ctx, s, id) })
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "%s does not accept %s", path, method))
	}
}

// historyBody is the response body of a request for a program's history.
type historyBody struct {
	Program  string        `json:"program"`
	Messages []api.Message `json:"messages"`
}

// writeHistory answers with the program's whole history.
func (e *Entry) writeHistory(ctx *fasthttp.RequestCtx, s *shard, id string) {
	tree, err := s.store.Tree(id)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	readCtx, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
	defer cancel()
	messages, err := s.history(readCtx, tree, id)
	if err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, historyBody{Program: id, Messages: messages})
}

// serveEnd serves a request to end a program. Ending a program that has already ended succeeds.
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

// endProgram commits the end of the program and its descendants and releases what sidecars and this entry hold for them.
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
	waitCtx, cancel := context.WithTimeout(s.ctx, ms(e.settings.CommitWaitMS))
	defer cancel()
	record := &program.Record{Program: id, AtMS: time.Now().UnixMilli(), Ended: &program.Ended{Reason: reason}}
	if err := s.commit(waitCtx, record); err != nil {
		return err
	}
	if id == tree.Root() {
		e.costs.observe(info.Class, e.priorityOf(info.Class), used)
	}
	e.fleet.releasePrograms(programs)
	e.router.forget(programs)
	e.pauseTracker.forget(programs)
	e.log.Info("program ended", "program", id, "reason", reason)
	return nil
}

// serveAtOwner runs serve if this entry owns the program's journal. Otherwise it forwards the request to the owner if
// forward is set. While the journal has no known owner, or its owner has just changed, it tries again for up to
// OrderWaitMS.
func (e *Entry) serveAtOwner(ctx *fasthttp.RequestCtx, id, path string, forward bool, serve func(*shard)) {
	journal := program.JournalOf(id, e.settings.Journals)
	deadline := time.Now().Add(ms(e.settings.OrderWaitMS))
	mayHaveRun := false
	for {
		if s := e.ownership.shard(journal); s != nil {
			serve(s)
			if string(ctx.Response.Header.Peek(api.HeaderCode)) != codeNotOwnerText || !forward {
				return
			}
		} else if !forward {
			transport.WriteError(ctx, api.Errorf(api.CodeNotOwner, "entry %s does not own journal %d", e.settings.ID, journal))
			return
		} else if e.forward(ctx, id, journal, path, &mayHaveRun) {
			return
		}
		if time.Now().After(deadline) {
			e.writeNoOwner(ctx, journal, mayHaveRun)
			return
		}
		time.Sleep(ownerRetryPause)
	}
}

// codeNotOwnerText is api.CodeNotOwner as sent in the response header api.HeaderCode.
const codeNotOwnerText = "201"

// writeNoOwner writes the error that the journal has no known owner: CodeInterrupted if the request may have been executed,
// otherwise CodeUnavailable.
func (e *Entry) writeNoOwner(ctx *fasthttp.RequestCtx, journal int, mayHaveRun bool) {
	code := api.CodeUnavailable
	if mayHaveRun {
		code = api.CodeInterrupted
	}
	transport.WriteError(ctx, api.Errorf(code, "no entry owns journal %d", journal))
}

// forward sends the request to the owner of the journal and writes its answer. It returns false if the owner must be
// looked up again. These requests are idempotent, so sending one again is safe. It sets mayHaveRun if the request may
// have been executed without an answer.
func (e *Entry) forward(ctx *fasthttp.RequestCtx, id string, journal int, path string, mayHaveRun *bool) bool {
	address := e.ownership.ownerAddress(journal)
	if address == "" {
		return false
	}
	var body any
	if len(ctx.PostBody()) > 0 {
		body = ctx.PostBody()
	}
	var answer json.RawMessage
	requestCtx, cancel := context.WithTimeout(e.ctx, ms(e.settings.CommitWaitMS)+time.Second)
	defer cancel()
	err := e.client.JSON(requestCtx, string(ctx.Method()), address, api.PathForward+path, body, &answer,
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
		if ownerMoved(refused.Code) {
			return false
		}
		transport.WriteError(ctx, refused)
		return true
	default:
		*mayHaveRun = *mayHaveRun || !transport.IsNotSent(err)
		return false
	}
}
