// Package output keeps what processes under test write.
package output

import (
	"bytes"
	"sync"
)

// Buffer keeps what is written to it. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	data bytes.Buffer // Guarded by mu.
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
