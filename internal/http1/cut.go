package http1

import (
	"errors"
	"io"
	"net"
	"os"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// cutShort returns the error for a part of an answer in or after which reading, or the sending of its request, has ended with err. The answer
// is a broken one, unless this process ended it: by a limit, a deadline or a cancellation.
func cutShort(part Reason, detail string, err error) error {
	var tooLarge *limits.TooLargeError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return &MalformedError{Reason: part, Detail: detail, Err: err}
}

// cutBody is cutShort for a body whose connection has ended in it.
func cutBody(err error) error {
	return cutShort(IncompleteBody, "the connection ended in the body", err)
}
