package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// play is a deployment on loopback addresses.
type play struct {
	record  *record
	trouble bool // The disruption is played.

	folder   string
	store    *standin.Store
	gateways []*gatewayProcess
}

// bounds are the settings of a deployment that differ between installations.
type bounds struct {
	memoryMB int
	drainMS  int
	capacity float64
}

const (
	graceS       = 8
	restartDelay = 500 * time.Millisecond // Until the platform starts a process again that has ended.
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	binary       = "target/redwinggauge"
)

// fail ends the play as one that could not run.
func fail(format string, values ...any) { panic(cannotRun{fmt.Sprintf(format, values...)}) }

// must ends the play if there is an error.
func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// start starts the platform's store with a configuration, and the gateways.
func (p *play) start(configuration any, gateways int, b bounds) {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	p.folder, p.store = folder, standin.NewStore()
	p.store.Put("op/config", configuration)
	addresses := freeAddresses(addressesOfGateway * gateways)
	for i := range gateways {
		p.gateways = append(p.gateways, p.newGateway(i, b, addresses[i*addressesOfGateway:]))
	}
	for _, g := range p.gateways {
		if g.start() {
			go g.watch()
		}
	}
}

// awaitReady waits until all gateways take new channels.
func (p *play) awaitReady() {
	for _, g := range p.gateways {
		if !g.awaitReady() {
			fail("%s is not ready", g.name)
		}
	}
	p.record.add("all gateways are ready")
}

// end stops what the play has started.
func (p *play) end() {
	for _, g := range p.gateways {
		g.end()
	}
	if p.store != nil {
		p.store.Close()
	}
	if p.folder != "" {
		_ = os.RemoveAll(p.folder)
	}
}

// Ports of the gateways lie below those that operating systems hand out themselves, so that no stand-in gets one of them meanwhile.
const (
	firstPort = 20_000
	ports     = 10_000
)

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(n int) []string {
	var listeners []net.Listener
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > ports {
			fail("no free ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil {
			listeners, list = append(listeners, l), append(list, l.Addr().String())
		}
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return list
}

// gatewayProcess is a gateway, which the platform starts again whenever it ends, and kills when it uses more than its memory.
type gatewayProcess struct {
	name           string
	callers, ready string
	settings       string
	log            string
	memoryMB       int
	record         *record

	mu       sync.Mutex
	cmd      *exec.Cmd   // Guarded by mu.
	stopped  bool        // Guarded by mu. The play is over.
	killedAt []time.Time // Guarded by mu. When the process was killed because of its memory.
	peakMB   int         // Guarded by mu.
	done     chan struct{}
}

// addressesOfGateway is how many addresses a gateway listens at.
const addressesOfGateway = 4

func (p *play) newGateway(i int, b bounds, a []string) *gatewayProcess {
	g := &gatewayProcess{
		name: fmt.Sprintf("front-%d", i+1), callers: a[0], ready: a[1], memoryMB: b.memoryMB, record: p.record, done: make(chan struct{}),
	}
	g.settings, g.log = filepath.Join(p.folder, g.name+".yaml"), filepath.Join(p.folder, g.name+".log")
	text := fmt.Sprintf(`id: %q
failure_domain: "z%d"
callers: %q
ready: %q
peers: %q
metrics: %q
capacity: %g
store: %q
memory_mb: %d
grace_s: %d
drain_ms: %d
learn_speeds: true
log:
  format: json
`, g.name, i%3+1, a[0], a[1], a[2], a[3], b.capacity, p.store.Address(), b.memoryMB, graceS, b.drainMS)
	must(os.WriteFile(g.settings, []byte(text), 0o600))
	return g
}

// start starts the process, unless the play is over. It holds the lock meanwhile, so that end either hinders the start or sees the process.
func (g *gatewayProcess) start() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, "gateway", "-settings", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Also if this program is killed.
	must(cmd.Start())
	g.cmd = cmd
	g.record.add("%s: process %d started", g.name, cmd.Process.Pid)
	return true
}

// watch waits for the end of the process and starts it again, until the play is over. Meanwhile it looks after its memory.
func (g *gatewayProcess) watch() {
	defer close(g.done)
	for {
		g.mu.Lock()
		cmd := g.cmd
		g.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = cmd.Wait()
			close(ended)
		}()
		g.watchMemory(cmd, ended)
		g.mu.Lock()
		stopped := g.stopped
		g.mu.Unlock()
		if stopped {
			return
		}
		g.record.add("%s: process %d has ended: %v", g.name, cmd.Process.Pid, cmd.ProcessState)
		time.Sleep(restartDelay)
		if !g.start() {
			return
		}
	}
}

// watchMemory kills the process when it uses more memory than its machine has, as the platform does, and returns when it has ended.
func (g *gatewayProcess) watchMemory(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(pollInterval):
		}
		used := residentMB(cmd.Process.Pid)
		g.mu.Lock()
		g.peakMB = max(g.peakMB, used)
		over := used > g.memoryMB && !g.stopped
		if over {
			g.killedAt = append(g.killedAt, time.Now())
		}
		g.mu.Unlock()
		if over {
			g.record.add("%s: process %d uses %d MB, more than the %d MB of its machine, and is killed", g.name, cmd.Process.Pid, used, g.memoryMB)
			_ = cmd.Process.Kill()
			<-ended
			return
		}
	}
}

// residentMB returns the memory that a process uses, in MiB; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// killed returns when the process was killed because of its memory, and the most memory that it has used.
func (g *gatewayProcess) killed() (at []time.Time, peakMB int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]time.Time(nil), g.killedAt...), g.peakMB
}

// kill kills the process, which the platform starts again.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.add("%s: process %d is killed", g.name, g.cmd.Process.Pid)
	_ = g.cmd.Process.Kill()
}

// isReady asks the process whether it takes new channels.
func (g *gatewayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/-/ready", nil)
	must(err)
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gatewayProcess) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// end kills the process for good.
func (g *gatewayProcess) end() {
	g.mu.Lock()
	g.stopped = true
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-g.done
	if folder := os.Getenv("REVIEW_KEEP_LOGS"); folder != "" {
		data, _ := os.ReadFile(g.log)
		_ = os.WriteFile(filepath.Join(folder, g.name+".log"), data, 0o600)
	}
}

// sizeOf returns the number of bytes of a value in the store.
func sizeOf(v any) int {
	data, err := json.Marshal(v)
	must(err)
	return len(data)
}
