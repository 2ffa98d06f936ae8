package integration

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/test/addresses"
)

// shape says what a cluster consists of. Zero counts take defaults.
type shape struct {
	entries, engines, services int
	entryYAML                  string   // Further settings of every entry.
	sidecarYAML                string   // Further settings of every sidecar.
	kvArgs, engineArgs         []string // Further flags of the stand-ins.
	serviceArgs                []string
	slots                      int  // Of every sidecar.
	defaults                   bool // Entries keep the default times of heartbeats and of death.
}

// entryNode is an entry with its links: its own to the key-value service, and the ones that lead to it.
type entryNode struct {
	*process
	id       string
	callers  *link
	internal *link
	kv       *link
	operator string
	direct   string // Callers' address without a proxy.
}

// backendNode is a backend server with its sidecar.
type backendNode struct {
	id      string
	backend *process
	address string // Of the backend server itself.
	link    *link  // Sidecar to backend server.
	sidecar *process
	inbound *link // Entries to sidecar.

	sidecarAddress string // Of the sidecar itself.
}

// cluster is a whole system of real processes.
type cluster struct {
	t          testing.TB
	dir        string
	kv         *process
	kvAddress  string
	membership string
	token      string // Of this cluster's processes: a stray one of another cluster is refused.
	entries    []*entryNode
	engines    []*backendNode
	services   []*backendNode
}

const (
	testModel   = "demo-lm"
	testService = "archive"

	operatorToken = "integration-operator-token"
)

// startCluster starts the processes and waits until the cluster serves.
func startCluster(t testing.TB, s shape) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), token: rand.Text()}
	c.kv = start(t, "kv", append([]string{"standin", "-kind", "kv", "-kv-write-delay", "2ms", "-kv-read-delay", "1ms"}, s.kvArgs...)...)
	c.kvAddress = c.kv.listening()
	c.membership = start(t, "members", "standin", "-kind", "members").listening()
	for i := range orDefault(s.engines, 2) {
		args := append([]string{"-models", testModel, "-slots", "8", "-prefill-rate", "20000", "-decode-rate", "300", "-cache-tokens", "100000"}, s.engineArgs...)
		c.engines = append(c.engines, c.startBackend(fmt.Sprintf("engine-%d", i+1), "engine", testModel, s, args))
	}
	for i := range orDefault(s.services, 2) {
		c.services = append(c.services, c.startBackend(fmt.Sprintf("archive-%d", i+1), "service", testService, s, s.serviceArgs))
	}
	c.submitOnly(func(*policy.Config) {})
	for i := range orDefault(s.entries, 2) {
		c.entries = append(c.entries, c.startEntry(fmt.Sprintf("entry-%d", i+1), s))
	}
	c.waitReady()
	return c
}

func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// startBackend starts a stand-in backend server and its sidecar and lists it.
func (c *cluster) startBackend(id, kind, serves string, s shape, args []string) *backendNode {
	c.t.Helper()
	b := &backendNode{id: id, address: addresses.Free(c.t)}
	b.backend = start(c.t, id, append([]string{"standin", "-kind", kind, "-name", id, "-listen", b.address}, args...)...)
	b.backend.listening()
	b.link = newLink(c.t, id+"-backend", b.address)
	listen := addresses.Free(c.t)
	b.sidecarAddress = listen
	file := c.write(id+".yaml", fmt.Sprintf("name: %s\nlisten: %s\nkind: %s\nbackend: %s\nslots: %d\ntoken: %s\nlog: {level: info}\n%s",
		id, listen, kind, b.link.address(), orDefault(s.slots, 8), c.token, s.sidecarYAML))
	b.sidecar = start(c.t, id+"-sidecar", "sidecar", "-settings", file)
	b.inbound = newLink(c.t, id+"-inbound", listen)
	c.list(ports.Member{
		ID: id, Role: ports.RoleBackend, Address: b.inbound.address(), Region: "r1", FailureDomain: "r1-a", Kind: kind, Service: serves,
	})
	return b
}

// startEntry starts an entry and lists it.
func (c *cluster) startEntry(id string, s shape) *entryNode {
	c.t.Helper()
	e := &entryNode{id: id, operator: addresses.Free(c.t)}
	callers, internal := addresses.Free(c.t), addresses.Free(c.t)
	e.kv = newLink(c.t, id+"-kv", c.kvAddress)
	e.internal = newLink(c.t, id+"-internal", internal)
	e.callers = newLink(c.t, id+"-callers", callers)
	times := "heartbeat_ms: 200\ndead_after_ms: 1000\n"
	if s.defaults {
		times = ""
	}
	e.direct = callers
	file := c.write(id+".yaml", fmt.Sprintf(`id: %s
region: r1
failure_domain: r1-a
listen: %s
operator_listen: %s
internal_listen: %s
advertise: %s
kv: [%q]
membership: %s
token: %s
%soperators: [{name: tester, token: %s}]
log: {level: info}
%s`, id, callers, e.operator, internal, e.internal.address(), e.kv.address(), c.membership, c.token, times, operatorToken, s.entryYAML))
	e.process = start(c.t, id, "entry", "-settings", file)
	c.list(ports.Member{ID: id, Role: ports.RoleEntry, Address: e.internal.address(), Region: "r1", FailureDomain: "r1-a"})
	return e
}

// write writes a settings file.
func (c *cluster) write(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// list puts a member on the membership list.
func (c *cluster) list(m ports.Member) {
	c.t.Helper()
	c.post("PUT", c.membership, "/v1/members/"+m.ID, m, nil)
}

// waitReady waits until every entry says that it is ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		eventually(c.t, 30*time.Second, e.id+" is ready", func() bool {
			response, err := http.Get("http://" + e.callers.address() + "/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// post sends JSON to a stand-in and decodes the answer into out unless it is nil.
func (c *cluster) post(method, address, path string, in, out any) {
	c.t.Helper()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			c.t.Fatal(err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("%s %s%s: status %d: %s", method, address, path, response.StatusCode, answer)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(answer, out); err != nil {
		c.t.Fatalf("%s %s%s: %v: %s", method, address, path, err, answer)
	}
}

// fault sets a stand-in's fault switches.
func (c *cluster) fault(address string, switches map[string]any) {
	c.t.Helper()
	c.post("POST", address, "/fault", switches, nil)
}

// effects returns how often the services executed calls whose id begins with prefix, by call id.
func (c *cluster) effects(prefix string) map[string]int {
	c.t.Helper()
	out := make(map[string]int)
	for _, s := range c.services {
		var stats struct {
			Effects map[string]int `json:"effects"`
		}
		c.post("GET", s.address, "/stats", nil, &stats)
		for key, n := range stats.Effects {
			if strings.HasPrefix(key, prefix) {
				out[key] += n
			}
		}
	}
	return out
}
