package sidecar

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// TestPlainDeltaAgreesWithTheDecoder checks that plainDelta accepts each chunk that holds plain text only, and that the JSON
// decoder yields the same result for every chunk that it accepts.
func TestPlainDeltaAgreesWithTheDecoder(t *testing.T) {
	for _, text := range []string{"word", "", "é"} {
		is := is.New(t)
		data, err := json.Marshal(map[string]any{
			"a": `"},"finish_reason":null}]}`, "choices": []any{map[string]any{"delta": map[string]any{"content": text}, "finish_reason": nil}},
		})
		is.NoErr(err)
		got, ok := plainDelta(data)
		is.True(ok)
		is.Equal(string(got), text)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"word", "", `"delta":{"content":"`, "a\nb", `\`, "é", `"},"finish_reason":null}]}`}).Draw(t, "text")
		choice := map[string]any{"delta": map[string]any{"content": text}, "finish_reason": nil}
		if rapid.Bool().Draw(t, "tools") {
			choice["delta"] = map[string]any{"content": text, "tool_calls": []any{map[string]any{"index": 0, "id": "c"}}}
		}
		if rapid.Bool().Draw(t, "finished") {
			choice["finish_reason"] = "stop"
		}
		value := map[string]any{"choices": []any{choice}, "a": rapid.String().Draw(t, "other")}
		if rapid.Bool().Draw(t, "usage") {
			value["usage"] = map[string]any{"prompt_tokens": 3}
		}
		data, _ := json.Marshal(value)
		got, ok := plainDelta(data)
		if !ok {
			return
		}
		var want chunk
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		only := want.Choices[0]
		if string(got) != only.Delta.Content || only.FinishReason != "" || want.Usage != nil || len(only.Delta.ToolCalls) > 0 {
			t.Fatalf("plainDelta returned %q for %s", got, data)
		}
	})
}

func TestToolCallsAreJoinedFromTheirPieces(t *testing.T) {
	is := is.New(t)
	var c completion
	for _, data := range []string{
		`{"choices":[{"delta":{"tool_calls":[{"index":1,"id":"b","type":"function","function":{"name":"file","arguments":"{\"s"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"a","function":{"name":"search"}},{"index":1,"function":{"arguments":"\":1}"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":-1,"id":"x"},{"index":100000,"id":"y"}]},"finish_reason":"tool_calls"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`,
	} {
		is.NoErr(c.addChunk([]byte(data), func(string) {}))
	}
	is.Equal(string(c.toolCalls.encode()), `[{"id":"a","type":"function","function":{"name":"search","arguments":""}},`+
		`{"id":"b","type":"function","function":{"name":"file","arguments":"{\"s\":1}"}}]`)
	is.Equal(c.result.FinishReason, "tool_calls")
	is.Equal(c.result.Usage, api.Usage{PromptTokens: 7, CompletionTokens: 2, CachedTokens: 4})
	is.True(c.addChunk([]byte(`{"error":{"message":"out of memory"}}`), func(string) {}) != nil)
}
