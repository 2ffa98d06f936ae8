package backend

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	deltaPrefix = `{"kind":"delta","text":"`
	deltaSuffix = "\"}\n"
	hexDigits   = "0123456789abcdef"
)

// KeepAliveLine is the encoded keepalive event.
var KeepAliveLine = []byte(`{"kind":"keepalive"}` + "\n")

// startedLine is the encoded started event.
var startedLine = []byte(`{"kind":"started"}` + "\n")

// AppendDelta appends a delta event with the text to dst, as one line of JSON.
func AppendDelta(dst []byte, text string) []byte {
	dst = append(dst, deltaPrefix...)
	dst = appendEscaped(dst, text)
	return append(dst, deltaSuffix...)
}

// appendEscaped appends text as the content of a JSON string, without the quotes. Each byte of invalid UTF-8 becomes the
// replacement character.
func appendEscaped(dst []byte, text string) []byte {
	start := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRuneInString(text[i:])
			if r == utf8.RuneError && size == 1 {
				dst = append(dst, text[start:i]...)
				dst = append(dst, "\ufffd"...)
				start = i + 1
			}
			i += size
			continue
		}
		if c >= ' ' && c != '"' && c != '\\' {
			i++
			continue
		}
		dst = append(dst, text[start:i]...)
		dst = appendEscapedByte(dst, c)
		i++
		start = i
	}
	return append(dst, text[start:]...)
}

// appendEscapedByte appends the escape sequence of a control character, a quote or a backslash.
func appendEscapedByte(dst []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(dst, '\\', c)
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	default:
		return append(dst, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
	}
}

// appendEvent appends an event of any kind as one line of JSON. An event that cannot be encoded is replaced by an error
// event with api.CodeOutcomeUnknown.
func appendEvent(dst []byte, e *api.Event) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		failed := &api.Event{Kind: api.EventError, Error: api.Errorf(api.CodeOutcomeUnknown, "cannot encode the call's outcome: %v", err)}
		data, _ = json.Marshal(failed)
	}
	dst = append(dst, data...)
	return append(dst, '\n')
}
