package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Paths of the engine's HTTP API.
const (
	enginePathChat    = "/v1/chat/completions"
	enginePathCancel  = "/v1/cancel"
	enginePathLoad    = "/v1/load"
	enginePathHold    = "/v1/cache/hold"
	enginePathRelease = "/v1/cache/release"
	enginePathStats   = "/v1/cache_stats"
	enginePathOrders  = "/v1/orders"
	enginePathModels  = "/v1/models"
)

// engine is a client of a model engine's HTTP API.
type engine struct {
	address     string
	idleTimeout time.Duration     // Longest time between two chunks of a completion.
	completions *transport.Client // For streamed completions.
	control     *transport.Client // For requests other than completions and orders.
	orders      *transport.Client // For orders, which take long when the engine loads weights.
}

func newEngine(address string, idleTimeout time.Duration, onBrokenAnswer func(string, *http1.MalformedError)) *engine {
	client := func(o transport.ClientOptions) *transport.Client {
		o.OnBrokenAnswer = onBrokenAnswer
		return transport.NewClient(o)
	}
	return &engine{
		address:     address,
		idleTimeout: idleTimeout,
		completions: client(transport.ClientOptions{IdleTimeout: idleTimeout, MaxBodyBytes: maxChunkBytes}),
		control:     client(transport.ClientOptions{IdleTimeout: engineControlTimeout, RequestTimeout: engineControlTimeout, MaxBodyBytes: maxControlBytes}),
		orders:      client(transport.ClientOptions{IdleTimeout: orderTimeout}),
	}
}

// maxChunkBytes limits one chunk of a completion.
const maxChunkBytes = 4 << 20

// maxControlBytes limits the answer to a control request. The largest one lists the programs in the engine's cache.
const maxControlBytes = 1 << 20

// engineControlTimeout bounds a request to the engine that is neither a completion nor an order.
const engineControlTimeout = 2 * time.Second

// completionBody is the body of a chat completion request, including the engine's extensions of that API.
type completionBody struct {
	Model         string        `json:"model"`
	Messages      []api.Message `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Priority      int           `json:"priority"`
	RequestID     string        `json:"request_id"`
	ResumeText    string        `json:"resume_text,omitempty"`
	Program       string        `json:"program,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// reservedParams are the fields of a completion request that the caller's parameters cannot override.
var reservedParams = []string{
	"model", "messages", "max_tokens", "stream", "stream_options", "priority", "request_id", "resume_text", "program",
}

// engineRequestID returns the request id under which the engine knows one attempt of a call.
func engineRequestID(req *api.CallRequest) string {
	return fmt.Sprintf("%s#%d", req.CallID, req.Attempt)
}

// encodeCompletion returns the body of a completion request. It appends the caller's parameters except those in
// reservedParams.
func encodeCompletion(req *api.CallRequest, prompt []api.Message) ([]byte, error) {
	data, err := json.Marshal(&completionBody{
		Model: req.Model.Model, Messages: prompt, MaxTokens: req.Model.MaxTokens, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true}, Priority: req.Priority, RequestID: engineRequestID(req),
		ResumeText: req.Model.ResumeText, Program: req.Program,
	})
	if err != nil || len(req.Model.Params) == 0 {
		return data, err
	}
	var params map[string]json.RawMessage
	if err := json.Unmarshal(req.Model.Params, &params); err != nil {
		return nil, fmt.Errorf("params of call %s: %w", req.CallID, err)
	}
	for _, name := range reservedParams {
		delete(params, name)
	}
	if len(params) == 0 {
		return data, nil
	}
	extra, err := json.Marshal(params)
	if err != nil {
		return nil, fmt.Errorf("params of call %s: %w", req.CallID, err)
	}
	data = append(data[:len(data)-1], ',')
	return append(data, extra[1:]...), nil
}

// Complete sends a completion request and returns the stream of its answer. The connection is used for this request only: a
// late second copy of an earlier answer cannot be told from the answer of the next request on its connection.
func (e *engine) Complete(ctx context.Context, body []byte) (*transport.Stream, error) {
	stream, err := e.completions.Stream(ctx, fasthttp.MethodPost, e.address, enginePathChat, body, true,
		transport.Header{Name: "Content-Type", Value: "application/json"})
	if err != nil {
		return nil, err
	}
	stream.LimitPause(e.idleTimeout)
	return stream, nil
}

// Cancel asks the engine to cancel a request.
func (e *engine) Cancel(requestID string) error {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	return e.control.JSON(context.Background(), fasthttp.MethodPost, e.address, enginePathCancel, body, nil)
}

// cacheRequest is the body of the engine's hold and release requests.
type cacheRequest struct {
	Program string `json:"program"`
	TTLMS   int64  `json:"ttl_ms,omitempty"`
}

// Hold asks the engine to keep the program's prefix cached for ttl.
func (e *engine) Hold(ctx context.Context, program string, ttl time.Duration) error {
	body := cacheRequest{Program: program, TTLMS: ttl.Milliseconds()}
	return e.control.JSON(ctx, fasthttp.MethodPost, e.address, enginePathHold, body, nil)
}

// Release asks the engine to free the program's cache memory.
func (e *engine) Release(ctx context.Context, program string) error {
	return e.control.JSON(ctx, fasthttp.MethodPost, e.address, enginePathRelease, cacheRequest{Program: program}, nil)
}

// engineLoad is the engine's report of its own state, which lags behind the actual state.
type engineLoad struct {
	CacheUsed     int    `json:"cache_used"`
	CacheCapacity int    `json:"cache_capacity"`
	BootID        string `json:"boot_id"`
	Draining      bool   `json:"draining"`
}

// Load requests the engine's report of its state.
func (e *engine) Load(ctx context.Context) (engineLoad, error) {
	var load engineLoad
	err := e.control.JSON(ctx, fasthttp.MethodGet, e.address, enginePathLoad, nil, &load)
	return load, err
}

// CachedPrograms returns the programs whose prefix the engine has cached.
func (e *engine) CachedPrograms(ctx context.Context) ([]string, error) {
	var stats struct {
		Programs json.RawMessage `json:"programs"`
	}
	if err := e.control.JSON(ctx, fasthttp.MethodGet, e.address, enginePathStats, nil, &stats); err != nil {
		return nil, err
	}
	return decodePrograms(stats.Programs)
}

// decodePrograms decodes the engine's report of cached programs. It accepts a list of names, a list of objects with a
// "program" field, and an object keyed by name.
func decodePrograms(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var names []string
	if json.Unmarshal(raw, &names) == nil {
		return names, nil
	}
	var entries []struct {
		Program string `json:"program"`
	}
	if json.Unmarshal(raw, &entries) == nil {
		for _, entry := range entries {
			names = append(names, entry.Program)
		}
		return names, nil
	}
	var keyed map[string]json.RawMessage
	if err := json.Unmarshal(raw, &keyed); err != nil {
		return nil, fmt.Errorf("decode programs of the engine's cache report: %w", err)
	}
	for name := range keyed {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// isTimeout reports whether the error is a timeout: the peer sent no data for too long, or a deadline passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) ||
		errors.As(err, &timeout) && timeout.Timeout()
}
