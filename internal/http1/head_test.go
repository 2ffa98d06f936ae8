package http1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// read reads the final answer in the bytes with its body.
func read(source io.Reader, method string) (*http1.Head, string, error) {
	r := bufio.NewReaderSize(source, 16) // Lines are longer than the buffer.
	for {
		head, err := http1.ReadHead(r, method)
		if err != nil {
			return nil, "", err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return head, "", nil
		}
		if !head.IsInformational() {
			body, err := io.ReadAll(head.Body(r, &http1.Sending{}))
			return head, string(body), err
		}
	}
}

// Guards against answers that are taken for such of the protocol, and against those of the protocol that are not.
func TestAnswersOfTheProtocol(t *testing.T) {
	for _, answer := range append(rawanswers.Broken(), rawanswers.Valid...) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			for _, slowly := range []bool{false, true} {
				var source io.Reader = strings.NewReader(answer.Bytes("X-Id: 1\r\n", "the body"))
				if slowly {
					source = iotest.OneByteReader(source)
				}
				head, body, err := read(source, http.MethodGet)
				var malformed *http1.MalformedError
				switch {
				case answer.Reason == string(http1.ProtocolSwitch): // For the reader to decide: it may have asked for it.
					is.Equal(head.Status, http.StatusSwitchingProtocols)
				case answer.Reason != "":
					is.True(errors.As(err, &malformed))
					is.Equal(string(malformed.Reason), answer.Reason)
					is.True(errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(answer.Reason, "incomplete_"))
				default:
					is.NoErr(err)
					is.Equal(body, "the body")
					is.Equal(head.Header.Get("X-Id"), "1")
				}
			}
		})
	}
}

// Guards against a body that is expected where there is none, and against one that is not.
func TestWhereAnswersEnd(t *testing.T) {
	for _, c := range []struct {
		name, answer, method string
		body                 string
		length               int64
		close, framed        bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", "GET", "ok", 2, false, true},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore", "GET", "", 0, false, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore", "GET", "ok", -1, false, true},
		{"end of the connection", "HTTP/1.1 200 OK\r\n\r\nok", "GET", "ok", -1, true, false},
		{"close", "HTTP/1.1 200 OK\r\nConnection: x , Close\r\nContent-Length: 2\r\n\r\nok", "GET", "ok", 2, true, true},
		{"version 1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", "GET", "ok", 2, true, true},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD", "", 0, false, true},
		{"HEAD in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HEAD", "", 0, false, true},
		{"HEAD without a length", "HTTP/1.1 200 OK\r\n\r\n", "HEAD", "", 0, false, true},
		{"204", "HTTP/1.1 204 No Content\r\n\r\n", "GET", "", 0, false, true},
		{"204 with a length", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", "GET", "", 0, false, true},
		{"304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", "GET", "", 0, false, true},
		{"failure", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", "GET", "ok", 2, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			head, body, err := read(strings.NewReader(c.answer), c.method)
			is.NoErr(err)
			is.Equal(body, c.body)
			is.Equal(head.BodyLength(), c.length)
			is.Equal(head.Close, c.close)
			is.Equal(head.IsFramed(), c.framed)
		})
	}
}

// Guards against the end of a body that waits for trailers which are late.
func TestBodyDoesNotWaitForTrailers(t *testing.T) {
	is := is.New(t)
	source, server := io.Pipe()
	defer source.Close()
	go func() {
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n0\r\n")
	}()
	r := bufio.NewReader(source)
	head, err := http1.ReadHead(r, http.MethodGet)
	is.NoErr(err)
	body, data := head.Body(r, &http1.Sending{}), make([]byte, 64)
	n, err := body.Read(data)
	is.NoErr(err)
	is.Equal(string(data[:n]), "event")
	go func() { _, _ = io.WriteString(server, "X: y\r\n\r\n") }()
	_, err = body.Read(data)
	is.Equal(err, io.EOF)
}

// Guards against a part of an answer that is taken for a broken one or not by how its connection ended, against errors that this process
// causes which are, and against no answer that is.
func TestEndsOfConnectionsInAnswers(t *testing.T) {
	ofServer := []error{io.EOF, syscall.ECONNRESET, syscall.ETIMEDOUT}
	ofClient := []error{os.ErrDeadlineExceeded, net.ErrClosed, &limits.TooLargeError{}}
	for _, c := range []struct {
		start  string
		reason http1.Reason // Empty if there is no answer yet.
	}{
		{"", ""},
		{"HTTP/1.1 200", http1.IncompleteHead},
		{"HTTP/1.1 200 OK\r\nX: y\r\n", http1.IncompleteHead},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", http1.IncompleteBody},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx", http1.IncompleteBody},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n", http1.IncompleteBody},
	} {
		for i, failed := range append(ofServer, ofClient...) {
			t.Run(fmt.Sprintf("%q/%v", c.start, failed), func(t *testing.T) {
				is := is.New(t)
				_, _, err := read(io.MultiReader(strings.NewReader(c.start), iotest.ErrReader(failed)), http.MethodGet)
				is.True(errors.Is(err, failed) || errors.Is(err, io.ErrUnexpectedEOF) && failed == io.EOF)
				var malformed *http1.MalformedError
				is.Equal(errors.As(err, &malformed), c.reason != "" && i < len(ofServer))
				if malformed != nil {
					is.Equal(malformed.Reason, c.reason)
				}
			})
		}
	}
}

// Guards against bytes of a server in the text of an error, which reaches callers.
func TestErrorsHoldNoBytesOfTheServer(t *testing.T) {
	for _, answer := range rawanswers.Broken() {
		_, _, err := read(strings.NewReader(answer.Bytes("", "the body")), http.MethodGet)
		if err != nil && (strings.Contains(err.Error(), "X-Y") || strings.Contains(err.Error(), "body") && strings.Contains(err.Error(), "the body\r")) {
			t.Error(answer.Name, err)
		}
	}
}

// Reads whatever bytes the fuzzer finds. What is accepted must be valid, and is read in the same way when it is written as it was
// understood.
func FuzzReadHead(f *testing.F) {
	for _, answer := range append(rawanswers.Broken(), rawanswers.Valid...) {
		f.Add(answer.Bytes("X-Id: 1\r\n", "the body"))
	}
	f.Fuzz(func(t *testing.T, bytes string) {
		head, err := http1.ReadHead(bufio.NewReader(strings.NewReader(bytes)), http.MethodGet)
		if err != nil {
			return
		}
		if head.Status < 100 || head.Status > 599 {
			t.Fatal("status", head.Status)
		}
		for name, values := range head.Header {
			for _, value := range values {
				if strings.ContainsAny(name, " \t\r\n\x00:") || name == "" || strings.ContainsAny(value, "\r\n\x00\x7f\x01") {
					t.Fatalf("%q: %q", name, value)
				}
			}
		}
		written := string(head.Append(nil))
		again, err := http1.ReadHead(bufio.NewReader(strings.NewReader(written)), http.MethodGet)
		if err != nil {
			t.Fatalf("%q: %v", written, err)
		}
		if again.Status != head.Status || again.BodyLength() != head.BodyLength() || again.IsFramed() != head.IsFramed() || again.Close != head.Close {
			t.Fatalf("%q became %q", bytes, written)
		}
	})
}
