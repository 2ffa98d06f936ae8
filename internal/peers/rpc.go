package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// HTTP paths of the protocol between gateways.
const (
	pathReport   = "/peers/report"
	pathWrite    = "/peers/write"
	pathRead     = "/peers/read"
	pathList     = "/peers/list"
	pathPlace    = "/peers/place"
	pathProgress = "/peers/progress"
	pathRecall   = "/peers/recall"
)

const (
	connectTimeout = 200 * time.Millisecond // Allows for many round trips within a region.
	callTimeout    = 700 * time.Millisecond // Allows for the collection of a batch of writes and its commit by a slow service.
	serveTimeout   = 600 * time.Millisecond // For handling a request: below callTimeout, so that a slow service is not taken for a dead gateway.
	recallTimeout  = 150 * time.Millisecond // A member that does not answer in time keeps its tokens.
	reportTimeout  = 350 * time.Millisecond // In addition to the time for which the hub delays its answer.
)

// ErrNoAnswer means that a member did not answer, although the caller had time left.
var ErrNoAnswer = errors.New("gateway does not answer")

// exchangeError returns the error of a failed exchange. It wraps ErrNoAnswer only if the deadline of ctx has not passed: after
// it, the caller cannot tell whether the member would have answered. outcome is the effect on the key-value service.
func exchangeError(ctx context.Context, outcome, err error) error {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return fmt.Errorf("%w: %w", outcome, err)
	}
	return fmt.Errorf("%w: %w: %w", ErrNoAnswer, outcome, err)
}

// Client sends requests to other gateways. It is safe for concurrent use.
type Client struct{ http *transport.Client }

// NewClient returns a Client. onBrokenAnswer is called for each answer that is none of the protocol. It may be nil.
func NewClient(onBrokenAnswer func(address string, e *http1.MalformedError)) *Client {
	return &Client{http: transport.NewClient(transport.ClientOptions{
		ConnectTimeout: connectTimeout, IdleTimeout: callTimeout, RequestTimeout: callTimeout, AcceptCompressed: true,
		OnBrokenAnswer: onBrokenAnswer,
	})}
}

// Report sends the process's report to the hub and returns the answer, which the hub may delay for up to hold.
func (c *Client) Report(ctx context.Context, to Member, r Report, hold time.Duration) (Digest, error) {
	var d Digest
	ctx, cancel := context.WithTimeout(ctx, hold+reportTimeout)
	defer cancel()
	err := c.http.JSON(ctx, http.MethodPost, to.Address, pathReport, r, &d)
	return d, err
}

// Write asks a member to write a key. It returns the new revision, or the current key if the condition does not hold.
func (c *Client) Write(ctx context.Context, to Member, op Operation) (int64, *ports.KeyValue, error) {
	var result OperationResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.http.JSON(limited, http.MethodPost, to.Address, pathWrite, op, &result); err != nil {
		if transport.IsNotSent(err) {
			return 0, nil, exchangeError(ctx, ports.ErrUnavailable, err)
		}
		return 0, nil, exchangeError(ctx, ports.ErrAmbiguous, err)
	}
	return result.Revision, result.Conflict, failureError(to, result.Failure)
}

// readRequest asks for one key.
type readRequest struct {
	Key   string          `json:"key"`
	Fresh ports.Freshness `json:"fresh,omitempty"`
}

// Read asks a member to read a key.
func (c *Client) Read(ctx context.Context, to Member, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	var result ReadResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.http.JSON(limited, http.MethodPost, to.Address, pathRead, readRequest{Key: key, Fresh: fresh}, &result); err != nil {
		return ports.KeyValue{}, exchangeError(ctx, ports.ErrUnavailable, err)
	}
	return result.Item, failureError(to, result.Failure)
}

// listRequest asks for a page of keys.
type listRequest struct {
	Prefix string          `json:"prefix"`
	After  string          `json:"after,omitempty"`
	Fresh  ports.Freshness `json:"fresh,omitempty"`
}

// ReadRange asks a member to read a page of the keys with the prefix that follow the key after.
func (c *Client) ReadRange(ctx context.Context, to Member, prefix, after string, fresh ports.Freshness) (ports.Page, error) {
	var result ListResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := listRequest{Prefix: prefix, After: after, Fresh: fresh}
	err := c.http.JSON(limited, http.MethodPost, to.Address, pathList, request, &result)
	var refused *api.Error
	switch {
	case errors.As(err, &refused): // An earlier build does not know the request.
		return ports.Page{}, fmt.Errorf("gateway %s: %w: %w", to.ID, ports.ErrUnavailable, err)
	case err != nil:
		return ports.Page{}, exchangeError(ctx, ports.ErrUnavailable, err)
	}
	return result.Page, failureError(to, result.Failure)
}

// Place asks the hub to choose a backend server for a call and to lend tokens of its program's budget. If the hub cannot lend,
// the result says so.
func (c *Client) Place(ctx context.Context, to Member, r PlaceRequest) (PlaceResult, error) {
	var result PlaceResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.http.JSON(limited, http.MethodPost, to.Address, pathPlace, r, &result); err != nil {
		return result, exchangeError(ctx, ports.ErrUnavailable, err)
	}
	return result, nil
}

// Progress reports the progress of calls to the hub that placed them.
func (c *Client) Progress(ctx context.Context, to Member, self string, list []CallProgress) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.http.JSON(ctx, http.MethodPost, to.Address, pathProgress, progressRequest{Member: self, Progress: list}, nil)
}

// Recall asks a member to return the unused tokens that it holds of a program's budget.
func (c *Client) Recall(ctx context.Context, to Member, program string) (tokens int, err error) {
	var result recallResult
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	err = c.http.JSON(ctx, http.MethodPost, to.Address, pathRecall, recallRequest{Program: program}, &result)
	return result.Tokens, err
}

// failureError returns the error for the Failure field of a member's result.
func failureError(from Member, failure string) error {
	switch failure {
	case "":
		return nil
	case failureUnavailable:
		return fmt.Errorf("gateway %s: %w", from.ID, ports.ErrUnavailable)
	}
	return fmt.Errorf("gateway %s: %w", from.ID, ports.ErrAmbiguous)
}

// Service handles the requests that a gateway gets from other gateways.
type Service interface {
	// Report handles a member's report. It returns when there are updates for the member, or after a delay without any.
	Report(ctx context.Context, r Report) Digest
	// Write writes a key on behalf of a member.
	Write(ctx context.Context, op Operation) (revision int64, conflict *ports.KeyValue, err error)
	// Place chooses a server for a member's call and lends tokens of its program's budget.
	Place(ctx context.Context, r PlaceRequest) (PlaceResult, error)
	// ReleaseUnused returns the number of unused tokens of a program's budget that the process held and gives up.
	ReleaseUnused(program string) (tokens int)
	// Permits issues permits for calls of organisations with a quota, and takes back unused ones.
	Permits(r PermitRequest) PermitResult
	// Progress applies a member's reports on calls that this process has placed.
	Progress(member string, list []CallProgress)
	// Read reads a key on behalf of a member.
	Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error)
	// ReadRange reads a page of keys on behalf of a member.
	ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error)
	// Configuration checks for a member that the configuration is the newest.
	Configuration(ctx context.Context, r ConfigurationRequest) ConfigurationResult
}

// Listen serves the other gateways on the address.
func Listen(address string, s Service, log *slog.Logger) (*transport.Server, error) {
	return transport.Listen(address, func(ctx *fasthttp.RequestCtx) { dispatch(ctx, s) }, transport.ServerOptions{
		Name: "redwinggauge", Log: log, WriteTimeout: callTimeout,
	})
}

// dispatch handles one request by the method of s for its path. The method gets a context with serveTimeout.
func dispatch(ctx *fasthttp.RequestCtx, s Service) {
	limited, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case pathReport:
		serveReport(limited, ctx, s)
	case pathWrite:
		handle(ctx, func(op Operation) any {
			revision, conflict, err := s.Write(limited, op)
			return OperationResult{Revision: revision, Conflict: conflict, Failure: failureName(err)}
		})
	case pathRead:
		handle(ctx, func(r readRequest) any {
			item, err := s.Read(limited, r.Key, r.Fresh)
			return ReadResult{Item: item, Failure: failureName(err)}
		})
	case pathList:
		handle(ctx, func(r listRequest) any {
			page, err := s.ReadRange(limited, r.Prefix, r.After, r.Fresh)
			return ListResult{Page: page, Failure: failureName(err)}
		})
	case pathPlace:
		handle(ctx, func(r PlaceRequest) any {
			result, err := s.Place(limited, r)
			result.Failure = failureName(err)
			return result
		})
	case pathProgress:
		handle(ctx, func(r progressRequest) any {
			s.Progress(r.Member, r.Progress)
			return struct{}{}
		})
	case pathConfiguration:
		handle(ctx, func(r ConfigurationRequest) any { return s.Configuration(limited, r) })
	case pathPermit:
		servePermits(ctx, s)
	case pathRecall:
		handle(ctx, func(r recallRequest) any { return recallResult{Tokens: s.ReleaseUnused(r.Program)} })
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "no such path"))
	}
}

// handle decodes a request and answers it with the result of serve.
func handle[T any](ctx *fasthttp.RequestCtx, serve func(T) any) {
	var in T
	if err := transport.DecodeJSON(ctx, &in); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteCompressedJSON(ctx, http.StatusOK, serve(in))
}

// serveReport handles a report. The memory of the updates is given back when the answer has been sent.
func serveReport(limited context.Context, ctx *fasthttp.RequestCtx, s Service) {
	var r Report
	if err := transport.DecodeJSON(ctx, &r); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	digest := s.Report(limited, r)
	transport.WriteTrackedJSON(ctx, http.StatusOK, digest, digest.Sending)
}

// failureName returns the value of the Failure field for an error. An error of unknown kind counts as ambiguous.
func failureName(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ports.ErrUnavailable) && !errors.Is(err, ports.ErrAmbiguous):
		return failureUnavailable
	}
	return failureAmbiguous
}
