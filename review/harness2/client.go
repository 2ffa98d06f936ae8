package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// request is one requester attempt.
type request struct {
	method, path, id string
	header           []string // Lines of the head without line breaks.
	body             string
	wait             time.Duration
}

// answer is what a requester sees of an attempt.
type answer struct {
	status   int // 0 if no head arrived.
	sealed   bool
	body     string
	complete bool // The whole answer arrived.
	err      error
	took     time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d sealed=%v complete=%v bytes=%d ms=%d err=%v", a.status, a.sealed, a.complete, len(a.body), a.took.Milliseconds(), a.err)
}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is a kept channel of a requester.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a channel within a second, as requesters do.
func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a request and reads its answer. The channel can be used again if reusable is set.
func (c *channel) do(q request) (a answer, reusable bool) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	_ = c.conn.SetDeadline(start.Add(q.wait + 500*time.Millisecond))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.wait.Milliseconds())
	for _, line := range q.header {
		head.WriteString(line + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, head.String()+q.body); err != nil {
		a.err = err // The answer may have been sent all the same.
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = errors.Join(a.err, err)
		return a, false
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("Response-Seal") != ""
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	return a, err == nil && !resp.Close
}

// ask sends a request on a channel of its own.
func ask(address string, q request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	a, _ := c.do(q)
	return a
}

// turn returns a turn of a program.
func turn(path, program, previous, body string, wait time.Duration) request {
	q := request{
		method: http.MethodPost, path: path, id: newID(), body: body, wait: wait,
		header: []string{
			"Model: m", "Program-Id: " + program, "Session-Id: " + program, "Token-Budget: 100000", "Token-Count: 100,60",
			"Prompt-Prefix: 5c1e07a2:80," + fmt.Sprintf("%08x", rand.Uint32()) + ":20", "Finish-Ms: 30000",
		},
	}
	if previous != "" {
		q.header = append(q.header, "Previous-Turn: "+previous)
	}
	return q
}
