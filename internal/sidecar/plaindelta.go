package sidecar

import "bytes"

var (
	deltaPrefix = []byte(`"delta":{"content":"`)
	deltaSuffix = []byte(`"},"finish_reason":null}]}`)
)

// plainDelta returns the text of a chunk that contains only a piece of text without escape sequences. This covers most
// chunks of an answer and avoids decoding their JSON. It returns false for any other chunk. The prefix and the suffix
// cannot occur inside a JSON string, because quotes are escaped there.
func plainDelta(data []byte) ([]byte, bool) {
	text, ok := bytes.CutSuffix(data, deltaSuffix)
	if !ok {
		return nil, false
	}
	begin := bytes.Index(text, deltaPrefix)
	if begin < 0 {
		return nil, false
	}
	text = text[begin+len(deltaPrefix):]
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return nil, false
		}
	}
	return text, true
}
