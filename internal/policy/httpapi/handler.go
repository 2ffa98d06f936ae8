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
	requestTimeout = 15 * time.Second // Timeout of one request.
	defaultLimit   = 50               // Default number of listed revisions or events.
	maxLimit       = 10_000           // Maximum number of listed revisions or events.
)

// MaxBodyBytes is the maximum size of a request body: a submission with a configuration of policy.MaxConfigBytes, and
// 16 KiB for its other fields. The server of the operators' port must accept bodies of this size.
const MaxBodyBytes = policy.MaxConfigBytes + 16<<10

// Handler handles operators' requests for the configuration and the audit trail.
type Handler struct {
	Store     *policy.Store
	Tracker   *policy.Tracker
	Operators Operators
	// Announce reads the membership list and exchanges state with every other entry, so that an accepted revision
	// propagates immediately instead of with the next heartbeat. It may be nil.
	Announce func()
}

// Serve handles the request and returns true if its path is one of the Handler's. Otherwise it returns false.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) bool {
	route, method := h.route(string(ctx.Path()), ctx.IsPost())
	if route == nil {
		return false
	}
	operator, authErr := h.Operators.Authenticate(ctx)
	if authErr != nil {
		transport.WriteError(ctx, authErr)
		return true
	}
	if string(ctx.Method()) != method {
		transport.WriteError(ctx, api.Errorf(api.CodeMethodNotAllowed, "%s does not accept %s", ctx.Path(), ctx.Method()))
		return true
	}
	requestCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	response, err := route(requestCtx, ctx, operator)
	if err != nil {
		transport.WriteError(ctx, api.AsError(err, api.CodeStoreUnavailable))
		return true
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, response)
	if _, submitted := response.(SubmitResponse); submitted {
		transport.SetCode(ctx, api.CodeConfigAccepted)
	}
	return true
}

// handlerFunc handles the requests of one path and method. It returns the body of the response.
type handlerFunc func(ctx context.Context, req *fasthttp.RequestCtx, operator string) (any, error)

// route returns the function that handles a path and the HTTP method that it requires, or nil for an unknown path.
func (h *Handler) route(path string, post bool) (handlerFunc, string) {
	switch path {
	case api.PathAdminConfig:
		if post {
			return h.submit, fasthttp.MethodPost
		}
		return h.showConfig, fasthttp.MethodGet
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

// submit accepts a configuration. It responds only after AwaitPropagation, when no other entry serves under an older
// revision any more.
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
		Author:         recordedAuthor(operator, request.Author),
		Reason:         request.Reason,
		IdempotencyKey: request.IdempotencyKey,
	})
	if err != nil {
		return nil, err
	}
	accepted := h.Tracker.RecordAccepted(entry.Revision)
	if h.Announce != nil {
		h.Announce()
	}
	h.Tracker.AwaitPropagation(context.WithoutCancel(ctx), entry.Revision, accepted)
	return SubmitResponse{Entry: entry}, nil
}

// recordedAuthor returns the author to record: the authenticated operator, followed by the author that the request
// states, if it differs.
func recordedAuthor(operator, stated string) string {
	if stated == "" || stated == operator {
		return operator
	}
	return operator + "/" + stated
}

// showConfig returns the requested revision or, by default, the newest one. If the key-value service does not respond,
// the default is the revision of this process, marked as unconfirmed.
func (h *Handler) showConfig(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
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

// isUnavailable reports whether err states that the key-value service did not respond.
func isUnavailable(err error) bool {
	var apiErr *api.Error
	return errors.As(err, &apiErr) && apiErr.Code == api.CodeStoreUnavailable
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

// Record writes an audit event for an operator's action, with the configuration revision in force. Call it before the
// action is executed, so that no action is without a record.
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

// queryLimit returns the number of items to list.
func queryLimit(req *fasthttp.RequestCtx) (int, error) {
	limit, err := queryNumber(req, "limit", defaultLimit)
	return min(limit, maxLimit), err
}

// queryNumber returns a query argument that must be a non-negative integer. A negative defaultValue makes the argument
// required.
func queryNumber(req *fasthttp.RequestCtx, name string, defaultValue int) (int, error) {
	if !req.QueryArgs().Has(name) && defaultValue >= 0 {
		return defaultValue, nil
	}
	n, err := req.QueryArgs().GetUint(name)
	if err != nil {
		return 0, api.Errorf(api.CodeBadRequest, "query argument %q must be a non-negative integer", name)
	}
	return n, nil
}
