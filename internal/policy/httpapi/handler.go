package httpapi

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	requestTimeout = 15 * time.Second // Of one operator's request.
	defaultLimit   = 50               // Of listed revisions and events.
	maxLimit       = 10_000
)

// MaxBodyBytes is the largest request body: a submission with the largest configuration. The operators' port must
// accept as much.
const MaxBodyBytes = policy.MaxConfigBytes + 16<<10

// Handler serves the configuration and the audit trail to operators.
type Handler struct {
	Store     *policy.Store
	Tracker   *policy.Tracker
	Operators Operators
	// Announce reads the membership list and exchanges with every other entry, so that an accepted revision spreads at
	// once rather than with the next heartbeat; nil does nothing.
	Announce func()
}

// Serve answers the request if its path is one of the Handler's; otherwise it returns false.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) bool {
	route, method := h.route(string(ctx.Path()), ctx.IsPost())
	if route == nil {
		return false
	}
	operator, refused := h.Operators.Authenticate(ctx)
	if refused != nil {
		transport.WriteError(ctx, refused)
		return true
	}
	if string(ctx.Method()) != method {
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "%s does not accept %s", ctx.Path(), ctx.Method()))
		return true
	}
	bounded, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	answer, err := route(bounded, ctx, operator)
	if err != nil {
		transport.WriteError(ctx, api.AsError(err, api.CodeStoreUnavailable))
		return true
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, answer)
	if _, submitted := answer.(SubmitResponse); submitted {
		transport.SetCode(ctx, api.CodeConfigAccepted)
	}
	return true
}

// route answers one kind of request.
type route func(ctx context.Context, req *fasthttp.RequestCtx, operator string) (any, error)

// route returns the route of a path and the method that it accepts.
func (h *Handler) route(path string, post bool) (route, string) {
	switch path {
	case api.PathAdminConfig:
		if post {
			return h.submit, fasthttp.MethodPost
		}
		return h.show, fasthttp.MethodGet
	case api.PathAdminHistory:
		return h.history, fasthttp.MethodGet
	case api.PathAdminDiff:
		return h.diff, fasthttp.MethodGet
	case api.PathAdminAudit:
		return h.audit, fasthttp.MethodGet
	default:
		return nil, ""
	}
}

func (h *Handler) submit(ctx context.Context, req *fasthttp.RequestCtx, operator string) (any, error) {
	var request SubmitRequest
	if err := transport.DecodeJSON(req, &request); err != nil {
		return nil, err
	}
	config, err := policy.Parse(request.Config)
	if err != nil {
		return nil, api.Errorf(api.CodeConfigInvalid, "%v", err)
	}
	entry, err := h.Store.Submit(ctx, policy.Submission{
		Config:         config,
		Base:           request.Base,
		Author:         author(operator, request.Author),
		Reason:         request.Reason,
		IdempotencyKey: request.IdempotencyKey,
	})
	if err != nil {
		return nil, err
	}
	accepted := h.Tracker.Accepted(entry.Revision)
	if h.Announce != nil {
		h.Announce()
	}
	h.Tracker.AwaitSpread(context.WithoutCancel(ctx), entry.Revision, accepted)
	return SubmitResponse{Entry: entry}, nil
}

// author puts the name that the token proves before the one that the request claims.
func author(operator, claimed string) string {
	if claimed == "" || claimed == operator {
		return operator
	}
	return operator + "/" + claimed
}

func (h *Handler) show(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
	out := ConfigResponse{InForce: h.Tracker.Current().Entry.Revision, Confirmed: true}
	var snapshot policy.Snapshot
	var err error
	if req.QueryArgs().Has("revision") {
		var revision int
		if revision, err = queryNumber(req, "revision", 0); err != nil {
			return nil, err
		}
		snapshot, err = h.Store.Get(ctx, uint64(revision))
	} else {
		snapshot, err = h.Store.Fetch(ctx, 0)
		if isUnavailable(err) {
			snapshot, err, out.Confirmed = *h.Tracker.Current(), nil, false
		}
	}
	out.Entry, out.Config = snapshot.Entry, snapshot.Raw
	return out, err
}

func isUnavailable(err error) bool {
	var known *api.Error
	return errors.As(err, &known) && known.Code == api.CodeStoreUnavailable
}

func (h *Handler) history(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
	limit, err := queryLimit(req)
	if err != nil {
		return nil, err
	}
	entries, err := h.Store.History(ctx, limit)
	return HistoryResponse{Entries: entries}, err
}

func (h *Handler) diff(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
	from, err := queryNumber(req, "from", -1)
	if err != nil {
		return nil, err
	}
	to, err := queryNumber(req, "to", -1)
	if err != nil {
		return nil, err
	}
	changes, err := h.Store.Diff(ctx, uint64(from), uint64(to))
	return DiffResponse{Changes: changes}, err
}

func (h *Handler) audit(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
	limit, err := queryLimit(req)
	if err != nil {
		return nil, err
	}
	events, err := h.Store.AuditLog(ctx, limit)
	return AuditResponse{Events: events}, err
}

// Record writes an audit event of an operator's action under the revision in force. Write it before the action, so
// that no action goes without its record.
func (h *Handler) Record(ctx context.Context, kind policy.EventKind, operator, target, reason, detail string) error {
	return h.Store.Audit(ctx, policy.Event{
		ID:       rand.Text(),
		Kind:     kind,
		Actor:    operator,
		Target:   target,
		Reason:   reason,
		Detail:   detail,
		Revision: h.Tracker.Current().Entry.Revision,
	})
}

func queryLimit(req *fasthttp.RequestCtx) (int, error) {
	limit, err := queryNumber(req, "limit", defaultLimit)
	return min(limit, maxLimit), err
}

// queryNumber returns a query argument that is a whole number; a fallback below 0 makes it required.
func queryNumber(req *fasthttp.RequestCtx, name string, fallback int) (int, error) {
	if !req.QueryArgs().Has(name) && fallback >= 0 {
		return fallback, nil
	}
	n, err := req.QueryArgs().GetUint(name)
	if err != nil {
		return 0, api.Errorf(api.CodeBadRequest, "query argument %q must be a whole number", name)
	}
	return n, nil
}
