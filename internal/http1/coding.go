package http1

import (
	"net/http"
	"strings"
)

// ErrUnaskedCoding reports a body in a coding that the request does not accept.
var ErrUnaskedCoding error = &MalformedError{Reason: ContentCoding, Detail: "the body has a coding that the request does not accept"}

// CheckContentCoding returns ErrUnaskedCoding unless the request names each coding of the answer's body. A request without Accept-Encoding
// asks for the body as it is: its sender has no reason to look for a coding.
func CheckContentCoding(request, answer http.Header) error {
	for _, list := range answer["Content-Encoding"] {
		for coding := range strings.SplitSeq(list, ",") {
			coding = strings.Trim(coding, " \t")
			if coding != "" && !strings.EqualFold(coding, "identity") && !accepts(request, coding) {
				return ErrUnaskedCoding
			}
		}
	}
	return nil
}

// accepts reports whether the request names the coding, or any.
func accepts(request http.Header, coding string) bool {
	for _, list := range request["Accept-Encoding"] {
		for item := range strings.SplitSeq(list, ",") {
			name, weight, _ := strings.Cut(item, ";")
			name, weight = strings.Trim(name, " \t"), strings.TrimRight(strings.Trim(weight, " \t"), "0")
			if (strings.EqualFold(name, coding) || name == "*") && !strings.EqualFold(weight, "q=") && !strings.EqualFold(weight, "q=0.") {
				return true
			}
		}
	}
	return false
}
