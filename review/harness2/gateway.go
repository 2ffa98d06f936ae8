package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is the built program of the project.
const program = "target/redwinggauge"

// memoryMB is limits.memory_mb of the example settings of a 'front' machine.
const memoryMB = 134

// gateway is a process of the role 'gateway'.
type gateway struct {
	id, callers, ready, peers, settings string

	env []string // Beside the environment of this process.
	log *os.File
	cmd *exec.Cmd
	end chan struct{} // Closed when the process has ended.

	isStopped bool // The case has ended the process.
}

// loopback is a loopback address of this run. No other program takes ports of it for its own channels.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254))

// given holds the addresses that freeAddress has returned. It is used by one goroutine.
var given = make(map[string]bool)

// freeAddress returns a loopback address on which nothing listens, and never the same twice: a gateway may not listen there yet.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.end:
		return true
	default:
		return false
	}
}

// newGateway writes the settings of a gateway as deploy/gateway.yaml.tmpl has them.
func newGateway(dir, id, storeAddress string) (*gateway, error) {
	g := &gateway{
		id: id, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), settings: filepath.Join(dir, id+".yaml"),
	}
	text := fmt.Sprintf(`id: %q
failure_domain: "z1"
callers: %q
ready: %q
peers: %q
metrics: %q
capacity: 0.304
store: %q
memory_mb: %d
grace_s: 8
drain_ms: 2000
learn_speeds: true
log:
  format: json
`, id, g.callers, g.ready, g.peers, freeAddress(), storeAddress, memoryMB)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, id+".log"))
	g.log = log
	return g, err
}

// starts are the processes to start. One thread starts them all and lives as long as this process: the kernel ends a process with the thread
// that has started it.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// start starts the process. It ends with this one, however that ends.
func (g *gateway) start() error {
	g.cmd = exec.Command(program, "gateway", "-settings", g.settings)
	g.cmd.Env = append(os.Environ(), g.env...)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	starts <- func() { result <- g.cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	cmd, end := g.cmd, make(chan struct{})
	g.end = end
	go func() {
		_ = cmd.Wait()
		close(end)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.isStopped = true
	g.signal(syscall.SIGKILL)
	<-g.end
}

// awaitReady waits until the process answers that it is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.id + " is not ready")
}

// anonymousMB returns the anonymous resident memory of the process in MB, without the pages of its program file.
func (g *gateway) anonymousMB() float64 { return g.memoryMB("RssAnon:") }

// peakMB returns the most resident memory that the process had, in MB; 0 if it has ended.
func (g *gateway) peakMB() float64 { return g.memoryMB("VmHWM:") }

func (g *gateway) memoryMB(name string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == name {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}
