package integration

import (
	"os/exec"
	"testing"
)

// Guards against a proxy that cannot listen again because its former listener still exists.
func TestLinkReconnectsBesideStartsOfProcesses(t *testing.T) {
	l := newLink(t, "reconnect", "127.0.0.1:1")
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				_ = exec.Command("true").Run()
			}
		}
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for range 2000 {
		l.disconnect()
		l.reconnect()
	}
}
