// Package limits bounds what another process may send in one exchange. A server in trouble may send bytes that are no answer
// without end, or stall while it sends a byte now and then.
package limits

import (
	"fmt"
	"io"
	"math"
	"time"
)

// A TooLargeError reports that a server sent more bytes than it may.
type TooLargeError struct {
	Part  string // What the bytes belong to.
	Limit int64  // In bytes.
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d bytes", e.Part, e.Limit)
}

// A StalledError reports that a server made no progress for too long, though it may have sent bytes.
type StalledError struct{ Pause time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("no progress for %v", e.Pause) }

// Timeout implements the method of net.Error.
func (e *StalledError) Timeout() bool { return true }

// Stream holds the limits of a stream of events.
type Stream struct {
	Bytes    int64         // Of all events together.
	MaxPause time.Duration // Longest time between two complete events; 0: no limit.
}

// Reader fails after a number of bytes. It is not safe for concurrent use.
type Reader struct {
	source   io.Reader
	left     int64 // Bytes that may still be read.
	tooLarge error // Returned when none is left.
}

// NewReader returns a Reader that permits any number of bytes until Allow is called.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, left: math.MaxInt64} }

// Allow permits n more bytes. Reads after them return tooLarge.
func (r *Reader) Allow(n int64, tooLarge error) { r.left, r.tooLarge = n, tooLarge }

// AllowAll permits any number of bytes.
func (r *Reader) AllowAll() { r.Allow(math.MaxInt64, nil) }

// Left returns the number of bytes that may still be read.
func (r *Reader) Left() int64 { return r.left }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, r.tooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.source.Read(p)
	r.left -= int64(n)
	return n, err
}
