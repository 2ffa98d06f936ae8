package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	spareModel = "spare" // Deployed with no replicas: its engines are free.
	modelA     = "model-a"
	modelB     = "model-b"
	lateBy     = 25 * time.Second
)

// startOrderCluster starts a cluster whose engines all serve the spare model and fetch weights from a store with the rate.
func startOrderCluster(t *testing.T, entries, engines int, fetchesPerSecond float64, loadTime time.Duration) (*cluster, string) {
	t.Helper()
	return startOrderClusterReporting(t, 200*time.Millisecond, entries, engines, fetchesPerSecond, loadTime)
}

// startOrderClusterReporting starts a cluster of engines whose reports are as old as heartbeats are apart.
func startOrderClusterReporting(
	t *testing.T, heartbeat time.Duration, entries, engines int, fetchesPerSecond float64, loadTime time.Duration,
) (*cluster, string) {
	t.Helper()
	weights := start(t, "weights", "standin", "-kind", "weights", "-weights-rate", fmt.Sprint(fetchesPerSecond)).listening()
	c := startCluster(t, shape{
		entries: entries, engines: engines, services: 1, defaults: true,
		// dead_after_ms leaves time for an order before a held link counts as lost.
		entryYAML:  fmt.Sprintf("heartbeat_ms: %d\ndead_after_ms: %d\n", heartbeat.Milliseconds(), 4000+heartbeat.Milliseconds()),
		engineArgs: []string{"-models", spareModel, "-weights", weights, "-load-time", loadTime.String()},
	})
	return c, weights
}

// deploy submits a configuration in which the named models have that many replicas, and the spare model none.
func (c *cluster) deploy(fetchesPerMinute int, replicas map[string]int) {
	c.t.Helper()
	c.submit(func(config *policy.Config) {
		config.FailureDomains = []policy.FailureDomain{{Name: "r1-a", Region: "r1"}}
		config.WeightStore.FetchesPerMinute = fetchesPerMinute
		class(config, "interactive", func(cl *policy.Class) { cl.Budget.Calls = 10_000 })
		config.Models = []policy.Model{{Name: spareModel, MaxTokens: 64}}
		config.Deployments = []policy.Deployment{{Name: spareModel, Replicas: []policy.Replicas{}}}
		for _, name := range []string{modelA, modelB} {
			config.Models = append(config.Models, policy.Model{Name: name, MaxTokens: 64})
			config.Deployments = append(config.Deployments, policy.Deployment{
				Name: name, Replicas: []policy.Replicas{{FailureDomain: "r1-a", Min: replicas[name]}},
			})
		}
	})
}

// orderEffects returns the orders that took effect at the engine, in their order.
func (c *cluster) orderEffects(b *backendNode) []api.OrderRequest {
	c.t.Helper()
	var out struct {
		Orders []api.OrderRequest `json:"orders"`
	}
	c.post("GET", b.address, "/v1/orders", nil, &out)
	return out.Orders
}

// served returns the model that the engine serves.
func (c *cluster) served(b *backendNode) string {
	c.t.Helper()
	var out struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	c.post("GET", b.address, "/v1/models", nil, &out)
	if len(out.Data) != 1 {
		return ""
	}
	return out.Data[0].ID
}

func (c *cluster) servers(model string) int {
	n := 0
	for _, e := range c.engines {
		if c.served(e) == model {
			n++
		}
	}
	return n
}

// duplicates returns how many loads had the same engine and argument as an earlier one.
func (c *cluster) duplicates() int {
	n := 0
	for _, e := range c.engines {
		seen := make(map[string]bool)
		for _, o := range c.orderEffects(e) {
			if seen[o.Argument] {
				n++
			}
			seen[o.Argument] = true
		}
	}
	return n
}

func (c *cluster) refusedFetches(weights string) int {
	c.t.Helper()
	var stats struct {
		Refused int `json:"refused"`
	}
	c.post("GET", weights, "/stats", nil, &stats)
	return stats.Refused
}

// auditedOrders returns the audit trail's events of orders.
func (c *cluster) auditedOrders() []policy.Event {
	c.t.Helper()
	kv, err := ports.NewKV([]string{c.kvAddress}, ports.KVOptions{})
	if err != nil {
		c.t.Fatal(err)
	}
	events, err := policy.NewStore(kv, time.Now).AuditLog(context.Background(), 1000)
	if err != nil {
		c.t.Fatal(err)
	}
	var out []policy.Event
	for _, e := range events {
		if e.Kind == policy.EventOrder {
			out = append(out, e)
		}
	}
	return out
}

// giver returns the entry that gave the newest order in the audit trail.
func (c *cluster) giver() *entryNode {
	c.t.Helper()
	newest := policy.Event{}
	for _, e := range c.auditedOrders() {
		if e.TimeMS >= newest.TimeMS {
			newest = e
		}
	}
	for _, e := range c.entries {
		if strings.HasPrefix(newest.Actor, "entry "+e.id+",") {
			return e
		}
	}
	c.t.Fatalf("no entry gave the order %+v", newest)
	return nil
}

// A model that operators deploy is loaded on as many engines as declared, within the weight store's rate, and calls of
// it are routed there although the membership list names another model. Each order and outcome is audited.
func TestDeployedModelIsLoadedAndServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 2, 3, 4, 100*time.Millisecond)
	c.deploy(240, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.servers(modelA) == 2 })
	k := c.newProgram("")
	eventually(t, 20*time.Second, "calls of the model are served", func() bool {
		return k.chatModel(modelA, 1) == api.CodeOK
	})
	c.deploy(240, map[string]int{modelA: 1, modelB: 1})
	eventually(t, 60*time.Second, "the models share the engines", func() bool {
		return c.servers(modelA) >= 1 && c.servers(modelB) == 1
	})
	is.Equal(c.duplicates(), 0)
	is.Equal(c.refusedFetches(weights), 0)
	given, ended := 0, 0
	eventually(t, 20*time.Second, "outcomes are audited", func() bool {
		given, ended = 0, 0
		for _, e := range c.auditedOrders() {
			if strings.HasPrefix(e.Detail, "given ") {
				given++
			} else if strings.HasSuffix(e.Detail, ": done") {
				ended++
			}
			is.True(e.Revision > 0 && e.Reason != "" && strings.Contains(e.Actor, "fencing number"))
		}
		return given == 3 && ended == 3
	})
}

// Reports that are older than an order's end cause no further orders: between the end of a load and the next report, an
// engine seems to serve its old model still.
func TestOldReportsCauseNoOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const heartbeat = 1500 * time.Millisecond
	c, _ := startOrderClusterReporting(t, heartbeat, 2, 3, 4, 100*time.Millisecond)
	c.deploy(240, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.servers(modelA) == 2 })
	time.Sleep(3 * heartbeat) // several plans from reports of every age
	c.deploy(240, map[string]int{modelA: 1, modelB: 1})
	eventually(t, 60*time.Second, "the models share the engines", func() bool {
		return c.servers(modelA) >= 1 && c.servers(modelB) == 1
	})
	time.Sleep(3 * heartbeat)
	effects := 0
	for _, e := range c.engines {
		effects += len(c.orderEffects(e))
	}
	is.Equal(effects, 3)
}

// Replicas that serve get the version, role and adapter that operators declare, one after the other, while calls go on.
func TestVersionRoleAndAdapterAreChangedWhileCallsGoOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 2, 2, 10, 100*time.Millisecond)
	c.deploy(600, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.servers(modelA) == 2 })
	k := c.newProgram("")
	eventually(t, 20*time.Second, "calls of the model are served", func() bool { return k.chatModel(modelA, 1) == api.CodeOK })
	c.submit(func(config *policy.Config) {
		for i := range config.Deployments {
			if d := &config.Deployments[i]; d.Name == modelA {
				d.Version, d.Role, d.Adapters = "v2", policy.RoleDecode, []policy.Adapter{{Name: "x"}}
			}
		}
	})
	seq := 1
	eventually(t, 60*time.Second, "both engines are as declared", func() bool {
		seq++
		is.Equal(k.chatModel(modelA, seq), api.CodeOK)
		return c.aligned(c.engines[0]) && c.aligned(c.engines[1])
	})
	t.Logf("%d calls during the change", seq-1)
	for _, e := range c.engines {
		var kinds []api.OrderKind
		for _, o := range c.orderEffects(e) {
			kinds = append(kinds, o.Kind)
		}
		is.Equal(kinds, []api.OrderKind{api.OrderLoadModel, api.OrderSetVersion, api.OrderSetRole, api.OrderLoadAdapter})
	}
	is.Equal(c.refusedFetches(weights), 0)
}

// aligned reports whether the engine has version v2, the role decode and the adapter x.
func (c *cluster) aligned(b *backendNode) bool {
	c.t.Helper()
	var out struct {
		Data []struct {
			Version  string   `json:"version"`
			Role     string   `json:"role"`
			Adapters []string `json:"adapters"`
		} `json:"data"`
	}
	c.post("GET", b.address, "/v1/models", nil, &out)
	m := out.Data[0]
	return m.Version == "v2" && m.Role == "decode" && len(m.Adapters) == 1 && m.Adapters[0] == "x"
}

// chatModel makes a call of a model and returns its result code.
func (k *caller) chatModel(model string, seq int) api.Code {
	body := mustJSON(k.t, map[string]any{"model": model, "messages": []map[string]string{{"role": "user", "content": "hello"}}, "max_tokens": 4})
	return k.send(0, "POST", fmt.Sprintf("/v1/programs/%s/calls/%d/chat/completions", k.program, seq), body).code
}

// moveTo lists the backend server at the address of another link, which later connections use.
func (c *cluster) moveTo(b *backendNode, kind, serves string, l *link) {
	c.t.Helper()
	c.list(ports.Member{
		ID: b.id, Role: ports.RoleBackend, Address: l.address(), Region: "r1", FailureDomain: "r1-a", Kind: kind, Service: serves,
	})
}

// ordersGiven returns how many orders the audit trail has as given.
func (c *cluster) ordersGiven() int {
	n := 0
	for _, e := range c.auditedOrders() {
		if strings.HasPrefix(e.Detail, "given ") {
			n++
		}
	}
	return n
}

// The giver is frozen while its order is held up on the way. Its successor follows a newer configuration and gives the
// engine, which ignores fencing numbers, another order. Then the first order arrives, and the first giver wakes: the
// engine keeps what the successor ordered.
func TestLateOrderOfDeposedGiverChangesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _ := startOrderCluster(t, 2, 1, 20, 0)
	engine := c.engines[0]
	second := newLink(t, "engine-1-second", engine.sidecarAddress)
	engine.inbound.toxic("late", "latency", "upstream", fmt.Sprintf(`{"latency":%d}`, lateBy.Milliseconds()))
	held := time.Now()
	c.deploy(600, map[string]int{modelA: 1})
	eventually(t, 20*time.Second, "the first order is on its way", func() bool { return c.ordersGiven() == 1 })
	time.Sleep(500 * time.Millisecond) // from the audit trail to the link
	giver := c.giver()
	c.deploy(600, map[string]int{modelB: 1}) // the giver learns it, and its first order is still under way
	giver.freeze()
	c.moveTo(engine, "engine", spareModel, second)
	eventually(t, 60*time.Second, "the successor's order takes effect", func() bool { return c.served(engine) == modelB })
	before := len(c.orderEffects(engine))
	is.True(time.Since(held) < lateBy) // the first order has not arrived yet
	time.Sleep(time.Until(held.Add(lateBy + 3*time.Second)))
	giver.wake()
	time.Sleep(3 * time.Second)
	is.Equal(c.served(engine), modelB)
	effects := c.orderEffects(engine)
	is.Equal(len(effects), before)
	is.Equal(effects[len(effects)-1].Argument, modelB)
}

// The giver is killed while the engine carries its order out. Its successor learns the outcome, and nothing is loaded
// twice.
func TestKilledGiversOrderIsNotRepeated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 3, 2, 20, 3*time.Second)
	c.deploy(600, map[string]int{modelA: 2})
	eventually(t, 20*time.Second, "orders are under way", func() bool { return c.ordersGiven() == 2 })
	c.giver().kill()
	eventually(t, 60*time.Second, "both engines serve the model", func() bool { return c.servers(modelA) == 2 })
	eventually(t, 60*time.Second, "the outcomes are audited", func() bool {
		ended := 0
		for _, e := range c.auditedOrders() {
			if strings.HasSuffix(e.Detail, ": done") {
				ended++
			}
		}
		return ended == 2
	})
	is.Equal(c.duplicates(), 0)
	is.Equal(c.refusedFetches(weights), 0)
}
