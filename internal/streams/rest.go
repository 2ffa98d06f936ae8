package streams

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
)

// mediaType is that of an event stream.
const mediaType = "text/event-stream"

// CheckRest returns an error if an answer with the head cannot be the rest of a stream that has begun. What has begun to reach the caller
// as a stream can only go on as one: anything else would end up in the middle of it, or end it as if it were whole.
func CheckRest(status int, header http.Header) error {
	if status != http.StatusOK {
		return fmt.Errorf("the server that should resume the stream answered %d", status)
	}
	if encoding := header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("the rest of the stream is encoded: %q", encoding)
	}
	if given := header.Get("Content-Type"); given != "" && !isEventStream(header) {
		return fmt.Errorf("the server that should resume the stream answered with %q", given)
	}
	return nil
}

// CheckEmptyRest returns an error if an answer with the header and without any event does not show that nothing was left of the stream.
// framed means that its end is marked by a length or by chunks: an empty one that ends with its connection may have been cut.
func CheckEmptyRest(header http.Header, framed bool) error {
	if framed && isEventStream(header) {
		return nil
	}
	return errors.New("the server that should resume the stream sent no event")
}

func isEventStream(header http.Header) bool {
	given, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && given == mediaType
}
