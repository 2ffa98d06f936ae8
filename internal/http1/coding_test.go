package http1_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/http1"
)

// Guards against an encoded body for a client that does not decode it, and against a refused one for a client that does.
func TestContentCodings(t *testing.T) {
	for _, c := range []struct {
		accept, coding string
		accepted       bool
	}{
		{"", "", true},
		{"", "identity", true},
		{"", "gzip", false},
		{"identity", "gzip", false},
		{"gzip", "gzip", true},
		{"br;q=0.5, GZIP ; q=1.0", "gzip", true},
		{"gzip;q=0", "gzip", false},
		{"gzip;q=0.000, br", "gzip", false},
		{"gzip;q=0.01", "gzip", true},
		{"*", "br", true},
		{"gzip", "gzip, br", false},
		{"gzip, br", "gzip, br", true},
		{"gzip", "identity, gzip", true},
	} {
		is := is.New(t)
		request, answer := http.Header{}, http.Header{}
		if c.accept != "" {
			request.Set("Accept-Encoding", c.accept)
		}
		if c.coding != "" {
			answer.Set("Content-Encoding", c.coding)
		}
		is.Equal(http1.CheckContentCoding(request, answer) == nil, c.accepted) // accept, coding
	}
}
