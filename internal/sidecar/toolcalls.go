package sidecar

import (
	"encoding/json"
)

// toolCallDelta is a fragment of a tool call in a chunk of a streamed completion.
type toolCallDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the called function with its arguments as JSON text, or a fragment of both.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// toolCall is a complete tool call.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// maxToolCalls bounds the number of tool calls in one answer.
const maxToolCalls = 128

// toolCalls assembles tool calls from their fragments.
type toolCalls []toolCall

// add appends fragments to their tool calls. A fragment whose index is out of bounds is ignored.
func (t *toolCalls) add(fragments []toolCallDelta) {
	for _, fragment := range fragments {
		if fragment.Index < 0 || fragment.Index >= maxToolCalls {
			continue
		}
		for len(*t) <= fragment.Index {
			*t = append(*t, toolCall{Type: "function"})
		}
		call := &(*t)[fragment.Index]
		if fragment.ID != "" {
			call.ID = fragment.ID
		}
		if fragment.Type != "" {
			call.Type = fragment.Type
		}
		call.Function.Name += fragment.Function.Name
		call.Function.Arguments += fragment.Function.Arguments
	}
}

// encode returns the tool calls as JSON, or nil when there are none.
func (t toolCalls) encode() json.RawMessage {
	if len(t) == 0 {
		return nil
	}
	data, err := json.Marshal([]toolCall(t))
	if err != nil {
		return nil
	}
	return data
}
