// Package http1 decides whether what a server sends is an answer of HTTP/1.1, before anything in it is used, and where the answer ends
// (RFC 9110, RFC 9112). It repairs nothing: a line that another reader drops or corrects may be the one that says how long the body is.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Reason says in one word why an answer is none of the protocol.
type Reason string

// Values of Reason.
const (
	StatusLine     Reason = "status_line" // Protocol, version or reason phrase.
	Status         Reason = "status"
	FieldName      Reason = "field_name"
	FieldValue     Reason = "field_value"
	Length         Reason = "length"
	TransferCoding Reason = "transfer_coding"
	IncompleteHead Reason = "incomplete_head"
	ProtocolSwitch Reason = "protocol_switch"
	Chunk          Reason = "chunk"
	Trailer        Reason = "trailer"
	IncompleteBody Reason = "incomplete_body"
	ContentCoding  Reason = "content_coding"
)

// A MalformedError reports an answer that is none of the protocol. It holds none of the server's bytes.
type MalformedError struct {
	Reason Reason
	Detail string
	Err    error // The cause, if there is one.
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the answer is none of the protocol: %s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// ErrProtocolSwitched is for clients that have not asked the server to switch to another protocol.
var ErrProtocolSwitched error = &MalformedError{Reason: ProtocolSwitch, Detail: "the server switched to another protocol"}

func malformed(reason Reason, detail string) error {
	return &MalformedError{Reason: reason, Detail: detail}
}

// MaxHeadBytes limits the head of an answer, and its trailers.
const MaxHeadBytes = 64 << 10

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header
	// Close means that the server closes the connection after the answer.
	Close bool

	noBody  bool  // By the method of the request or the status.
	chunked bool  // The body is in chunks.
	length  int64 // Of the body; -1 if chunks or the end of the connection end it.
}

// ReadHead reads the head of an answer to a request with the method. Informational answers are returned like others. What the reader may
// read limits the size of a head. The error is io.EOF if there is no answer, a *MalformedError if it is none of the protocol, or that of
// the reader.
func ReadHead(r *bufio.Reader, method string) (*Head, error) {
	raw, err := readBlock(r)
	if err != nil && len(raw) > 0 {
		return nil, cutShort(IncompleteHead, "the connection ended in the head", err)
	}
	if err != nil {
		return nil, err
	}
	return parseHead(string(raw), method)
}

// usualHeadBytes is room for most heads.
const usualHeadBytes = 512

// readBlock reads lines up to and including the first empty one.
func readBlock(r *bufio.Reader) ([]byte, error) {
	block := make([]byte, 0, usualHeadBytes)
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		block = append(block, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return block, err
		}
		if len(trimLineEnd(block[lineStart:])) == 0 {
			return block, nil
		}
		lineStart = len(block)
	}
}

// trimLineEnd returns a line without the line feed that ends it and without one carriage return before that.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// parseHead returns the head of an answer to a request with the method. raw ends with an empty line. The error is a *MalformedError.
func parseHead(raw, method string) (*Head, error) {
	line, fields := cutLine(raw)
	status, minor, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	header, err := parseFields(fields)
	if err != nil {
		return nil, err
	}
	h := &Head{Status: status, Header: header, length: -1}
	if err := h.setFraming(minor, method); err != nil {
		return nil, err
	}
	return h, nil
}

// cutLine cuts the first line, without its end, from text.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

const (
	protocol  = "HTTP/1."
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status and the minor version. The blank after the status may be missing, as servers without a reason phrase
// omit it.
func parseStatusLine(line string) (status, minor int, err error) {
	rest, ok := strings.CutPrefix(line, protocol)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, 0, malformed(StatusLine, "no status line")
	}
	minor, rest = int(rest[0]-'0'), rest[2:]
	code, phrase, _ := strings.Cut(rest, " ")
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, 0, malformed(Status, "the status is not a number of three digits")
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < minStatus || status > maxStatus {
		return 0, 0, malformed(Status, fmt.Sprintf("the status %s is not between %d and %d", code, minStatus, maxStatus))
	}
	if !isText(phrase) {
		return 0, 0, malformed(StatusLine, "a control byte in the reason phrase")
	}
	return status, minor, nil
}

// parseFields returns the fields in the lines up to the empty one.
func parseFields(lines string) (http.Header, error) {
	count := strings.Count(lines, "\n")
	header, values := make(http.Header, count), make([]string, count) // One allocation for all values.
	for {
		var line string
		line, lines = cutLine(lines)
		if line == "" {
			return header, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		if given := header[key]; given != nil {
			header[key] = append(given, value)
			continue
		}
		values[0] = value
		header[key], values = values[:1:1], values[1:]
	}
}

// parseField returns the name and the value of a field line. RFC 9112 lets proxies remove blanks between the name and the colon, and join
// folded lines. Here they make an answer a broken one: no sound server sends them, and readers disagree on what they mean.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !isToken(name):
		return "", "", malformed(FieldName, "the name of a field is not a token")
	case !ok:
		return "", "", malformed(FieldName, "a field line without a colon")
	}
	value = strings.Trim(value, " \t")
	if !isText(value) {
		return "", "", malformed(FieldValue, "a control byte in the value of a field")
	}
	return name, value, nil
}

// setFraming finds out where the body ends.
func (h *Head) setFraming(minor int, method string) error {
	codings, lengths := h.Header["Transfer-Encoding"], h.Header["Content-Length"]
	if len(codings) > 0 {
		switch {
		case minor == 0:
			return malformed(TransferCoding, "a transfer coding in an answer of version 1.0")
		case len(codings) > 1 || !strings.EqualFold(codings[0], "chunked"):
			return malformed(TransferCoding, "a transfer coding other than chunked")
		case len(lengths) > 0:
			return malformed(Length, "a length beside a transfer coding")
		}
		h.chunked = true
	}
	if len(lengths) > 0 {
		length, err := parseLength(lengths)
		if err != nil {
			return err
		}
		h.length = length
	}
	h.noBody = method == http.MethodHead || h.Status < http.StatusOK || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
	h.Close = minor == 0 || hasToken(h.Header["Connection"], "close") || !h.IsFramed()
	return nil
}

// parseLength returns the length of a body. It may be given several times if it is always the same.
func parseLength(values []string) (int64, error) {
	list := strings.Split(strings.Join(values, ","), ",")
	first := strings.Trim(list[0], " \t")
	for _, other := range list[1:] {
		if strings.Trim(other, " \t") != first {
			return 0, malformed(Length, "several lengths")
		}
	}
	n, err := strconv.ParseInt(first, 10, 64)
	if err != nil || !isDigit(first[0]) {
		return 0, malformed(Length, "the length is not a decimal number")
	}
	return n, nil
}

// hasToken reports whether a list in field values contains the token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.Trim(item, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// IsInformational reports whether another answer to the same request follows.
func (h *Head) IsInformational() bool { return h.Status < http.StatusOK }

// IsFramed reports whether the head or chunks mark the end of the body. Otherwise it ends with its connection.
func (h *Head) IsFramed() bool { return h.noBody || h.chunked || h.length >= 0 }

// BodyLength returns the length of the body, or -1 if the head does not tell it.
func (h *Head) BodyLength() int64 {
	if h.noBody {
		return 0
	}
	return h.length
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken reports whether text may be the name of a field (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// isText reports whether text has no control byte other than tabs.
func isText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (bytes [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		bytes[c] = true
	}
	return bytes
}()
