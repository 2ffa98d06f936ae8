package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// Body returns a reader of the answer's body, which follows its head in r. sending is that of its request. The reader returns io.EOF only
// at the end of a complete body, with its trailers, which are dropped. A body that is cut, or breaks the protocol, is a *MalformedError,
// unless this process has ended the connection.
func (h *Head) Body(r *bufio.Reader, sending *Sending) io.Reader {
	switch {
	case h.noBody:
		return eofReader{}
	case h.chunked:
		return &chunkedReader{source: r, chunks: httputil.NewChunkedReader(r)}
	case h.length >= 0:
		return &lengthReader{source: r, left: h.length}
	}
	return &untilEndReader{source: r, sending: sending}
}

// eofReader is an empty body.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// lengthReader reads a body of a given length.
type lengthReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	switch {
	case err != nil && l.left > 0:
		err = cutBody(err)
	case err != nil:
		err = io.EOF
	}
	return n, err
}

// untilEndReader reads a body that ends with its connection. It is complete if the server has ended the connection in order, and has got
// the whole request (RFC 9112, sections 8 and 9.6).
type untilEndReader struct {
	source  io.Reader
	sending *Sending
	err     error // Returned by all further reads.
}

// Read implements io.Reader.
func (u *untilEndReader) Read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		u.err = io.EOF
		if unsent := u.sending.await(); unsent != nil {
			u.err = cutShort(IncompleteBody, "the connection ended before the server had the whole request", unsent)
		}
	case err != nil:
		u.err = cutBody(err)
	}
	return n, u.err
}

// chunkedReader reads a body in chunks with its trailers.
type chunkedReader struct {
	source    *bufio.Reader
	chunks    io.Reader
	lastChunk bool  // The last chunk was read.
	err       error // Returned by all further reads.
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.lastChunk {
		c.err = c.readTrailers()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.chunks.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		c.lastChunk = true
		if n == 0 { // Otherwise the data need not wait for the trailers.
			c.err = c.readTrailers()
		}
	case err != nil:
		c.err = chunkError(err)
	}
	return n, c.err
}

// chunkError returns the error for one of the reader of chunks, which returns those of the connection as they are.
func chunkError(err error) error {
	var network net.Error
	var tooLarge *limits.TooLargeError
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.As(err, &tooLarge) {
		return cutBody(err)
	}
	return &MalformedError{Reason: Chunk, Detail: "the body is not in chunks", Err: err}
}

// readTrailers reads the trailers up to the empty line that ends the answer, and returns io.EOF if they are valid.
func (c *chunkedReader) readTrailers() error {
	size := 0
	var line []byte
	for {
		part, err := c.source.ReadSlice('\n')
		line = append(line, part...)
		size += len(part)
		switch {
		case size > MaxHeadBytes:
			return &limits.TooLargeError{Part: "the trailers of the answer", Limit: MaxHeadBytes}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return cutBody(err)
		}
		text := string(trimLineEnd(line))
		if text == "" {
			return io.EOF
		}
		if _, _, err := parseField(text); err != nil {
			return &MalformedError{Reason: Trailer, Detail: "a trailer is no field line", Err: err}
		}
		line = line[:0]
	}
}
