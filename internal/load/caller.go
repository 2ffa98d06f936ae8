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

// caller speaks the callers' interface to several entries. It is safe for concurrent use.
type caller struct {
	plan    *Plan
	entries []string
	client  *transport.Client
	next    atomic.Uint64 // Chooses the entry of the next request.
	stats   *stats
}

func newCaller(plan *Plan, entries []string, stats *stats) *caller {
	client := transport.NewClient(transport.ClientOptions{IdleTimeout: plan.CallTimeout, RequestTimeout: plan.CallTimeout})
	return &caller{plan: plan, entries: entries, client: client, stats: stats}
}

// entry returns the entries in turn, as a balancer that knows nothing of programs.
func (c *caller) entry() string {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

// create creates a program and returns its id. The key makes a resent creation give the same program.
func (c *caller) create(ctx context.Context, class, parent, key string) (string, error) {
	request := api.CreateRequest{Organisation: c.plan.Organisation, Class: c.plan.Classes[class], Parent: parent}
	var info api.ProgramInfo
	err := c.repeat(ctx, func(ctx context.Context) error {
		header := transport.Header{Name: "Idempotency-Key", Value: key}
		return c.client.JSON(ctx, http.MethodPost, c.entry(), "/v1/programs", request, &info, header)
	})
	if err != nil {
		return "", fmt.Errorf("create program of class %q: %w", class, err)
	}
	return info.ID, nil
}

// end deletes a program, so that its memory is released.
func (c *caller) end(ctx context.Context, program string) error {
	return c.repeat(ctx, func(ctx context.Context) error {
		return c.client.JSON(ctx, http.MethodDelete, c.entry(), "/v1/programs/"+program, nil, nil)
	})
}

// act makes a service call.
func (c *caller) act(ctx context.Context, program string, seq uint64) error {
	path := fmt.Sprintf("/v1/programs/%s/calls/%d/services/%s/%s", program, seq, c.plan.Action.Service, c.plan.Action.Path)
	body := map[string]uint64{"seq": seq}
	return c.repeat(ctx, func(ctx context.Context) error {
		return c.client.JSON(ctx, http.MethodPost, c.entry(), path, body, nil)
	})
}

// chatMessage is one message of a chat completion.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a streamed chat completion.
type chatBody struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

// chat makes a model call and records its token times.
func (c *caller) chat(ctx context.Context, program string, seq uint64, class string, messages []chatMessage, maxTokens int) error {
	path := fmt.Sprintf("/v1/programs/%s/calls/%d/chat/completions", program, seq)
	body := chatBody{Model: c.plan.Model, MaxTokens: maxTokens, Stream: true, Messages: messages}
	began := time.Now()
	return c.repeat(ctx, func(ctx context.Context) error {
		stream, err := c.client.Stream(ctx, http.MethodPost, c.entry(), path, body, false)
		if err != nil {
			return err
		}
		defer stream.Close()
		return c.readChat(stream, class, began)
	})
}

// readChat reads a stream to its end. Only an answer that ends as it should counts as an answer.
func (c *caller) readChat(stream *transport.Stream, class string, began time.Time) error {
	var last time.Time
	for {
		line, err := stream.ReadLine()
		if errors.Is(err, io.EOF) {
			return errCutOff
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		text, err := deltaOf(data)
		if err != nil {
			return err
		}
		if text == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			c.stats.firstToken(class, now.Sub(began))
		} else {
			c.stats.betweenTokens(class, now.Sub(last))
		}
		last = now
	}
}

// errCutOff means that a stream ended before its last event.
var errCutOff = errors.New("the answer's stream ended before its last event")

// deltaOf returns the text of a chunk, or the error that it carries.
func deltaOf(data []byte) (string, error) {
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
	resendFirst = 100 * time.Millisecond
	resendMost  = 2 * time.Second
)

// repeat sends a request until it is answered, it must not be resent, or the plan's resends are spent. The entries keep
// the answer under the seq or key, so that resending attaches to a request that already runs.
func (c *caller) repeat(ctx context.Context, send func(context.Context) error) error {
	delay := resendFirst
	for attempt := 0; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, c.plan.CallTimeout)
		err := send(attemptCtx)
		cancel()
		c.stats.answer(err)
		if err == nil || !resendable(err) || attempt >= c.plan.Resends {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay = min(2*delay, resendMost)
	}
}

// resendable reports whether a caller may send the same seq again.
func resendable(err error) bool {
	var refused *api.Error
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Code {
	case api.CodeOverloaded, api.CodeRetryExhausted, api.CodeInterrupted, api.CodeTimeout:
		return true
	case api.CodeOutcomeUnknown, api.CodeHistoryGap:
		return false
	}
	return refused.Code.Family() == api.FamilyNotRun
}

// filler returns text of about n tokens of four bytes that differs by name.
func filler(name string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < 4*n; i++ {
		fmt.Fprintf(&b, "%s:%d ", name, i)
	}
	return b.String()[:4*n]
}
