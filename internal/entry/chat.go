package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// chatRequest is a decoded request body of an OpenAI chat completion.
type chatRequest struct {
	model        string
	messages     []api.Message
	maxTokens    int // 0 if the caller sets none.
	stream       bool
	includeUsage bool
	params       json.RawMessage            // JSON object of the fields that the entry does not interpret; nil if there are none.
	remaining    map[string]json.RawMessage // The fields not yet decoded.
}

// parseChat decodes and checks the request body of a chat completion.
func parseChat(body []byte) (*chatRequest, *api.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, api.Errorf(api.CodeBadRequest, "the request body is not a JSON object: %v", err)
	}
	r := &chatRequest{remaining: fields}
	if err := r.decodeFields(); err != nil {
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

// decodeFields decodes the fields that the entry interprets, removes them from remaining, and stores the rest in params.
func (r *chatRequest) decodeFields() error {
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
		raw, ok := r.remaining[t.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, t.into); err != nil {
			return fmt.Errorf("field %q cannot be read: %w", t.name, err)
		}
		delete(r.remaining, t.name)
	}
	r.includeUsage = streamOptions.IncludeUsage
	return r.normalize()
}

// normalize checks that every message has a role and encodes the remaining fields as params. It encodes and decodes the
// messages once, so that encoding them again on their way to other processes does not change them.
func (r *chatRequest) normalize() error {
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
	if len(r.remaining) == 0 {
		return nil
	}
	r.params, err = json.Marshal(r.remaining)
	if err != nil {
		return fmt.Errorf("encode parameters: %w", err)
	}
	return nil
}

// requestDigest returns a digest that identifies a caller's request. A request that repeats a seq must have the same
// digest.
func requestDigest(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
