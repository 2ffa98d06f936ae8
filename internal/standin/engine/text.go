package engine

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// DefaultAnswerTokens is the length of an answer when the last user message has no [[tokens=N]] directive.
const DefaultAnswerTokens = 32

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// crashDirective is text that crashes the engine when it runs a request with this text in any message.
const crashDirective = "[[crash]]"

// Directives in user messages. [[tokens=N]] in the last user message sets the length of the answer in tokens.
// [[tool=NAME]] in a user message that is the last message makes the answer a call of the tool.
var (
	tokensDirective = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)
	toolDirective   = regexp.MustCompile(`\[\[tool=([\w.-]+)\]\]`)
)

// vocabulary contains the words of which answers consist.
var vocabulary = []string{
	"slip", "sense", "rail", "shift", "draft", "quote", "grind", "window", "entry", "crew", "source", "line", "form",
	"track", "gloss", "pass", "verb", "curve", "noun", "gauge", "stem", "joint", "usage", "plan", "root", "wear",
}

// messageText returns the text of a message's content: the value of a JSON string, or the raw JSON of anything else.
func messageText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	return string(content)
}

// promptBytes returns the canonical encoding of a history. The encoding of a history is a prefix of the encoding of every
// continuation of it, so that the prefix cache can match them.
func promptBytes(messages []api.Message) []byte {
	var out []byte
	for _, m := range messages {
		out = append(out, m.Role...)
		out = append(out, 0)
		out = append(out, messageText(m.Content)...)
		out = append(out, m.ToolCalls...)
		out = append(out, m.ToolCallID...)
		out = append(out, 1)
	}
	return out
}

// answerPlan is the answer that the engine will generate for a prompt.
type answerPlan struct {
	tokens    []string // Tokens of the answer; concatenated they are its text.
	toolName  string   // Name of the tool to call; empty means none.
	crashes   bool     // The prompt crashes the engine.
	truncated bool     // The token limit of the request truncates the answer.
	digest    uint64   // Hash of the prompt.
}

// planAnswer derives the answer from the whole prompt. maxTokens of 0 means no limit.
func planAnswer(messages []api.Message, maxTokens int) answerPlan {
	p := answerPlan{digest: xxhash.Sum64(promptBytes(messages))}
	length := DefaultAnswerTokens
	for i, m := range messages {
		text := messageText(m.Content)
		p.crashes = p.crashes || strings.Contains(text, crashDirective)
		if m.Role != "user" {
			continue
		}
		length = DefaultAnswerTokens
		if match := tokensDirective.FindStringSubmatch(text); match != nil {
			length, _ = strconv.Atoi(match[1])
		}
		if match := toolDirective.FindStringSubmatch(text); match != nil && i == len(messages)-1 {
			p.toolName = match[1]
		}
	}
	if maxTokens > 0 && maxTokens < length {
		length, p.truncated = maxTokens, true
	}
	p.tokens = answerTokens(len(messages), p.digest, length)
	return p
}

// answerTokens returns the tokens of an answer. The first contains the number of messages and the hash of the prompt, the
// others are words chosen pseudorandomly from the hash.
func answerTokens(messages int, digest uint64, length int) []string {
	tokens := make([]string, length)
	for i := range tokens {
		if i == 0 {
			tokens[i] = fmt.Sprintf("m%d-%016x", messages, digest)
			continue
		}
		digest = digest*6364136223846793005 + 1442695040888963407
		tokens[i] = " " + vocabulary[(digest>>33)%uint64(len(vocabulary))]
	}
	return tokens
}

// AnswerText returns the text that the engine answers to the messages. Tests compare answers with it to check that the
// engine received the right history. maxTokens of 0 means no limit.
func AnswerText(messages []api.Message, maxTokens int) string {
	return strings.Join(planAnswer(messages, maxTokens).tokens, "")
}

// skipDelivered removes the text that was already delivered from the answer. It fails if text is not a prefix of the
// answer.
func (p *answerPlan) skipDelivered(text string) error {
	full := strings.Join(p.tokens, "")
	if !strings.HasPrefix(full, text) {
		return fmt.Errorf("resume_text (%d bytes) is not a prefix of the answer to this prompt", len(text))
	}
	left := len(text)
	for len(p.tokens) > 0 && left >= len(p.tokens[0]) {
		left -= len(p.tokens[0])
		p.tokens = p.tokens[1:]
	}
	if left > 0 {
		p.tokens = append([]string{p.tokens[0][left:]}, p.tokens[1:]...)
	}
	return nil
}

// countTokens returns the number of tokens in n bytes of prompt, rounded up.
func countTokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }
