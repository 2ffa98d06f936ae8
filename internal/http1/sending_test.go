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
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// orderedConn is a connection on which one side waits until the other has learned how the connection ends.
type orderedConn struct {
	net.Conn
	writeFirst bool
	learned    chan struct{}
	headRead   bool
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	if c.writeFirst {
		defer close(c.learned)
		return c.Conn.Write(p)
	}
	const part = 8 << 10
	if n, err := c.Conn.Write(p[:part]); err != nil {
		return n, err
	}
	<-c.learned
	n, err := c.Conn.Write(p[part:])
	return part + n, err
}

// Read implements net.Conn.
func (c *orderedConn) Read(p []byte) (int, error) {
	if c.writeFirst && c.headRead {
		<-c.learned
	}
	n, err := c.Conn.Read(p)
	c.headRead = true
	if err != nil && !c.writeFirst {
		close(c.learned)
	}
	return n, err
}

// Sizes of uploads.
const (
	largeUpload = 3_000_000 // More than the operating system takes if the server does not read.
	smallUpload = 200_000   // More than the server's host takes.
)

// exchange sends a large upload on the connection while it reads the answer, and returns the body of the answer.
func exchange(conn net.Conn) (string, error) { return exchangeUpload(conn, largeUpload) }

func exchangeUpload(conn net.Conn, size int) (string, error) {
	sending := http1.NewSending(conn)
	sending.StartWriting(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("u", size)))
	r := bufio.NewReader(conn)
	head, err := http1.ReadHead(r, http.MethodPost)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(head.Body(r, sending))
	return string(body), err
}

// Guards against an answer that is whole or not by which system call learns first that its connection was reset.
func TestResetIsFoundWhicheverCallLearnsOfItFirst(t *testing.T) {
	for _, ending := range rawanswers.Endings[:2] {
		for _, writeFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/write first=%v", ending.Name, writeFirst), func(t *testing.T) {
				for range 20 {
					is := is.New(t)
					address := rawanswers.ServeEnding(t, ending, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part of the body" })
					conn, err := net.Dial("tcp", address)
					is.NoErr(err)
					defer conn.Close()
					_, err = exchange(&orderedConn{Conn: conn, writeFirst: writeFirst, learned: make(chan struct{})})
					checkIncomplete(t, err, syscall.ECONNRESET)
				}
			})
		}
	}
}

// checkIncomplete checks that err reports an answer that is not whole because of the cause.
func checkIncomplete(t *testing.T, err, cause error) {
	t.Helper()
	is := is.New(t)
	var malformed *http1.MalformedError
	is.True(errors.As(err, &malformed))
	is.Equal(malformed.Reason, http1.IncompleteBody)
	is.True(errors.Is(err, cause))
}

// Guards against answers that are whole or not by anything but their connection's end and what became of their requests.
func TestEndingsOfAnswersWithoutALength(t *testing.T) {
	for _, ending := range rawanswers.Endings {
		for _, size := range []int{smallUpload, largeUpload} {
			t.Run(fmt.Sprint(ending.Name, "/", size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address := rawanswers.ServeEnding(t, ending, func(*http.Request) string { return "HTTP/1.0 200 OK\r\n\r\nthe body" })
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				defer conn.Close()
				body, err := exchangeUpload(conn, size)
				if ending.IsWhole {
					is.NoErr(err)
					is.Equal(body, "the body")
					return
				}
				var malformed *http1.MalformedError
				is.True(errors.As(err, &malformed))
				is.Equal(malformed.Reason, http1.IncompleteBody)
			})
		}
	}
}

// fakeConn is a connection whose writes end with an error, if it is not nil, and from which a server's bytes can be read up to an orderly end.
type fakeConn struct {
	net.Conn
	answer   io.Reader
	blocked  chan struct{} // Writes wait until it is closed.
	writeErr error
}

// Write implements net.Conn.
func (c *fakeConn) Write(p []byte) (int, error) {
	<-c.blocked
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *fakeConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

// Guards against a failed or unfinished write, a deadline or a cancellation of which whoever judges the answer learns nothing.
func TestAnswerWhoseRequestWasNotSent(t *testing.T) {
	for _, writeErr := range []error{nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, os.ErrDeadlineExceeded, net.ErrClosed} {
		for framing, isFramed := range map[string]bool{
			"\r\nbody":                      false,
			"Content-Length: 4\r\n\r\nbody": true,
			"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": true,
		} {
			for name, read := range map[string]func(net.Conn) (string, error){"in the background": exchange, "before": exchangeInTurn} {
				t.Run(fmt.Sprintf("%v/%q/%s", writeErr, framing, name), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					conn := &fakeConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\n" + framing), blocked: make(chan struct{}), writeErr: writeErr}
					if name == "before" || isFramed {
						close(conn.blocked)
					} else {
						time.AfterFunc(20*time.Millisecond, func() { close(conn.blocked) }) // After the end of the answer was read.
					}
					body, err := read(conn)
					if writeErr == nil || isFramed {
						is.NoErr(err)
						is.Equal(body, "body")
						return
					}
					is.True(errors.Is(err, writeErr))
					var malformed *http1.MalformedError
					isLocal := writeErr == os.ErrDeadlineExceeded || writeErr == net.ErrClosed
					is.Equal(errors.As(err, &malformed), !isLocal)
				})
			}
		}
	}
}

// exchangeInTurn writes a request and reads the answer as clients do that do not check it themselves, but go on after a failed write.
func exchangeInTurn(conn net.Conn) (string, error) {
	checked := http1.NewConn(conn, nil)
	_, _ = io.WriteString(checked, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nu")
	resp, err := http.ReadResponse(bufio.NewReader(checked), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against an answer of a server that has ended it and takes nothing of its request any more, for which its client waits forever.
func TestUnfinishedWriteEndsTheWait(t *testing.T) {
	conn := &fakeConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nbody"), blocked: make(chan struct{})}
	defer close(conn.blocked)
	_, err := exchange(conn)
	var malformed *http1.MalformedError
	is.New(t).True(errors.As(err, &malformed))
}
