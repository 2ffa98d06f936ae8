package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// chunk is one chunk of a streamed completion.
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

// completion assembles the answer of a streamed completion.
type completion struct {
	text        []byte
	toolCalls   toolCalls
	result      api.Result
	firstTextAt time.Time // When the first text chunk was read.
	textChunks  int       // Number of text chunks.

	limit   *limits.Answer   // Nil if nothing limits what is kept.
	account *buffers.Account // Pays for what is kept.
}

// engineStreamError is an error that the engine reported in the stream of its answer.
type engineStreamError struct{ message string }

// Error implements error.
func (e *engineStreamError) Error() string {
	return fmt.Sprintf("the engine's answer ended with an error: %.1000s", e.message)
}

var (
	ssePrefix = []byte("data:")
	sseDone   = []byte("[DONE]")
)

// maxCompletionBytes limits the chunks of one answer together.
const maxCompletionBytes = 16 << 20

// Read reads the stream to its end and calls delta for each piece of text. It returns an error if the stream breaks off,
// that is, ends inside an event, or with neither [DONE] nor a finish reason.
func (c *completion) Read(stream *transport.Stream, delta func(string)) error {
	received, inEvent := 0, false
	for {
		line, err := stream.ReadLine()
		if errors.Is(err, io.EOF) {
			if c.result.FinishReason == "" || inEvent {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) == 0 || line[0] != ':' { // A comment is no part of an event.
			inEvent = len(line) > 0
		}
		data, ok := bytes.CutPrefix(line, ssePrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, sseDone) {
			return nil // What follows is of no use; the connection is closed.
		}
		if received += len(data); received > maxCompletionBytes {
			return &limits.TooLargeError{Part: "the engine's answer", Limit: maxCompletionBytes}
		}
		if err := c.addChunk(data, delta); err != nil {
			return err
		}
		stream.MarkProgress()
	}
}

// keep checks and pays for a piece of the answer that is kept.
func (c *completion) keep(size int) error {
	if err := c.limit.Keep(size); err != nil {
		return err
	}
	return c.account.Take(int64(size))
}

// addChunk decodes one chunk and adds its content.
func (c *completion) addChunk(data []byte, delta func(string)) error {
	if text, ok := plainDelta(data); ok {
		return c.addText(string(text), delta)
	}
	var decoded chunk
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode a chunk of the engine's answer: %w", err)
	}
	if decoded.Error != nil {
		return &engineStreamError{decoded.Error.Message}
	}
	if decoded.Usage != nil {
		c.result.Usage = api.Usage{
			PromptTokens: decoded.Usage.PromptTokens, CompletionTokens: decoded.Usage.CompletionTokens,
			CachedTokens: decoded.Usage.Details.CachedTokens,
		}
	}
	for _, choice := range decoded.Choices {
		if err := c.addText(choice.Delta.Content, delta); err != nil {
			return err
		}
		for _, call := range choice.Delta.ToolCalls {
			if err := c.keep(len(call.ID) + len(call.Type) + len(call.Function.Name) + len(call.Function.Arguments)); err != nil {
				return err
			}
		}
		c.toolCalls.add(choice.Delta.ToolCalls)
		if choice.FinishReason != "" {
			if err := c.keep(len(choice.FinishReason)); err != nil {
				return err
			}
			c.result.FinishReason = choice.FinishReason
		}
	}
	return nil
}

// addText appends a piece of text, unless it is empty, passes it to delta and records the time of the first one.
func (c *completion) addText(text string, delta func(string)) error {
	if text == "" {
		return nil
	}
	if err := c.keep(len(text)); err != nil {
		return err
	}
	if c.textChunks == 0 {
		c.firstTextAt = time.Now()
	}
	c.textChunks++
	c.text = append(c.text, text...)
	delta(text)
	return nil
}
