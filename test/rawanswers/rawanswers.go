// Package rawanswers holds answers of HTTP/1.1 servers as bytes: those that are no answer of the protocol, and unusual ones that are. Tests
// of whatever reads answers share them.
package rawanswers

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Answer is an answer to a request.
type Answer struct {
	Name string
	// Reason is why it is none or not whole, as http1 names it; empty if it is a whole one.
	Reason string
	// HeadIsValid means that only what follows the head breaks the protocol.
	HeadIsValid bool
	text        string // With {fields}, {body}, {length} and {chunks}.
}

// Bytes returns the answer with more field lines in its head, each with its line break, and with the body, if it has one.
func (a Answer) Bytes(fields, body string) string {
	chunks := fmt.Sprintf("%x\r\n%s\r\n", len(body)/2, body[:len(body)/2]) + fmt.Sprintf("%x\r\n%s\r\n", len(body)-len(body)/2, body[len(body)/2:])
	return strings.NewReplacer("{fields}", fields, "{body}", body, "{length}", fmt.Sprint(len(body)), "{chunks}", chunks).Replace(a.text)
}

// Send reads a request to its end, sends the answer, and closes the connection.
func Send(w http.ResponseWriter, r *http.Request, answer string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, answer)
	_ = conn.Close()
}

// Serve starts a server that answers each request by the bytes that answer returns, and returns its address.
func Serve(t testing.TB, answer func() string) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { Send(w, r, answer()) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const (
	start  = "HTTP/1.1 200 OK\r\n{fields}"
	framed = "Content-Length: {length}\r\n\r\n{body}"
	// extra follows an answer on its connection. It belongs to none.
	extra = "HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\r\nextra"
)

// withLine is an answer that is valid but for a line in its head.
func withLine(line string) string { return start + line + "\r\n" + framed }

// withStatusLine is an answer that is valid but for its status line.
func withStatusLine(line string) string { return line + "\r\n{fields}" + framed }

// Names are the answers in whose heads the name of a field is none.
var Names = []Answer{
	{Name: "blank in a name", Reason: "field_name", text: withLine("X Y: z")},
	{Name: "blank after a name", Reason: "field_name", text: withLine("X-Y : z")},
	{Name: "tab after a name", Reason: "field_name", text: withLine("X-Y\t: z")},
	{Name: "blank before the first name", Reason: "field_name", text: "HTTP/1.1 200 OK\r\n X-Y: z\r\n{fields}" + framed},
	{Name: "folded line", Reason: "field_name", text: withLine("X-Y: z\r\n folded")},
	{Name: "line of blanks", Reason: "field_name", text: withLine(" ")},
	{Name: "blank after the name of the length", Reason: "field_name", text: start + "Content-Length : {length}\r\n\r\n{body}" + extra},
	{Name: "blank after the name of the coding", Reason: "field_name", text: start + "Transfer-Encoding : chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "blank after the name of the coding, with a length", Reason: "field_name", text: start + "Transfer-Encoding : chunked\r\nContent-Length: {length}\r\n\r\n{body}"},
	{Name: "blank in the name of the length", Reason: "field_name", text: start + "Content -Length: {length}\r\n\r\n{body}" + extra},
	{Name: "control byte in a name", Reason: "field_name", text: withLine("X\x01Y: z")},
	{Name: "NUL in a name", Reason: "field_name", text: withLine("X\x00Y: z")},
	{Name: "delete byte in a name", Reason: "field_name", text: withLine("X\x7fY: z")},
	{Name: "carriage return in a name", Reason: "field_name", text: withLine("X\rY: z")},
	{Name: "control byte after the name of the length", Reason: "field_name", text: start + "Content-Length\x01: {length}\r\n\r\n{body}" + extra},
	{Name: "control byte before the name of the coding", Reason: "field_name", text: start + "\x0bTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "byte beyond ASCII in a name", Reason: "field_name", text: withLine("X\xc3\xa9: z")},
	{Name: "separator in a name", Reason: "field_name", text: withLine("X(Y): z")},
	{Name: "empty name", Reason: "field_name", text: withLine(": z")},
	{Name: "no colon", Reason: "field_name", text: withLine("X-Y")},
}

// Values are the answers in whose heads the value of a field, or the reason phrase, is none.
var Values = []Answer{
	{Name: "control byte in a value", Reason: "field_value", text: withLine("X-Y: a\x01b")},
	{Name: "NUL in a value", Reason: "field_value", text: withLine("X-Y: a\x00b")},
	{Name: "delete byte in a value", Reason: "field_value", text: withLine("X-Y: a\x7fb")},
	{Name: "carriage return in a value", Reason: "field_value", text: withLine("X-Y: a\rContent-Length: 1")},
	{Name: "control byte in the length", Reason: "field_value", text: start + "Content-Length: {length}\x0b\r\n\r\n{body}" + extra},
	{Name: "control byte in the reason phrase", Reason: "status_line", text: withStatusLine("HTTP/1.1 200 O\x01K")},
	{Name: "carriage return in the reason phrase", Reason: "status_line", text: withStatusLine("HTTP/1.1 200 O\rK")},
}

// Statuses are the answers whose status or status line is none.
var Statuses = []Answer{
	{Name: "status 000", Reason: "status", text: withStatusLine("HTTP/1.1 000 OK")},
	{Name: "status 001", Reason: "status", text: withStatusLine("HTTP/1.1 001 OK")},
	{Name: "status 099", Reason: "status", text: withStatusLine("HTTP/1.1 099 OK")},
	{Name: "status 600", Reason: "status", text: withStatusLine("HTTP/1.1 600 Odd")},
	{Name: "status 999", Reason: "status", text: withStatusLine("HTTP/1.1 999 Odd")},
	{Name: "status 0", Reason: "status", text: withStatusLine("HTTP/1.1 0 OK")},
	{Name: "status 20", Reason: "status", text: withStatusLine("HTTP/1.1 20 OK")},
	{Name: "status 2000", Reason: "status", text: withStatusLine("HTTP/1.1 2000 OK")},
	{Name: "status -20", Reason: "status", text: withStatusLine("HTTP/1.1 -20 OK")},
	{Name: "status +20", Reason: "status", text: withStatusLine("HTTP/1.1 +20 OK")},
	{Name: "status with a letter", Reason: "status", text: withStatusLine("HTTP/1.1 2x0 OK")},
	{Name: "status joined to its phrase", Reason: "status", text: withStatusLine("HTTP/1.1 200OK")},
	{Name: "two blanks before the status", Reason: "status", text: withStatusLine("HTTP/1.1  200 OK")},
	{Name: "tab before the status", Reason: "status_line", text: withStatusLine("HTTP/1.1\t200 OK")},
	{Name: "no status", Reason: "status", text: withStatusLine("HTTP/1.1 ")},
	{Name: "other version", Reason: "status_line", text: withStatusLine("HTTP/2.0 200 OK")},
	{Name: "version 0.9", Reason: "status_line", text: withStatusLine("HTTP/0.9 200 OK")},
	{Name: "version without a digit", Reason: "status_line", text: withStatusLine("HTTP/1. 200 OK")},
	{Name: "version in small letters", Reason: "status_line", text: withStatusLine("http/1.1 200 OK")},
	{Name: "other protocol", Reason: "status_line", text: withStatusLine("ICY 200 OK")},
	{Name: "blank before the status line", Reason: "status_line", text: withStatusLine(" HTTP/1.1 200 OK")},
	{Name: "empty line before the status line", Reason: "status_line", text: withStatusLine("\r\nHTTP/1.1 200 OK")},
	{Name: "text", Reason: "status_line", text: "{body}\r\n\r\n"},
}

// Framing are the answers whose heads do not say where their bodies end.
var Framing = []Answer{
	{Name: "two lengths", Reason: "length", text: start + "Content-Length: {length}\r\nContent-Length: 3\r\n\r\n{body}"},
	{Name: "two lengths in a line", Reason: "length", text: start + "Content-Length: {length}, 3\r\n\r\n{body}"},
	{Name: "empty length", Reason: "length", text: start + "Content-Length:\r\n\r\n{body}"},
	{Name: "negative length", Reason: "length", text: start + "Content-Length: -1\r\n\r\n{body}"},
	{Name: "length with a sign", Reason: "length", text: start + "Content-Length: +{length}\r\n\r\n{body}"},
	{Name: "length with a fraction", Reason: "length", text: start + "Content-Length: {length}.0\r\n\r\n{body}"},
	{Name: "hexadecimal length", Reason: "length", text: start + "Content-Length: 0x5\r\n\r\n{body}"},
	{Name: "length with a blank", Reason: "length", text: start + "Content-Length: 1 1\r\n\r\n{body}"},
	{Name: "length of too many digits", Reason: "length", text: start + "Content-Length: 99999999999999999999\r\n\r\n{body}"},
	{Name: "length and coding", Reason: "length", text: start + "Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "unknown coding", Reason: "transfer_coding", text: start + "Transfer-Encoding: gzip\r\n\r\n{body}"},
	{Name: "identity coding", Reason: "transfer_coding", text: start + "Transfer-Encoding: identity\r\n\r\n{body}"},
	{Name: "empty coding", Reason: "transfer_coding", text: start + "Transfer-Encoding:\r\n\r\n{body}"},
	{Name: "two codings", Reason: "transfer_coding", text: start + "Transfer-Encoding: gzip, chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "two codings in two lines", Reason: "transfer_coding", text: start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "chunks in chunks", Reason: "transfer_coding", text: start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "coding in version 1.0", Reason: "transfer_coding", text: "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
}

// Stopped are the answers that stop inside their heads.
var Stopped = []Answer{
	{Name: "stops in the protocol", Reason: "incomplete_head", text: "HTT"},
	{Name: "stops after the status", Reason: "incomplete_head", text: "HTTP/1.1 200"},
	{Name: "stops after the status line", Reason: "incomplete_head", text: "HTTP/1.1 200 OK\r\n"},
	{Name: "stops in a name", Reason: "incomplete_head", text: start + "X-Y"},
	{Name: "stops in a value", Reason: "incomplete_head", text: start + "Content-Length: 1"},
	{Name: "stops after a carriage return", Reason: "incomplete_head", text: start + "Content-Length: {length}\r"},
	{Name: "stops after the fields", Reason: "incomplete_head", text: start + "Content-Length: {length}\r\n"},
	{Name: "stops in the empty line", Reason: "incomplete_head", text: start + "Content-Length: {length}\r\n\r"},
	{Name: "stops after an informational answer", Reason: "incomplete_head", text: "HTTP/1.1 103 Early Hints\r\n\r\n" + start},
}

// Informational are the answers with a broken informational answer before them.
var Informational = []Answer{
	{Name: "blank in a name of an informational answer", Reason: "field_name", text: "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + start + framed},
	{Name: "control byte in a value of an informational answer", Reason: "field_value", text: "HTTP/1.1 100 Continue\r\nX: \x01\r\n\r\n" + start + framed},
	{Name: "informational answer without a status", Reason: "status", text: "HTTP/1.1 1 \r\n\r\n" + start + framed},
	{Name: "other protocol chosen", Reason: "protocol_switch", text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + start + framed},
}

// Bodies are the answers whose heads are valid, and which break the protocol in their chunks or trailers.
var Bodies = []Answer{
	{Name: "blank in the name of a trailer", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nX Y: z\r\n\r\n"},
	{Name: "blank after the name of a trailer", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nX-Y : z\r\n\r\n"},
	{Name: "control byte in the name of a trailer", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nX\x01: z\r\n\r\n"},
	{Name: "control byte in the value of a trailer", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nX: \x01\r\n\r\n"},
	{Name: "trailer without a colon", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nX\r\n\r\n"},
	{Name: "text after the last chunk", Reason: "trailer", HeadIsValid: true, text: chunked + "{chunks}0\r\nHTTP/1.1 200 OK\r\n\r\n"},
	{Name: "size of a chunk with a sign", Reason: "chunk", HeadIsValid: true, text: chunked + "{chunks}+1\r\nx\r\n0\r\n\r\n"},
	{Name: "size of a chunk is no number", Reason: "chunk", HeadIsValid: true, text: chunked + "{chunks}x\r\nx\r\n0\r\n\r\n"},
	{Name: "empty size of a chunk", Reason: "chunk", HeadIsValid: true, text: chunked + "{chunks}\r\n0\r\n\r\n"},
	{Name: "chunk longer than its size", Reason: "chunk", HeadIsValid: true, text: chunked + "{chunks}1\r\nxy\r\n0\r\n\r\n"},
}

// Cut are the answers that end inside their bodies.
var Cut = []Answer{
	{Name: "stops in a trailer", Reason: "incomplete_body", HeadIsValid: true, text: chunked + "{chunks}0\r\nX: z\r\n"},
	{Name: "stops after the last chunk", Reason: "incomplete_body", HeadIsValid: true, text: chunked + "{chunks}0\r\n"},
	{Name: "stops in the last chunk", Reason: "incomplete_body", HeadIsValid: true, text: chunked + "{chunks}0"},
	{Name: "stops before the last chunk", Reason: "incomplete_body", HeadIsValid: true, text: chunked + "{chunks}"},
	{Name: "stops in a chunk", Reason: "incomplete_body", HeadIsValid: true, text: chunked + "{chunks}5\r\nx"},
	{Name: "shorter than its length", Reason: "incomplete_body", HeadIsValid: true, text: start + "Content-Length: 1000\r\n\r\n{body}"},
}

const chunked = start + "Transfer-Encoding: chunked\r\n\r\n"

// Valid are answers of the protocol that a strict reader might refuse. Their body is complete.
var Valid = []Answer{
	{Name: "length", text: start + framed},
	{Name: "chunks", text: chunked + "{chunks}0\r\n\r\n"},
	{Name: "ends with its connection", text: start + "\r\n{body}"},
	{Name: "bytes after the answer", text: start + framed + extra},
	{Name: "version 1.0", text: "HTTP/1.0 200 OK\r\n{fields}" + framed},
	{Name: "version 1.0, ends with its connection", text: "HTTP/1.0 200 OK\r\n{fields}\r\n{body}"},
	{Name: "version 1.2", text: "HTTP/1.2 200 OK\r\n{fields}" + framed},
	{Name: "no reason phrase", text: withStatusLine("HTTP/1.1 200 ")},
	{Name: "no blank after the status", text: withStatusLine("HTTP/1.1 200")},
	{Name: "reason phrase beyond ASCII", text: withStatusLine("HTTP/1.1 200 d'accord \xe9\t!")},
	{Name: "lines end with a line feed", text: "HTTP/1.1 200 OK\n{fields}Content-Length: {length}\n\n{body}"},
	{Name: "value beyond ASCII", text: withLine("X-Y: \xc3\xa9\xff")},
	{Name: "empty value", text: withLine("X-Y:")},
	{Name: "blanks and tabs around a value", text: withLine("X-Y: \t a \t b\t ")},
	{Name: "all bytes of a name", text: withLine("!#$%&'*+-.^_`|~09azAZ: z")},
	{Name: "colons in a value", text: withLine("X-Y:: :")},
	{Name: "small letters", text: start + "content-length: {length}\r\n\r\n{body}"},
	{Name: "coding in capitals", text: start + "TRANSFER-ENCODING: CHUNKED\r\n\r\n{chunks}0\r\n\r\n"},
	{Name: "the same length twice", text: start + "Content-Length: {length}\r\nContent-Length: {length}\r\n\r\n{body}"},
	{Name: "the same length twice in a line", text: start + "Content-Length: {length}, {length}\r\n\r\n{body}"},
	{Name: "trailers", text: chunked + "{chunks}0\r\nX-Sum: 1\r\nX-Other:\r\n\r\n"},
	{Name: "extension of a chunk", text: chunked + "{chunks}0;a=b\r\n\r\n"},
	{Name: "informational answers", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + start + framed},
}

// Broken returns the answers that are none of the protocol or not whole.
func Broken() []Answer {
	var all []Answer
	for _, list := range [][]Answer{Names, Values, Statuses, Framing, Stopped, Informational, Bodies, Cut} {
		all = append(all, list...)
	}
	return all
}
