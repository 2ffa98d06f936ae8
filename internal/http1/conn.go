package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// Conn is a connection of a client whose own reader of answers is more liberal than the protocol. It checks each answer and hands it on as
// it is understood here: head and body leave no room for another reading, and informational answers and trailers are left out. The client
// must write a whole request before it reads the answer. Reads and writes must not be concurrent.
type Conn struct {
	net.Conn
	onMalformed func(*MalformedError)
	meter       *limits.Reader // Limits what reader reads of the connection.
	reader      *bufio.Reader
	written     bool     // A request, or a part of it, was written after the last read.
	sending     *Sending // Of the latest request.
	method      string   // Of the latest request.
	body        io.Reader
	inChunks    bool
	buffer      []byte // For parts of a body in chunks.
	ready       []byte // To be handed on.
	err         error  // Returned once ready is empty.
}

// NewConn returns a Conn. If onMalformed is not nil, it is called for each answer that is none of the protocol.
func NewConn(conn net.Conn, onMalformed func(*MalformedError)) *Conn {
	meter := limits.NewReader(conn)
	reader := bufio.NewReaderSize(meter, connBufferBytes)
	return &Conn{Conn: conn, onMalformed: onMalformed, meter: meter, reader: reader, sending: NewSending(conn)}
}

const connBufferBytes = 4 << 10

// ErrUnsolicited means that a server sent bytes that belong to no request. Nothing was written.
var ErrUnsolicited = errors.New("the server sent more than its answer on the connection")

// Write implements net.Conn. A server that ends the connection may have answered before, as it need not read a request that it refuses. So
// the error is left to Read, which returns it if there is no answer.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.written {
		if c.reader.Buffered() > 0 {
			return 0, ErrUnsolicited
		}
		method, _, _ := bytes.Cut(p, []byte(" "))
		c.method = string(method)
		c.written, c.body, c.ready, c.err = true, nil, nil, nil
		c.sending = NewSending(c.Conn)
	}
	if c.sending.isCutByServer() {
		return len(p), nil
	}
	n, err := c.sending.Write(p)
	if c.sending.isCutByServer() {
		return len(p), nil
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.written = false
	for len(c.ready) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.body == nil:
			c.readHead()
		case c.inChunks:
			c.readChunk()
		default:
			n, err := c.body.Read(p)
			if err != nil {
				c.fail(err)
			}
			return n, err
		}
	}
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return n, nil
}

// unfinishedHead precedes the error of a malformed head: clients take an error before the first byte for a closed connection.
const unfinishedHead = "HTTP/1.1 "

// readHead reads the head of the final answer.
func (c *Conn) readHead() {
	c.meter.Allow(MaxHeadBytes, &limits.TooLargeError{Part: "the head of the answer", Limit: MaxHeadBytes})
	defer c.meter.AllowAll()
	for {
		head, err := ReadHead(c.reader, c.method)
		if err == nil && head.Status == http.StatusSwitchingProtocols {
			err = ErrProtocolSwitched
		}
		var malformed *MalformedError
		if err != nil && c.sending.isCutByServer() && !errors.As(err, &malformed) {
			err = c.sending.err
		}
		if err != nil {
			c.fail(err)
			return
		}
		if head.IsInformational() {
			continue
		}
		head.Close = head.Close || !c.sending.IsWritten()
		c.body, c.inChunks = head.Body(c.reader, c.sending), head.chunked && !head.noBody
		c.ready = head.Append(c.ready[:0])
		return
	}
}

// fail makes all further reads return the error.
func (c *Conn) fail(err error) {
	c.err = err
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		return
	}
	if c.onMalformed != nil {
		c.onMalformed(malformed)
	}
	if c.body == nil {
		c.ready = append(c.ready[:0], unfinishedHead...)
	}
}

// readChunk reads a part of the body.
func (c *Conn) readChunk() {
	if c.buffer == nil {
		c.buffer = make([]byte, connBufferBytes)
	}
	n, err := c.body.Read(c.buffer)
	c.ready = c.ready[:0]
	if n > 0 {
		c.ready = append(strconv.AppendInt(c.ready, int64(n), 16), "\r\n"...)
		c.ready = append(append(c.ready, c.buffer[:n]...), "\r\n"...)
	}
	switch {
	case errors.Is(err, io.EOF):
		c.ready, c.err = append(c.ready, "0\r\n\r\n"...), io.EOF
	case err != nil:
		c.fail(err)
	}
}

// Append appends the head as it was understood.
func (h *Head) Append(data []byte) []byte {
	data = append(data, "HTTP/1.1 "...)
	data = strconv.AppendInt(data, int64(h.Status), 10)
	data = append(data, " \r\n"...)
	for name, values := range h.Header {
		switch name {
		case "Connection", "Content-Length", "Transfer-Encoding":
			continue
		}
		for _, value := range values {
			data = appendField(data, name, value)
		}
	}
	if h.Close {
		data = appendField(data, "Connection", "close")
	}
	if h.chunked {
		data = appendField(data, "Transfer-Encoding", "chunked")
	} else if h.length >= 0 {
		data = appendField(data, "Content-Length", strconv.FormatInt(h.length, 10))
	}
	return append(data, "\r\n"...)
}

func appendField(data []byte, name, value string) []byte {
	data = append(append(data, name...), ": "...)
	return append(append(data, value...), "\r\n"...)
}
