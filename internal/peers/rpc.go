package peers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Paths of the protocol between gateways.
const (
	pathReport   = "/peers/report"
	pathWrite    = "/peers/write"
	pathRead     = "/peers/read"
	pathPlace    = "/peers/place"
	pathProgress = "/peers/progress"
	pathRecall   = "/peers/recall"
)

const (
	connectTimeout = 200 * time.Millisecond // Many round trips within a region.
	callTimeout    = 700 * time.Millisecond // A batch's window and a commit of a slow service.
	recallTimeout  = 150 * time.Millisecond // What a silent member holds is left with it.
	reportTimeout  = 350 * time.Millisecond // Beyond the time that the hub holds a report.
)

// ErrSilent means that a member did not answer in time.
var ErrSilent = errors.New("gateway does not answer")

// silent describes a failed exchange. A caller whose own time was up cannot tell whether the member is silent.
func silent(ctx context.Context, outcome, err error) error {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return fmt.Errorf("%w: %w", outcome, err)
	}
	return fmt.Errorf("%w: %w: %w", ErrSilent, outcome, err)
}

// Client calls other gateways. It is safe for concurrent use.
type Client struct{ http *transport.Client }

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{http: transport.NewClient(transport.ClientOptions{
		ConnectTimeout: connectTimeout, IdleTimeout: callTimeout, RequestTimeout: callTimeout,
	})}
}

// Report tells the hub about the process and returns the hub's answer, which may take hold.
func (c *Client) Report(ctx context.Context, to Member, r Report, hold time.Duration) (Digest, error) {
	var d Digest
	ctx, cancel := context.WithTimeout(ctx, hold+reportTimeout)
	defer cancel()
	err := c.http.JSON(ctx, http.MethodPost, to.Address, pathReport, r, &d)
	return d, err
}

// Write asks a member to write a key.
func (c *Client) Write(ctx context.Context, to Member, op Operation) (int64, *ports.KeyValue, error) {
	var result OperationResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.http.JSON(limited, http.MethodPost, to.Address, pathWrite, op, &result); err != nil {
		if transport.IsNotSent(err) {
			return 0, nil, silent(ctx, ports.ErrUnavailable, err)
		}
		return 0, nil, silent(ctx, ports.ErrAmbiguous, err)
	}
	return result.Revision, result.Conflict, failureOf(to, result.Failure)
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
		return ports.KeyValue{}, silent(ctx, ports.ErrUnavailable, err)
	}
	return result.Item, failureOf(to, result.Failure)
}

// Place asks the hub for a place for a call, and for tokens of its program's budget. A hub that cannot lend says so in the
// result.
func (c *Client) Place(ctx context.Context, to Member, r PlaceRequest) (PlaceResult, error) {
	var result PlaceResult
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.http.JSON(limited, http.MethodPost, to.Address, pathPlace, r, &result); err != nil {
		return result, silent(ctx, ports.ErrUnavailable, err)
	}
	return result, nil
}

// Progress tells the hub what became of calls that it has placed.
func (c *Client) Progress(ctx context.Context, to Member, self string, list []CallProgress) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.http.JSON(ctx, http.MethodPost, to.Address, pathProgress, progressRequest{Member: self, Progress: list}, nil)
}

// Recall asks a member for what it holds of a program's budget and does not use.
func (c *Client) Recall(ctx context.Context, to Member, program string) (tokens int, err error) {
	var result recallResult
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	err = c.http.JSON(ctx, http.MethodPost, to.Address, pathRecall, recallRequest{Program: program}, &result)
	return result.Tokens, err
}

func failureOf(from Member, failure string) error {
	switch failure {
	case "":
		return nil
	case failureUnavailable:
		return fmt.Errorf("gateway %s: %w", from.ID, ports.ErrUnavailable)
	}
	return fmt.Errorf("gateway %s: %w", from.ID, ports.ErrAmbiguous)
}

// Service is what a gateway does for its peers.
type Service interface {
	// Report takes a member's report and answers it, at once or when there is news.
	Report(ctx context.Context, r Report) Digest
	// Write writes a key in the name of a member.
	Write(ctx context.Context, op Operation) (revision int64, conflict *ports.KeyValue, err error)
	// Place chooses a server for a member's call and lends tokens of its program's budget.
	Place(ctx context.Context, r PlaceRequest) (PlaceResult, error)
	// Surrender gives up what the process holds of a program's budget and does not use.
	Surrender(program string) (tokens int)
	// Progress takes what became of a member's calls.
	Progress(member string, list []CallProgress)
	// Read reads a key in the name of a member.
	Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error)
}

// Listen serves peers on the address.
func Listen(address string, s Service) (*transport.Server, error) {
	return transport.Listen(address, func(ctx *fasthttp.RequestCtx) { dispatch(ctx, s) }, transport.ServerOptions{Name: "redwinggauge"})
}

func dispatch(ctx *fasthttp.RequestCtx, s Service) {
	limited, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case pathReport:
		handle(ctx, func(r Report) any { return s.Report(limited, r) })
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
	case pathRecall:
		handle(ctx, func(r recallRequest) any { return recallResult{Tokens: s.Surrender(r.Program)} })
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "no such path"))
	}
}

// handle decodes a request and answers with what serve returns.
func handle[T any](ctx *fasthttp.RequestCtx, serve func(T) any) {
	var in T
	if err := transport.DecodeJSON(ctx, &in); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	transport.WriteJSON(ctx, http.StatusOK, serve(in))
}

func failureName(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ports.ErrUnavailable) && !errors.Is(err, ports.ErrAmbiguous):
		return failureUnavailable
	}
	return failureAmbiguous
}
