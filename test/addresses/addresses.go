// Package addresses allocates loopback addresses for the processes that tests start.
package addresses

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// The ports lie below the ephemeral port range and are divided into blocks. A test process owns a block while it listens
// on the first port of the block. Ports chosen by the operating system are not used: among hundreds, some are chosen
// twice, and then one process receives the requests meant for another.
const (
	firstPort     = 12_000
	portsPerBlock = 2000
	blockCount    = 10
)

// portBlock is the block that this process owns.
var portBlock struct {
	once  sync.Once
	lock  net.Listener // Listens on the first port of the block; nil if no block was free.
	first int64        // First port of the block.
	next  atomic.Int64 // Number of addresses tried so far.
}

// claimBlock takes ownership of the first free block until the process exits.
func claimBlock() {
	// Package os forks once without ForkLock, to find out what the system can do, before it first starts or finds a process.
	_, _ = os.FindProcess(os.Getpid())
	for i := range blockCount {
		first := firstPort + i*portsPerBlock
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			portBlock.lock, portBlock.first = lock, int64(first)
			return
		}
	}
}

// Free returns a loopback address, host:port, on which nothing listens and which no other concurrent test gets.
func Free(t testing.TB) string {
	t.Helper()
	portBlock.once.Do(claimBlock)
	if portBlock.lock == nil {
		t.Fatal("no free port block")
	}
	for range portsPerBlock {
		address := fmt.Sprintf("127.0.0.1:%d", portBlock.first+1+portBlock.next.Add(1)%(portsPerBlock-1))
		if canListen(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// canListen reports whether nothing listens on the address. A process forked meanwhile would hold the listener until its exec.
func canListen(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
