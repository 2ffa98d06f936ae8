package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// historyHashBytes is the length of a history hash before its hexadecimal encoding.
const historyHashBytes = 16

// HistoryHash extends the hash of a history by one message. The empty history has the hash "". Entry and sidecar
// compute it over the message's compact JSON, so that a message keeps its hash when it crosses the network.
func HistoryHash(prev string, m Message) string {
	h := sha256.New()
	_, _ = io.WriteString(h, prev)
	_, _ = h.Write([]byte{0})
	data, err := json.Marshal(m)
	if err != nil {
		// Content that is not JSON cannot cross the network either; hash it as it is.
		data = append([]byte(m.Role), m.Content...)
	}
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil)[:historyHashBytes])
}

// HistoryHashOf returns the hash of a whole history.
func HistoryHashOf(history []Message) string {
	hash := ""
	for _, m := range history {
		hash = HistoryHash(hash, m)
	}
	return hash
}

// AssistantMessage returns the message that a model's answer adds to the history.
func AssistantMessage(text string, toolCalls json.RawMessage) Message {
	m := Message{Role: "assistant", ToolCalls: toolCalls}
	if text != "" || len(toolCalls) == 0 {
		m.Content, _ = json.Marshal(text)
	}
	return m
}

// MessageText returns the text of a message whose content is a JSON string, and "" for other content.
func MessageText(m Message) string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return ""
	}
	return text
}
