// Package integration runs the product's real processes on loopback behind a fault-injecting proxy.
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

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program, with the race detector when the tests have it, and runs the tests.
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

// process is one running process of the product or of a stand-in.
type process struct {
	t     testing.TB
	name  string
	args  []string
	cmd   *exec.Cmd
	out   *output.Buffer
	ended chan struct{}
	mu    sync.Mutex // Guards state.
	state *os.ProcessState
}

// start starts the binary with args. The process is killed when the test ends, and its log is shown when the test
// failed or the race detector spoke.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: args}
	p.launch()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		text := p.out.String()
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic: ") {
			t.Errorf("%s: race or panic", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
	return p
}

// tail returns the last lines of a log.
func tail(text string) string {
	const most = 6000
	if len(text) > most {
		return "..." + text[len(text)-most:]
	}
	return text
}

// launch starts the process, again after it has ended.
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
	p.ended = make(chan struct{})
	go func() {
		_, _ = io.Copy(p.out, stdout)
		_ = cmd.Wait()
		p.mu.Lock()
		p.state = cmd.ProcessState
		p.mu.Unlock()
		close(p.ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// freeze stops the process without its knowledge; wake lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) wake() { p.signal(syscall.SIGCONT) }

// terminate asks the process to shut down and returns its exit status.
func (p *process) terminate(limit time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.waitEnd(limit)
}

// waitEnd waits until the process has ended and returns its exit status.
func (p *process) waitEnd(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %s", p.name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ExitCode()
}

// listening returns the address that a stand-in printed.
func (p *process) listening() string {
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

// eventually fails the test when the condition does not come true in time. The limit is a safety net, not a bound.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
