// Package addresses gives tests loopback addresses for processes that they start.
package addresses

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Ports below the range from which the system takes ports for outgoing connections, in blocks. A test process owns a
// block while it listens on the block's first port. Of ports that the system draws, some are drawn twice among hundreds,
// and one process answers in place of another.
const (
	firstPort  = 12_000
	blockPorts = 2000
	blocks     = 10
)

// block hands out the ports of this process's block.
var block struct {
	once  sync.Once
	guard net.Listener
	first int64
	next  atomic.Int64
}

// claim takes the first free block for the life of the process.
func claim() {
	for i := range blocks {
		first := firstPort + i*blockPorts
		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			block.guard, block.first = guard, int64(first)
			return
		}
	}
}

// Free returns a loopback address, host:port, that nothing listens on and that no other test gets.
func Free(t testing.TB) string {
	t.Helper()
	block.once.Do(claim)
	if block.guard == nil {
		t.Fatal("no free block of ports")
	}
	for range blockPorts {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+1+block.next.Add(1)%(blockPorts-1))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
