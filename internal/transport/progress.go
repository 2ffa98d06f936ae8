package transport

import (
	"io"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// progressReader fails when bytes arrive but nothing useful has for too long. A read that waits for bytes is limited by
// idleConn.
type progressReader struct {
	source     io.Reader
	maxPause   time.Duration // 0 means no limit.
	progressAt time.Time
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if err == nil && p.maxPause > 0 && time.Since(p.progressAt) > p.maxPause {
		return n, &limits.StalledError{Pause: p.maxPause}
	}
	return n, err
}
