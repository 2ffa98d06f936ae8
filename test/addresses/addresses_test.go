package addresses

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// TestFreeAddressCanBeListenedOnWhileProcessesStart guards against an address that a child process still holds for a moment.
func TestFreeAddressCanBeListenedOnWhileProcessesStart(t *testing.T) {
	done := make(chan struct{})
	var starters, listeners sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 4 {
		listeners.Go(func() {
			for range 400 {
				listener, err := net.Listen("tcp", Free(t))
				if err != nil {
					t.Error(err)
					return
				}
				_ = listener.Close()
			}
		})
	}
	listeners.Wait()
	close(done)
	starters.Wait()
}
