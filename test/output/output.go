// Package output captures the output of processes under test.
package output

import (
	"bytes"
	"sync"
)

// Buffer is an io.Writer that keeps everything written to it. It is safe for concurrent use.
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

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
