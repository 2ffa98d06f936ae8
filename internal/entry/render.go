package entry

import (
	"bufio"
	"encoding/json"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// completion is an OpenAI chat completion response, either whole or as one chunk of a stream.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *api.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      *choiceMessage  `json:"message,omitempty"`
	Delta        *choiceMessage  `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
}

type choiceMessage struct {
	Role      string          `json:"role,omitempty"`
	Content   *string         `json:"content,omitempty"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// usageBody is api.Usage with the total number of tokens, which OpenAI clients expect.
type usageBody struct {
	api.Usage
	TotalTokens int `json:"total_tokens"`
}

// chatWriter writes the events of a call as an OpenAI server-sent event stream. It is not safe for concurrent use.
type chatWriter struct {
	w            *bufio.Writer
	id           string
	model        string
	created      int64
	includeUsage bool   // The caller asked for the usage.
	prefix       []byte // "data: " and the encoded chunk up to "choices".
	scratch      []byte // Reused buffer for encoding.
}

func newChatWriter(w *bufio.Writer, id, model string, created int64, includeUsage bool) *chatWriter {
	c := &chatWriter{w: w, id: id, model: model, created: created, includeUsage: includeUsage}
	head, _ := json.Marshal(completion{ID: id, Object: "chat.completion.chunk", Created: created, Model: model})
	const emptyChoices = `"choices":null}`
	c.prefix = append([]byte("data: "), head[:len(head)-len(emptyChoices)]...)
	return c
}

// writeDelta writes and flushes one chunk with a piece of text.
func (c *chatWriter) writeDelta(text string) error {
	encoded, err := json.Marshal(text)
	if err != nil {
		return err
	}
	c.scratch = append(c.scratch[:0], c.prefix...)
	c.scratch = append(c.scratch, `"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	c.scratch = append(c.scratch, encoded...)
	c.scratch = append(c.scratch, `},"finish_reason":null}]}`...)
	c.scratch = append(c.scratch, "\n\n"...)
	return c.writeAndFlush(c.scratch)
}

// writeDone writes the final chunk, the usage if the caller asked for it, and the end of the stream.
func (c *chatWriter) writeDone(r *api.Result) error {
	c.scratch = append(c.scratch[:0], c.prefix...)
	c.scratch = append(c.scratch, `"choices":[{"index":0,"delta":{`...)
	if len(r.ToolCalls) > 0 {
		c.scratch = append(c.scratch, `"tool_calls":`...)
		c.scratch = append(c.scratch, r.ToolCalls...)
	}
	c.scratch = append(c.scratch, `},"finish_reason":`...)
	reason, _ := json.Marshal(r.FinishReason)
	c.scratch = append(c.scratch, reason...)
	c.scratch = append(c.scratch, "}]}\n\n"...)
	if c.includeUsage {
		usage, _ := json.Marshal(usageBody{Usage: r.Usage, TotalTokens: r.Usage.Total()})
		c.scratch = append(c.scratch, c.prefix...)
		c.scratch = append(c.scratch, `"choices":[],"usage":`...)
		c.scratch = append(c.scratch, usage...)
		c.scratch = append(c.scratch, "}\n\n"...)
	}
	c.scratch = append(c.scratch, "data: [DONE]\n\n"...)
	return c.writeAndFlush(c.scratch)
}

// writeError ends a stream that has already begun with an error event.
func (c *chatWriter) writeError(e *api.Error) error {
	body, err := json.Marshal(e.Body())
	if err != nil {
		return err
	}
	c.scratch = append(append(append(c.scratch[:0], "data: "...), body...), "\n\n"...)
	return c.writeAndFlush(c.scratch)
}

func (c *chatWriter) writeAndFlush(data []byte) error {
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return c.w.Flush()
}

// fullCompletion returns the response body of an answer that is not streamed.
func fullCompletion(id, model string, created int64, text string, r *api.Result) any {
	finish := r.FinishReason
	answer := &choiceMessage{Role: "assistant", Content: &text, ToolCalls: r.ToolCalls}
	return struct {
		completion
		Usage usageBody `json:"usage"`
	}{
		completion: completion{
			ID: id, Object: "chat.completion", Created: created, Model: model,
			Choices: []choice{{Message: answer, FinishReason: &finish}},
		},
		Usage: usageBody{Usage: r.Usage, TotalTokens: r.Usage.Total()},
	}
}
