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
	spareModel = "spare" // Deployed with no replicas, so that its engines are available for other models.
	modelA     = "model-a"
	modelB     = "model-b"
	orderDelay = 25 * time.Second // Network delay of a late order.
)

// startOrderCluster starts a cluster whose engines serve the spare model and fetch weights from a weight store with the
// given rate limit. It returns the cluster and the address of the weight store.
func startOrderCluster(t *testing.T, entries, engines int, fetchesPerSecond float64, loadTime time.Duration) (*cluster, string) {
	t.Helper()
	return startOrderClusterReporting(t, 200*time.Millisecond, entries, engines, fetchesPerSecond, loadTime)
}

// startOrderClusterReporting is startOrderCluster with the heartbeat interval as a parameter. Reports on the engines may be
// as old as this interval.
func startOrderClusterReporting(
	t *testing.T, heartbeat time.Duration, entries, engines int, fetchesPerSecond float64, loadTime time.Duration,
) (*cluster, string) {
	t.Helper()
	weights := start(t, "weights", "standin", "-kind", "weights", "-weights-rate", fmt.Sprint(fetchesPerSecond)).listenAddress()
	c := startCluster(t, clusterOptions{
		entries: entries, engines: engines, services: 1, defaultTimeouts: true,
		// dead_after_ms leaves time for an order before a delayed link counts as a failed node.
		entryYAML:  fmt.Sprintf("heartbeat_ms: %d\ndead_after_ms: %d\n", heartbeat.Milliseconds(), 4000+heartbeat.Milliseconds()),
		engineArgs: []string{"-models", spareModel, "-weights", weights, "-load-time", loadTime.String()},
	})
	return c, weights
}

// deployReplicas submits a configuration with the given numbers of replicas of models A and B and none of the spare model.
func (c *cluster) deployReplicas(fetchesPerMinute int, replicas map[string]int) {
	c.t.Helper()
	c.submitAndWait(func(config *policy.Config) {
		config.FailureDomains = []policy.FailureDomain{{Name: "r1-a", Region: "r1"}}
		config.WeightStore.FetchesPerMinute = fetchesPerMinute
		changeClass(config, "interactive", func(cl *policy.Class) { cl.Budget.Calls = 10_000 })
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

// appliedOrders returns the orders that took effect at the engine, in that sequence.
func (c *cluster) appliedOrders(b *backendNode) []api.OrderRequest {
	c.t.Helper()
	var out struct {
		Orders []api.OrderRequest `json:"orders"`
	}
	c.requestJSON("GET", b.address, "/v1/orders", nil, &out)
	return out.Orders
}

// servedModel returns the model that the engine serves, or "" if it does not serve exactly one.
func (c *cluster) servedModel(b *backendNode) string {
	c.t.Helper()
	var out struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	c.requestJSON("GET", b.address, "/v1/models", nil, &out)
	if len(out.Data) != 1 {
		return ""
	}
	return out.Data[0].ID
}

// enginesServing returns how many engines serve the model.
func (c *cluster) enginesServing(model string) int {
	n := 0
	for _, e := range c.engines {
		if c.servedModel(e) == model {
			n++
		}
	}
	return n
}

// duplicateLoads returns how many orders had the same engine and argument as an earlier one.
func (c *cluster) duplicateLoads() int {
	n := 0
	for _, e := range c.engines {
		seen := make(map[string]bool)
		for _, o := range c.appliedOrders(e) {
			if seen[o.Argument] {
				n++
			}
			seen[o.Argument] = true
		}
	}
	return n
}

// refusedFetches returns how many fetches the weight store rejected because of its rate limit.
func (c *cluster) refusedFetches(weights string) int {
	c.t.Helper()
	var stats struct {
		Refused int `json:"refused"`
	}
	c.requestJSON("GET", weights, "/stats", nil, &stats)
	return stats.Refused
}

// orderEvents returns the events of orders in the audit trail.
func (c *cluster) orderEvents() []policy.Event {
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

// newestOrderDispatcher returns the entry that dispatched the newest order in the audit trail.
func (c *cluster) newestOrderDispatcher() *entryNode {
	c.t.Helper()
	newest := policy.Event{}
	for _, e := range c.orderEvents() {
		if e.TimeMS >= newest.TimeMS {
			newest = e
		}
	}
	for _, e := range c.entries {
		if strings.HasPrefix(newest.Actor, "entry "+e.id+",") {
			return e
		}
	}
	c.t.Fatalf("no entry of the cluster dispatched the order %+v", newest)
	return nil
}

// A deployed model is loaded on the declared number of engines, within the rate limit of the weight store. Calls of the
// model are routed to these engines although the membership list names another model. The audit trail contains each order
// and its outcome.
func TestDeployedModelIsLoadedAndServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 2, 3, 4, 100*time.Millisecond)
	c.deployReplicas(240, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.enginesServing(modelA) == 2 })
	k := c.newProgram("")
	eventually(t, 20*time.Second, "calls of the model are served", func() bool {
		return k.chatModel(modelA, 1) == api.CodeOK
	})
	c.deployReplicas(240, map[string]int{modelA: 1, modelB: 1})
	eventually(t, 60*time.Second, "the models share the engines", func() bool {
		return c.enginesServing(modelA) >= 1 && c.enginesServing(modelB) == 1
	})
	is.Equal(c.duplicateLoads(), 0)
	is.Equal(c.refusedFetches(weights), 0)
	given, ended := 0, 0
	eventually(t, 20*time.Second, "outcomes are audited", func() bool {
		given, ended = 0, 0
		for _, e := range c.orderEvents() {
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

// Guards against superfluous orders caused by outdated reports: between the end of a load and the next report, an engine
// still appears to serve its previous model.
func TestOldReportsCauseNoOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const heartbeat = 1500 * time.Millisecond
	c, _ := startOrderClusterReporting(t, heartbeat, 2, 3, 4, 100*time.Millisecond)
	c.deployReplicas(240, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.enginesServing(modelA) == 2 })
	time.Sleep(3 * heartbeat) // several planning rounds, from reports of every age
	c.deployReplicas(240, map[string]int{modelA: 1, modelB: 1})
	eventually(t, 60*time.Second, "the models share the engines", func() bool {
		return c.enginesServing(modelA) >= 1 && c.enginesServing(modelB) == 1
	})
	time.Sleep(3 * heartbeat)
	effects := 0
	for _, e := range c.engines {
		effects += len(c.appliedOrders(e))
	}
	is.Equal(effects, 3)
}

// Replicas in service get the declared version, role and adapter, one after another, while calls continue.
func TestVersionRoleAndAdapterChangeDuringCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 2, 2, 10, 100*time.Millisecond)
	c.deployReplicas(600, map[string]int{modelA: 2})
	eventually(t, 60*time.Second, "two engines serve the model", func() bool { return c.enginesServing(modelA) == 2 })
	k := c.newProgram("")
	eventually(t, 20*time.Second, "calls of the model are served", func() bool { return k.chatModel(modelA, 1) == api.CodeOK })
	c.submitAndWait(func(config *policy.Config) {
		for i := range config.Deployments {
			if d := &config.Deployments[i]; d.Name == modelA {
				d.Version, d.Role, d.Adapters = "v2", policy.RoleDecode, []policy.Adapter{{Name: "x"}}
			}
		}
	})
	seq := 1
	eventually(t, 60*time.Second, "both engines match the deployment", func() bool {
		seq++
		is.Equal(k.chatModel(modelA, seq), api.CodeOK)
		return c.matchesDeployment(c.engines[0]) && c.matchesDeployment(c.engines[1])
	})
	t.Logf("%d calls during the change", seq-1)
	for _, e := range c.engines {
		var kinds []api.OrderKind
		for _, o := range c.appliedOrders(e) {
			kinds = append(kinds, o.Kind)
		}
		is.Equal(kinds, []api.OrderKind{api.OrderLoadModel, api.OrderSetVersion, api.OrderSetRole, api.OrderLoadAdapter})
	}
	is.Equal(c.refusedFetches(weights), 0)
}

// matchesDeployment reports whether the engine has version v2, role decode and adapter x.
func (c *cluster) matchesDeployment(b *backendNode) bool {
	c.t.Helper()
	var out struct {
		Data []struct {
			Version  string   `json:"version"`
			Role     string   `json:"role"`
			Adapters []string `json:"adapters"`
		} `json:"data"`
	}
	c.requestJSON("GET", b.address, "/v1/models", nil, &out)
	m := out.Data[0]
	return m.Version == "v2" && m.Role == "decode" && len(m.Adapters) == 1 && m.Adapters[0] == "x"
}

// chatModel makes a model call and returns its result code. seq is the number of the call in its program.
func (k *caller) chatModel(model string, seq int) api.Code {
	body := mustJSON(k.t, map[string]any{"model": model, "messages": []map[string]string{{"role": "user", "content": "hello"}}, "max_tokens": 4})
	return k.send(0, "POST", fmt.Sprintf("/v1/programs/%s/calls/%d/chat/completions", k.program, seq), body).code
}

// moveTo changes the address of the backend server in the membership list to that of another link, which new connections
// then use.
func (c *cluster) moveTo(b *backendNode, kind, serves string, l *link) {
	c.t.Helper()
	c.putMember(ports.Member{
		ID: b.id, Role: ports.RoleBackend, Address: l.address(), Region: "r1", FailureDomain: "r1-a", Kind: kind, Service: serves,
	})
}

// ordersDispatched returns how many dispatched orders the audit trail contains.
func (c *cluster) ordersDispatched() int {
	n := 0
	for _, e := range c.orderEvents() {
		if strings.HasPrefix(e.Detail, "given ") {
			n++
		}
	}
	return n
}

// Guards against a late order of a former dispatcher. The entry that dispatches orders is frozen while its order is delayed
// in the network. Its successor has a newer configuration and sends the engine, which does not check fencing numbers,
// another order. Then the first order arrives and the first dispatcher continues. The engine must keep what the successor
// ordered.
func TestLateOrderOfFormerDispatcherHasNoEffect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _ := startOrderCluster(t, 2, 1, 20, 0)
	engine := c.engines[0]
	second := newLink(t, "engine-1-second", engine.sidecarAddress)
	engine.sidecarLink.addFault("late", "latency", "upstream", fmt.Sprintf(`{"latency":%d}`, orderDelay.Milliseconds()))
	delayStart := time.Now()
	c.deployReplicas(600, map[string]int{modelA: 1})
	eventually(t, 20*time.Second, "the first order is sent", func() bool { return c.ordersDispatched() == 1 })
	time.Sleep(500 * time.Millisecond) // the order is sent after its entry in the audit trail is written
	dispatcher := c.newestOrderDispatcher()
	c.deployReplicas(600, map[string]int{modelB: 1}) // the dispatcher gets the configuration while its first order is in transit
	dispatcher.freeze()
	c.moveTo(engine, "engine", spareModel, second)
	eventually(t, 60*time.Second, "the successor's order takes effect", func() bool { return c.servedModel(engine) == modelB })
	before := len(c.appliedOrders(engine))
	is.True(time.Since(delayStart) < orderDelay) // the first order has not arrived yet
	time.Sleep(time.Until(delayStart.Add(orderDelay + 3*time.Second)))
	dispatcher.unfreeze()
	time.Sleep(3 * time.Second)
	is.Equal(c.servedModel(engine), modelB)
	effects := c.appliedOrders(engine)
	is.Equal(len(effects), before)
	is.Equal(effects[len(effects)-1].Argument, modelB)
}

// Guards against a repeated load when the dispatcher of orders is killed while engines execute its orders: its successor
// gets the outcomes.
func TestOrderOfKilledDispatcherIsNotRepeated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, weights := startOrderCluster(t, 3, 2, 20, 3*time.Second)
	c.deployReplicas(600, map[string]int{modelA: 2})
	eventually(t, 20*time.Second, "both orders are dispatched", func() bool { return c.ordersDispatched() == 2 })
	c.newestOrderDispatcher().kill()
	eventually(t, 60*time.Second, "both engines serve the model", func() bool { return c.enginesServing(modelA) == 2 })
	eventually(t, 60*time.Second, "the outcomes are audited", func() bool {
		ended := 0
		for _, e := range c.orderEvents() {
			if strings.HasSuffix(e.Detail, ": done") {
				ended++
			}
		}
		return ended == 2
	})
	is.Equal(c.duplicateLoads(), 0)
	is.Equal(c.refusedFetches(weights), 0)
}
