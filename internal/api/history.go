package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// historyHashBytes is the length of a history hash before its hexadecimal encoding.
const historyHashBytes = 16

// HistoryHash returns the hash of a history that consists of a history with the hash prev, followed by m. The empty
// history has the hash "". Entries and sidecars hash the compact JSON of the message, so that sending a message over the
// network does not change its hash.
func HistoryHash(prev string, m Message) string {
	h := sha256.New()
	_, _ = io.WriteString(h, prev)
	_, _ = h.Write([]byte{0})
	data, err := json.Marshal(m)
	if err != nil {
		// Content that is not valid JSON cannot be sent over the network either, so its raw bytes are hashed.
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

// AssistantMessage returns the message that a model's answer adds to the history. Its content is omitted if the answer
// consists of tool calls only.
func AssistantMessage(text string, toolCalls json.RawMessage) Message {
	m := Message{Role: "assistant", ToolCalls: toolCalls}
	if text != "" || len(toolCalls) == 0 {
		m.Content, _ = json.Marshal(text)
	}
	return m
}

// MessageText returns the content of a message if it is a JSON string, and "" otherwise.
func MessageText(m Message) string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return ""
	}
	return text
}
