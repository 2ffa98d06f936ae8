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
	"sync"
	"syscall"
	"time"
)

// gateway is a gateway process of the project.
type gateway struct {
	name, callers, ready string
	settings, log        string
	record               *recorder
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// Ports at which the processes and stand-ins listen. Outgoing connections use higher ones, so that an address stays free while its
// process or stand-in is down.
const (
	minPort = 20000
	maxPort = 32000
)

// ports holds the ports that were handed out: a process may not yet listen at its own.
var ports = struct {
	sync.Mutex
	used map[int]bool
}{used: make(map[int]bool)}

// listen listens on a free loopback address that was not handed out before.
func listen() (net.Listener, error) {
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		port := minPort + rand.IntN(maxPort-minPort)
		if ports.used[port] {
			continue
		}
		ports.used[port] = true
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no port is free")
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newGateway writes the settings of a gateway, as the template of the deploy file fills them in for a small machine, and starts it.
func newGateway(record *recorder, folder, name, store string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	g := &gateway{
		name: name, callers: addresses[0], ready: addresses[1], record: record,
		settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"),
	}
	text := fmt.Sprintf(`id: %q
failure_domain: "z1"
callers: %q
ready: %q
peers: %q
metrics: %q
capacity: 0.304
store: %q
memory_mb: 134
grace_s: 8
drain_ms: 2000
learn_speeds: true
log:
  format: json
`, name, addresses[0], addresses[1], addresses[2], addresses[3], store)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return g, g.start()
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/redwinggauge", "gateway", "-settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // It ends with this process, however that ends.
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.record.add("gateway "+g.name, "start", "pid", g.cmd.Process.Pid, "callers", g.callers)
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.record.add("gateway "+g.name, "signal", "signal", s.String())
	_ = g.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// awaitReady waits until the gateway reports that it is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v", g.name, limit)
}
