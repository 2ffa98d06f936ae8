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

// DefaultAnswerTokens is the length of an answer without a directive.
const DefaultAnswerTokens = 32

// bytesPerToken is the length of a token of a prompt.
const bytesPerToken = 4

// crashDirective in any message crashes the engine that runs it.
const crashDirective = "[[crash]]"

var (
	tokensDirective = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)
	toolDirective   = regexp.MustCompile(`\[\[tool=([\w.-]+)\]\]`)
)

var vocabulary = []string{
	"slip", "sense", "rail", "shift", "draft", "quote", "grind", "window", "entry", "crew", "source", "line", "form",
	"track", "gloss", "pass", "verb", "curve", "noun", "gauge", "stem", "joint", "usage", "plan", "root", "wear",
}

// messageText returns the text of a message's content: a JSON string's value, or the raw JSON.
func messageText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	return string(content)
}

// promptBytes returns the canonical form of a history, in which a longer history starts with a shorter one.
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

// plan is what a prompt makes the engine answer.
type plan struct {
	words  []string // The answer's tokens; joined they are its text.
	tool   string   // Name of the tool to call, or empty.
	crash  bool
	cut    bool // max_tokens cuts the answer short.
	digest uint64
}

// planAnswer decides the answer from the whole prompt. maxTokens of 0 means no limit.
func planAnswer(messages []api.Message, maxTokens int) plan {
	p := plan{digest: xxhash.Sum64(promptBytes(messages))}
	length := DefaultAnswerTokens
	for i, m := range messages {
		text := messageText(m.Content)
		p.crash = p.crash || strings.Contains(text, crashDirective)
		if m.Role != "user" {
			continue
		}
		length = DefaultAnswerTokens
		if match := tokensDirective.FindStringSubmatch(text); match != nil {
			length, _ = strconv.Atoi(match[1])
		}
		if match := toolDirective.FindStringSubmatch(text); match != nil && i == len(messages)-1 {
			p.tool = match[1]
		}
	}
	if maxTokens > 0 && maxTokens < length {
		length, p.cut = maxTokens, true
	}
	p.words = answerWords(len(messages), p.digest, length)
	return p
}

// answerWords returns the tokens of an answer. The first names the number of messages and the digest of the prompt.
func answerWords(messages int, digest uint64, length int) []string {
	words := make([]string, length)
	for i := range words {
		if i == 0 {
			words[i] = fmt.Sprintf("m%d-%016x", messages, digest)
			continue
		}
		digest = digest*6364136223846793005 + 1442695040888963407
		words[i] = " " + vocabulary[(digest>>33)%uint64(len(vocabulary))]
	}
	return words
}

// AnswerText returns the text that an engine answers to the messages. Tests compare against it to see that the right
// history reached the engine. maxTokens of 0 means no limit.
func AnswerText(messages []api.Message, maxTokens int) string {
	return strings.Join(planAnswer(messages, maxTokens).words, "")
}

// resume drops the text that was already delivered. It fails when text is not a beginning of the answer.
func (p *plan) resume(text string) error {
	full := strings.Join(p.words, "")
	if !strings.HasPrefix(full, text) {
		return fmt.Errorf("resume_text of %d bytes is not a beginning of the answer to this prompt", len(text))
	}
	left := len(text)
	for len(p.words) > 0 && left >= len(p.words[0]) {
		left -= len(p.words[0])
		p.words = p.words[1:]
	}
	if left > 0 {
		p.words = append([]string{p.words[0][left:]}, p.words[1:]...)
	}
	return nil
}

// countTokens returns the number of tokens of n bytes of prompt.
func countTokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }
