package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// caller makes requests to the entries' caller interface. It is safe for concurrent use.
type caller struct {
	plan      *Plan
	entries   []string
	client    *transport.Client
	nextIndex atomic.Uint64 // Selects the entry for the next request.
	stats     *stats
}

func newCaller(plan *Plan, entries []string, stats *stats) *caller {
	client := transport.NewClient(transport.ClientOptions{IdleTimeout: plan.CallTimeout, RequestTimeout: plan.CallTimeout})
	return &caller{plan: plan, entries: entries, client: client, stats: stats}
}

// nextEntry returns the entries in turn, like a load balancer that does not know which entry owns a program.
func (c *caller) nextEntry() string {
	return c.entries[c.nextIndex.Add(1)%uint64(len(c.entries))]
}

// createProgram creates a program and returns its id. The idempotency key ensures that a resent request does not create
// another program.
func (c *caller) createProgram(ctx context.Context, class, parent, key string) (string, error) {
	request := api.CreateRequest{Organisation: c.plan.Organisation, Class: c.plan.Classes[class], Parent: parent}
	var info api.ProgramInfo
	err := c.retry(ctx, func(ctx context.Context) error {
		header := transport.Header{Name: "Idempotency-Key", Value: key}
		return c.client.JSON(ctx, http.MethodPost, c.nextEntry(), "/v1/programs", request, &info, header)
	})
	if err != nil {
		return "", fmt.Errorf("create program of class %q: %w", class, err)
	}
	return info.ID, nil
}

// deleteProgram ends a program, so that engines can release its prefix.
func (c *caller) deleteProgram(ctx context.Context, program string) error {
	return c.retry(ctx, func(ctx context.Context) error {
		return c.client.JSON(ctx, http.MethodDelete, c.nextEntry(), "/v1/programs/"+program, nil, nil)
	})
}

// callService makes the plan's service call.
func (c *caller) callService(ctx context.Context, program string, seq uint64) error {
	path := fmt.Sprintf("/v1/programs/%s/calls/%d/services/%s/%s", program, seq, c.plan.Action.Service, c.plan.Action.Path)
	body := map[string]uint64{"seq": seq}
	return c.retry(ctx, func(ctx context.Context) error {
		return c.client.JSON(ctx, http.MethodPost, c.nextEntry(), path, body, nil)
	})
}

// chatMessage is one message of a chat completion request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a request for a streamed chat completion.
type chatBody struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

// streamChat makes a model call, reads its response as a stream and records the times of its tokens.
func (c *caller) streamChat(ctx context.Context, program string, seq uint64, class string, messages []chatMessage, maxTokens int) error {
	path := fmt.Sprintf("/v1/programs/%s/calls/%d/chat/completions", program, seq)
	body := chatBody{Model: c.plan.Model, MaxTokens: maxTokens, Stream: true, Messages: messages}
	began := time.Now()
	return c.retry(ctx, func(ctx context.Context) error {
		stream, err := c.client.Stream(ctx, http.MethodPost, c.nextEntry(), path, body, false)
		if err != nil {
			return err
		}
		defer stream.Close()
		return c.readChat(stream, class, began)
	})
}

// readChat reads a streamed response to its end. A response without the final [DONE] event is an error.
func (c *caller) readChat(stream *transport.Stream, class string, began time.Time) error {
	var last time.Time
	for {
		line, err := stream.ReadLine()
		if errors.Is(err, io.EOF) {
			return errTruncated
		}
		if err != nil {
			return fmt.Errorf("read response stream: %w", err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		text, err := deltaText(data)
		if err != nil {
			return err
		}
		if text == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			c.stats.recordFirstToken(class, now.Sub(began))
		} else {
			c.stats.recordTokenInterval(class, now.Sub(last))
		}
		last = now
	}
}

// errTruncated means that a response stream ended without its final event.
var errTruncated = errors.New("the response stream ended before its final event")

// deltaText returns the text in a chunk of a streamed response, or the error that the chunk carries.
func deltaText(data []byte) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *api.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", fmt.Errorf("decode chunk %.100q: %w", data, err)
	}
	if chunk.Error != nil {
		return "", &api.Error{Code: chunk.Error.Code, Message: chunk.Error.Message}
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// retry sends a request until it succeeds, fails with an error that must not be retried, or has been resent as often as the
// plan permits. Resending is safe: the entries store the outcome under the seq or the idempotency key, and a resent
// request attaches to one that is already running.
func (c *caller) retry(ctx context.Context, send func(context.Context) error) error {
	delay := minBackoff
	for attempt := 0; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, c.plan.CallTimeout)
		err := send(attemptCtx)
		cancel()
		c.stats.countResponse(err)
		if err == nil || !isRetryable(err) || attempt >= c.plan.Resends {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay = min(2*delay, maxBackoff)
	}
}

// isRetryable reports whether a caller may send the same request again. That is the case for every error without a result
// code, such as a broken connection.
func isRetryable(err error) bool {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return true
	}
	switch apiErr.Code {
	case api.CodeOverloaded, api.CodeRetryExhausted, api.CodeInterrupted, api.CodeTimeout:
		return true
	case api.CodeOutcomeUnknown, api.CodeHistoryGap:
		return false
	}
	return apiErr.Code.Family() == api.FamilyNotRun
}

// fillerText returns text of about n tokens, at four bytes per token. Texts of different names differ.
func fillerText(name string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < 4*n; i++ {
		fmt.Fprintf(&b, "%s:%d ", name, i)
	}
	return b.String()[:4*n]
}
