package sidecar

import "bytes"

var (
	deltaHead = []byte(`"delta":{"content":"`)
	deltaTail = []byte(`"},"finish_reason":null}]}`)
)

// plainDelta returns the text of a chunk that carries nothing but a piece of text without escapes, and false for any
// other chunk, which the JSON decoder takes. Most chunks of an answer are plain. The marks cannot stand inside a JSON
// string, where quotes are escaped.
func plainDelta(data []byte) ([]byte, bool) {
	text, ok := bytes.CutSuffix(data, deltaTail)
	if !ok {
		return nil, false
	}
	begin := bytes.Index(text, deltaHead)
	if begin < 0 {
		return nil, false
	}
	text = text[begin+len(deltaHead):]
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return nil, false
		}
	}
	return text, true
}
