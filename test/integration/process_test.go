// Package integration tests clusters of real processes on loopback, connected through fault-injecting proxies.
package integration

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/test/output"
)

// binary is the path of the redwinggauge executable under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the executable, with the race detector if the tests are built with it, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "redwinggauge-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "redwinggauge")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../cmd/redwinggauge")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is a process of the executable under test, which may also run as a stand-in. It can be restarted.
type process struct {
	t      testing.TB
	name   string
	args   []string
	cmd    *exec.Cmd
	out    *output.Buffer
	exited chan struct{}
	mu     sync.Mutex // Guards state.
	state  *os.ProcessState
}

// start starts the executable with args. When the test ends, the process is killed; the test fails if the process
// reported a data race or a panic, and a failed test prints its log.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: args}
	p.launch()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		text := p.out.String()
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic: ") {
			t.Errorf("%s: data race or panic, see its log", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
	return p
}

// tail returns the end of a log.
func tail(text string) string {
	const maxBytes = 6000
	if len(text) > maxBytes {
		return "..." + text[len(text)-maxBytes:]
	}
	return text
}

// launch starts the process, or restarts it after it has ended.
func (p *process) launch() {
	p.t.Helper()
	cmd := exec.Command(binary, p.args...)
	if p.out == nil {
		p.out = &output.Buffer{}
	}
	cmd.Stderr = p.out
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	go func() {
		_, _ = io.Copy(p.out, stdout)
		_ = cmd.Wait()
		p.mu.Lock()
		p.state = cmd.ProcessState
		p.mu.Unlock()
		close(p.exited)
	}()
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze suspends the process with SIGSTOP, which it cannot notice; unfreeze lets it continue.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM and returns the exit status of the process.
func (p *process) terminate(limit time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.waitExit(limit)
}

// waitExit waits until the process has ended and returns its exit status.
func (p *process) waitExit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.t.Fatalf("%s did not exit within %s", p.name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ExitCode()
}

// listenAddress waits until a stand-in prints its listen address and returns the address.
func (p *process) listenAddress() string {
	p.t.Helper()
	var address string
	eventually(p.t, 30*time.Second, p.name+" listens", func() bool {
		lines := bufio.NewScanner(strings.NewReader(p.out.String()))
		for lines.Scan() {
			if rest, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
				address = rest
			}
		}
		return address != ""
	})
	return address
}

// eventually waits until the condition is true and fails the test if that takes longer than the limit. The limit only
// keeps a failing test from hanging; it is not a performance requirement.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
