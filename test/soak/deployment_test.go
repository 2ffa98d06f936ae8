package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/redwinggauge/redwinggauge/platform/standin"
	"github.com/redwinggauge/redwinggauge/test/addresses"
)

// gateway is a gateway process and the proxy between it and the store.
type gateway struct {
	name          string
	callerAddress string
	settingsFile  string
	storeLink     *toxiproxy.Proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	log       *os.File
	logOffset int64 // Size of the log file when the process was started.
}

// deployment contains the store, the backend servers and the gateways for one seed.
type deployment struct {
	t        *testing.T
	binary   string
	folder   string
	drain    time.Duration // Setting drain_ms of the gateways.
	store    *standin.Store
	servers  []*standin.Server
	gateways []*gateway
	ledger   *ledger // Nil if the deployment has no organisations.
}

// newDeployment starts a deployment with three backend servers for each of two services, under a configuration.
func newDeployment(t *testing.T, binary string, gateways int, configuration map[string]any) *deployment {
	t.Helper()
	return startDeployment(t, binary, gateways, configuration, drainTime)
}

// startDeployment is newDeployment with another drain time.
func startDeployment(t *testing.T, binary string, gateways int, configuration map[string]any, drain time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t, binary: binary, folder: t.TempDir(), drain: drain, store: standin.NewStore()}
	t.Cleanup(d.store.Close)
	d.store.Put("op/config", configuration)
	for i := range 3 {
		for _, service := range []string{"llm", "app"} {
			server := standin.NewServer(fmt.Sprintf("%s-%d", service, i))
			t.Cleanup(server.Close)
			server.Version = []string{"v1", "v1", "v2"}[i]
			d.servers = append(d.servers, server)
			d.store.Put("servers/"+server.ID, server.Entry(service, "ready"))
		}
	}
	for i := range gateways {
		d.gateways = append(d.gateways, d.newGateway(i))
	}
	for _, g := range d.gateways {
		d.start(g)
	}
	t.Cleanup(d.stopAll)
	return d
}

// newGateway starts the proxy of a gateway and writes its settings file.
func (d *deployment) newGateway(i int) *gateway {
	d.t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	g := &gateway{name: fmt.Sprintf("gateway-%d", i), callerAddress: addresses.Free(d.t)}
	g.storeLink = toxiproxy.NewProxy(server, g.name, addresses.Free(d.t), d.store.Address())
	if err := g.storeLink.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(g.storeLink.Stop)
	g.settingsFile = filepath.Join(d.folder, g.name+".yaml")
	text := fmt.Sprintf("id: %s\nfailure_domain: z%d\ncallers: %q\nready: %q\npeers: %q\nstore: %q\ngrace_s: 4\ndrain_ms: %d\nmemory_mb: %d\n",
		g.name, i%3, g.callerAddress, addresses.Free(d.t), addresses.Free(d.t), g.storeLink.Listen, d.drain.Milliseconds(), gatewayMemoryMB)
	if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return g
}

// start starts the process of a gateway unless it is running.
func (d *deployment) start(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(d.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	if info, err := log.Stat(); err == nil {
		g.logOffset = info.Size()
	}
	cmd := exec.Command(d.binary, "gateway", "-settings", g.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	g.cmd, g.log = cmd, log
}

// signal sends a signal to the process of the gateway if it is running.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// stop sends a signal to the process of a gateway and waits until the process has ended. It continues a process that is
// stopped by SIGSTOP. A gateway that has started must exit with status 0 on SIGTERM.
func (d *deployment) stop(g *gateway, s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Signal(s)
	err := g.cmd.Wait()
	var exit *exec.ExitError
	if s == syscall.SIGTERM && errors.As(err, &exit) && g.hasStarted() {
		d.t.Errorf("%s exited after SIGTERM: %v", g.name, err)
	}
	_ = g.log.Close()
	g.cmd = nil
}

// hasStarted reports whether the process has logged that it serves requests. Before that it has no open port, and the Go
// runtime may not have installed its signal handlers yet, so the process may be terminated by the signal itself.
func (g *gateway) hasStarted() bool {
	data, err := os.ReadFile(g.log.Name())
	return err == nil && int64(len(data)) > g.logOffset && strings.Contains(string(data[g.logOffset:]), `"msg":"start"`)
}

// hub returns the gateway that was last chosen as the hub, by the logs.
func (d *deployment) hub() *gateway {
	hub, latest := d.gateways[0], ""
	for _, g := range d.gateways {
		data, err := os.ReadFile(filepath.Join(d.folder, g.name+".log"))
		if err != nil {
			d.t.Error(err)
		}
		for _, line := range bytes.Split(data, []byte("\n")) {
			var chosen struct{ Time, Msg, Hub string }
			if json.Unmarshal(line, &chosen) != nil || chosen.Msg != "hub chosen" || chosen.Time < latest {
				continue
			}
			for _, candidate := range d.gateways {
				if candidate.name == chosen.Hub {
					hub, latest = candidate, chosen.Time
				}
			}
		}
	}
	return hub
}

// stopAll kills all gateways. If the test failed, it copies their logs to the directory for temporary files.
func (d *deployment) stopAll() {
	for _, g := range d.gateways {
		d.stop(g, syscall.SIGKILL)
	}
	if d.t.Failed() {
		for _, g := range d.gateways {
			log, _ := os.ReadFile(filepath.Join(d.folder, g.name+".log"))
			_ = os.WriteFile(filepath.Join(os.TempDir(), strings.ReplaceAll(d.t.Name(), "/", "-")+"-"+g.name+".log"), log, 0o600)
		}
	}
}

// awaitReady waits until the first gateway serves calls with the key.
func (d *deployment) awaitReady(key string) {
	d.t.Helper()
	for range 500 {
		call := standin.Call{ID: "ready", Address: d.gateways[0].callerAddress, Route: "lookup", Key: key}
		req, err := call.Request(context.Background())
		if err != nil {
			d.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatal("the first gateway did not become ready")
}
