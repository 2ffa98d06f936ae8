package sidecar

import (
	"encoding/json"
)

// toolCallDelta is a piece of a tool call in a streamed completion.
type toolCallDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// toolCall is a whole tool call.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// maxToolCalls bounds the tool calls of one answer.
const maxToolCalls = 128

// toolCalls joins the pieces of tool calls.
type toolCalls []toolCall

// add takes in pieces. A piece whose index is out of bounds is ignored.
func (t *toolCalls) add(pieces []toolCallDelta) {
	for _, p := range pieces {
		if p.Index < 0 || p.Index >= maxToolCalls {
			continue
		}
		for len(*t) <= p.Index {
			*t = append(*t, toolCall{Type: "function"})
		}
		call := &(*t)[p.Index]
		if p.ID != "" {
			call.ID = p.ID
		}
		if p.Type != "" {
			call.Type = p.Type
		}
		call.Function.Name += p.Function.Name
		call.Function.Arguments += p.Function.Arguments
	}
}

// encode returns the calls as JSON, nil when there are none.
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
