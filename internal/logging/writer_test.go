package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/logging"
)

// stalledWriter is an output whose writes block until it is released.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStalledOutputDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	w := logging.NewWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			_, _ = w.Write([]byte(`{"msg":"call"}` + "\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write waits for the output")
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	is.True(strings.Contains(out.String(), `"msg":"log lines dropped"`))
	is.True(strings.Count(out.String(), "\n") < 50_000) // the volume is bounded
}

func TestCloseWritesLastLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	is.Equal(out.String(), "last\n")
}
