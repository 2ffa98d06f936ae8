package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// chatRequest is the caller's OpenAI chat completion.
type chatRequest struct {
	model         string
	messages      []api.Message
	maxTokens     int // 0 when the caller sets none.
	stream        bool
	includeUsage  bool
	params        json.RawMessage // The fields that the entry does not interpret.
	interpretable map[string]json.RawMessage
}

// parseChat decodes and checks the body of a chat completion.
func parseChat(body []byte) (*chatRequest, *api.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, api.Errorf(api.CodeBadRequest, "the chat completion is not a JSON object: %v", err)
	}
	r := &chatRequest{interpretable: fields}
	if err := r.takeFields(); err != nil {
		return nil, api.Errorf(api.CodeBadRequest, "%v", err)
	}
	if r.model == "" {
		return nil, api.Errorf(api.CodeBadRequest, "field \"model\" is missing")
	}
	if len(r.messages) == 0 {
		return nil, api.Errorf(api.CodeBadRequest, "field \"messages\" is empty")
	}
	if r.maxTokens < 0 {
		return nil, api.Errorf(api.CodeBadRequest, "field \"max_tokens\" must not be negative, but is %d", r.maxTokens)
	}
	return r, nil
}

// takeFields moves the interpreted fields out of the map and keeps the rest as params.
func (r *chatRequest) takeFields() error {
	var streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	targets := []struct {
		name string
		into any
	}{
		{"model", &r.model},
		{"messages", &r.messages},
		{"max_tokens", &r.maxTokens},
		{"max_completion_tokens", &r.maxTokens},
		{"stream", &r.stream},
		{"stream_options", &streamOptions},
	}
	for _, t := range targets {
		raw, ok := r.interpretable[t.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, t.into); err != nil {
			return fmt.Errorf("field %q cannot be read: %w", t.name, err)
		}
		delete(r.interpretable, t.name)
	}
	r.includeUsage = streamOptions.IncludeUsage
	return r.finish()
}

// finish brings messages into the form that crosses the network unchanged and encodes the remaining fields.
func (r *chatRequest) finish() error {
	for i, m := range r.messages {
		if m.Role == "" {
			return fmt.Errorf("message %d has no role", i)
		}
	}
	canonical, err := json.Marshal(r.messages)
	if err != nil {
		return fmt.Errorf("encode messages: %w", err)
	}
	r.messages = nil
	if err := json.Unmarshal(canonical, &r.messages); err != nil {
		return fmt.Errorf("decode messages: %w", err)
	}
	if len(r.interpretable) == 0 {
		return nil
	}
	r.params, err = json.Marshal(r.interpretable)
	if err != nil {
		return fmt.Errorf("encode parameters: %w", err)
	}
	return nil
}

// digestOf identifies a caller's request: a resent seq must carry the same one.
func digestOf(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
