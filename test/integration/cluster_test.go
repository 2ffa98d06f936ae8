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

// clusterOptions describes a cluster. A count of 0 means the default: two of each kind, and eight slots for each sidecar.
type clusterOptions struct {
	entries, engines, services int
	entryYAML                  string   // Additional settings of every entry.
	sidecarYAML                string   // Additional settings of every sidecar.
	kvArgs, engineArgs         []string // Additional flags of the stand-ins.
	serviceArgs                []string
	slots                      int  // Slots of every sidecar: calls that its backend server runs at the same time.
	defaultTimeouts            bool // Use the default heartbeat interval and failure timeout instead of shorter ones.
}

// entryNode is an entry process with the links between it and other processes.
type entryNode struct {
	*process
	id              string
	callerLink      *link // From callers to the entry.
	internalLink    *link // From other entries to the entry.
	kvLink          *link // From the entry to the key-value service.
	operatorAddress string
	directAddress   string // Address for callers that bypasses the link.
}

// backendNode is a backend server, its sidecar and the links to both.
type backendNode struct {
	id          string
	backend     *process
	address     string // Address of the backend server that bypasses the link.
	backendLink *link  // From the sidecar to the backend server.
	sidecar     *process
	sidecarLink *link // From entries to the sidecar.

	sidecarAddress string // Address of the sidecar that bypasses the link.
}

// cluster is a complete system of real processes.
type cluster struct {
	t                 testing.TB
	dir               string
	kv                *process
	kvAddress         string
	membershipAddress string
	token             string // Shared by the processes of this cluster, so that they reject processes of another one.
	entries           []*entryNode
	engines           []*backendNode
	services          []*backendNode
}

const (
	testModel   = "demo-lm"
	testService = "archive"

	operatorToken = "integration-operator-token"
)

// startCluster starts the processes of a cluster and waits until its entries are ready.
func startCluster(t testing.TB, s clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), token: rand.Text()}
	c.kv = start(t, "kv", append([]string{"standin", "-kind", "kv", "-kv-write-delay", "2ms", "-kv-read-delay", "1ms"}, s.kvArgs...)...)
	c.kvAddress = c.kv.listenAddress()
	c.membershipAddress = start(t, "members", "standin", "-kind", "members").listenAddress()
	for i := range orDefault(s.engines, 2) {
		args := append([]string{"-models", testModel, "-slots", "8", "-prefill-rate", "20000", "-decode-rate", "300", "-cache-tokens", "100000"}, s.engineArgs...)
		c.engines = append(c.engines, c.startBackend(fmt.Sprintf("engine-%d", i+1), "engine", testModel, s, args))
	}
	for i := range orDefault(s.services, 2) {
		c.services = append(c.services, c.startBackend(fmt.Sprintf("archive-%d", i+1), "service", testService, s, s.serviceArgs))
	}
	c.submitConfig(func(*policy.Config) {})
	for i := range orDefault(s.entries, 2) {
		c.entries = append(c.entries, c.startEntry(fmt.Sprintf("entry-%d", i+1), s))
	}
	c.waitReady()
	return c
}

// orDefault returns n, or fallback if n is 0.
func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// startBackend starts a stand-in backend server and its sidecar and adds them to the membership list.
func (c *cluster) startBackend(id, kind, serves string, s clusterOptions, args []string) *backendNode {
	c.t.Helper()
	b := &backendNode{id: id, address: addresses.Free(c.t)}
	b.backend = start(c.t, id, append([]string{"standin", "-kind", kind, "-name", id, "-listen", b.address}, args...)...)
	b.backend.listenAddress()
	b.backendLink = newLink(c.t, id+"-backend", b.address)
	listen := addresses.Free(c.t)
	b.sidecarAddress = listen
	file := c.writeSettings(id+".yaml", fmt.Sprintf("name: %s\nlisten: %s\nkind: %s\nbackend: %s\nslots: %d\ntoken: %s\nlog: {level: info}\n%s",
		id, listen, kind, b.backendLink.address(), orDefault(s.slots, 8), c.token, s.sidecarYAML))
	b.sidecar = start(c.t, id+"-sidecar", "sidecar", "-settings", file)
	b.sidecarLink = newLink(c.t, id+"-inbound", listen)
	c.putMember(ports.Member{
		ID: id, Role: ports.RoleBackend, Address: b.sidecarLink.address(), Region: "r1", FailureDomain: "r1-a", Kind: kind, Service: serves,
	})
	return b
}

// startEntry starts an entry and adds it to the membership list.
func (c *cluster) startEntry(id string, s clusterOptions) *entryNode {
	c.t.Helper()
	e := &entryNode{id: id, operatorAddress: addresses.Free(c.t)}
	callers, internal := addresses.Free(c.t), addresses.Free(c.t)
	e.kvLink = newLink(c.t, id+"-kv", c.kvAddress)
	e.internalLink = newLink(c.t, id+"-internal", internal)
	e.callerLink = newLink(c.t, id+"-callers", callers)
	times := "heartbeat_ms: 200\ndead_after_ms: 1000\n"
	if s.defaultTimeouts {
		times = ""
	}
	e.directAddress = callers
	file := c.writeSettings(id+".yaml", fmt.Sprintf(`id: %s
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
%s`, id, callers, e.operatorAddress, internal, e.internalLink.address(), e.kvLink.address(), c.membershipAddress, c.token, times, operatorToken, s.entryYAML))
	e.process = start(c.t, id, "entry", "-settings", file)
	c.putMember(ports.Member{ID: id, Role: ports.RoleEntry, Address: e.internalLink.address(), Region: "r1", FailureDomain: "r1-a"})
	return e
}

// writeSettings writes a settings file and returns its path.
func (c *cluster) writeSettings(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// putMember adds or replaces a member in the membership list.
func (c *cluster) putMember(m ports.Member) {
	c.t.Helper()
	c.requestJSON("PUT", c.membershipAddress, "/v1/members/"+m.ID, m, nil)
}

// waitReady waits until every entry reports that it is ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		eventually(c.t, 30*time.Second, e.id+" is ready", func() bool {
			response, err := http.Get("http://" + e.callerLink.address() + "/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// requestJSON sends a request with in as its JSON body and decodes the response into out. Either may be nil. A status other
// than 2xx fails the test.
func (c *cluster) requestJSON(method, address, path string, in, out any) {
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
	respBody, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("%s %s%s: status %d: %s", method, address, path, response.StatusCode, respBody)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		c.t.Fatalf("%s %s%s: %v: %s", method, address, path, err, respBody)
	}
}

// setFaults replaces the injected faults of a stand-in.
func (c *cluster) setFaults(address string, faults map[string]any) {
	c.t.Helper()
	c.requestJSON("POST", address, "/fault", faults, nil)
}

// effects returns how often the services executed each call whose ID begins with prefix, by call ID.
func (c *cluster) effects(prefix string) map[string]int {
	c.t.Helper()
	out := make(map[string]int)
	for _, s := range c.services {
		var stats struct {
			Effects map[string]int `json:"effects"`
		}
		c.requestJSON("GET", s.address, "/stats", nil, &stats)
		for key, n := range stats.Effects {
			if strings.HasPrefix(key, prefix) {
				out[key] += n
			}
		}
	}
	return out
}
