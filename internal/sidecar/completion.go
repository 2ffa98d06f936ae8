package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// chunk is one piece of a streamed completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls []toolCallDelta `json:"tool_calls"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// completion collects the outcome of a streamed completion.
type completion struct {
	text      []byte
	tools     toolCalls
	result    api.Result
	firstText time.Time
	tokens    int // Pieces of text.
}

// errEngineAnswer reports an error that the engine put into its stream.
type errEngineAnswer struct{ message string }

// Error implements error.
func (e *errEngineAnswer) Error() string {
	return "the engine ended its answer with an error: " + e.message
}

var (
	ssePrefix = []byte("data:")
	sseDone   = []byte("[DONE]")
)

// Read follows the stream to its end and calls delta for each piece of text. A stream that breaks off returns an error.
func (c *completion) Read(stream *transport.Stream, delta func(string)) error {
	for {
		line, err := stream.ReadLine()
		if errors.Is(err, io.EOF) {
			if c.result.FinishReason == "" {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		data, ok := bytes.CutPrefix(line, ssePrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, sseDone) {
			return drainStream(stream)
		}
		if err := c.take(data, delta); err != nil {
			return err
		}
	}
}

// drainStream reads what follows the end mark, so that the connection can be used again.
func drainStream(stream *transport.Stream) error {
	_, _ = stream.ReadAll()
	return nil
}

// take adds one chunk.
func (c *completion) take(data []byte, delta func(string)) error {
	if text, ok := plainDelta(data); ok {
		if len(text) > 0 {
			c.addText(string(text), delta)
		}
		return nil
	}
	var piece chunk
	if err := json.Unmarshal(data, &piece); err != nil {
		return fmt.Errorf("decode a piece of the engine's answer: %w", err)
	}
	if piece.Error != nil {
		return &errEngineAnswer{piece.Error.Message}
	}
	if piece.Usage != nil {
		c.result.Usage = api.Usage{
			PromptTokens: piece.Usage.PromptTokens, CompletionTokens: piece.Usage.CompletionTokens,
			CachedTokens: piece.Usage.Details.CachedTokens,
		}
	}
	for _, choice := range piece.Choices {
		if text := choice.Delta.Content; text != "" {
			c.addText(text, delta)
		}
		c.tools.add(choice.Delta.ToolCalls)
		if choice.FinishReason != "" {
			c.result.FinishReason = choice.FinishReason
		}
	}
	return nil
}

// addText adds a piece of text.
func (c *completion) addText(text string, delta func(string)) {
	if c.tokens == 0 {
		c.firstText = time.Now()
	}
	c.tokens++
	c.text = append(c.text, text...)
	delta(text)
}
