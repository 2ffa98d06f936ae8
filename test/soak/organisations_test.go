package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// checkInterval is the time between two checks of the ledger.
	checkInterval = 250 * time.Millisecond
	// flooders is the number of callers that flood.
	flooders = 8
	// bindingTime is how long a deployment runs without faults until a window has passed under a lowered limit.
	bindingTime = configApplyTime + quotaWindow + 1500*time.Millisecond
)

// organisationFaults are the faults that a deployment with organisations has beside faults. They last longer than a bound.
var organisationFaults = []fault{
	{"long freeze", func(_ *deployment, g *gateway, random *rand.Rand) {
		g.signal(syscall.SIGSTOP)
		time.Sleep(configApplyTime)
		sleepRandom(random, 1000)
		g.signal(syscall.SIGCONT)
	}},
	{"long cut", linkFault("timeout", `{"timeout":0}`, configApplyTime)},
	{"server announces that it leaves", announceLeaving},
	{"server announces that it leaves", announceLeaving},
}

// announceLeaving lets a random server announce that it leaves. Longer than drainTime later it is started anew.
func announceLeaving(d *deployment, _ *gateway, random *rand.Rand) {
	s := d.servers[random.IntN(len(d.servers))]
	d.t.Logf("%s leaves", s.ID)
	s.SetLeaving(true)
	time.Sleep(drainTime)
	sleepRandom(random, 2000)
	s.StartAnew()
	d.store.Put("servers/"+s.ID, s.Entry(s.ID[:3], "ready"))
}

// organisationOf returns the organisation of a caller.
func organisationOf(caller int) string { return []string{"steady", "small", "flood"}[caller%3] }

// operators write new versions of the configuration.
type operators struct {
	d      *deployment
	lowest atomic.Bool // Further versions have the lowest quotas.
}

// run writes versions with other keys and quotas until ctx is done.
func (o *operators) run(ctx context.Context, random *rand.Rand) {
	quotas := randomQuotas(random)
	for ctx.Err() == nil {
		sleepRandom(random, 1300)
		switch {
		case o.lowest.Load():
			quotas = lowestQuotas
		case random.IntN(2) == 0:
			quotas = randomQuotas(random)
		}
		n, configuration := o.d.ledger.beginVersion(quotas)
		o.d.store.Put("op/config", configuration)
		o.d.ledger.storedVersion(n)
	}
}

// startOrganisations starts what only a deployment with organisations has: new versions of the configuration, its own faults, and the
// checks. It returns a function that lowers all quotas and waits until the deployment's own faults have ended, and one that ends the rest.
func (d *deployment) startOrganisations(seed uint64) (lower, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &operators{d: d}
	var group, faultGroup sync.WaitGroup
	group.Go(func() { o.run(ctx, rand.New(rand.NewPCG(seed, 1001))) })
	group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(checkInterval)
			d.ledger.check()
		}
	})
	random := rand.New(rand.NewPCG(seed, 1002))
	for i, f := range organisationFaults {
		random, g := rand.New(rand.NewPCG(seed, uint64(1003+i))), d.gateways[random.IntN(len(d.gateways))]
		faultGroup.Go(func() {
			sleepRandom(random, 1200)
			d.t.Logf("%s: %s", f.name, g.name)
			defer d.ledger.beginTrouble(f.name, g)()
			f.inject(d, g, random)
		})
	}
	lower = func() {
		faultGroup.Wait()
		o.lowest.Store(true)
	}
	return lower, func() {
		cancel()
		group.Wait()
		d.ledger.check()
		d.ledger.report()
	}
}

// flood sends calls of new programs and plain calls whatever the answers are.
func (c *caller) flood(ctx context.Context) {
	for program := 0; ctx.Err() == nil; program++ {
		a := attempt{program: fmt.Sprintf("p%d-%d", c.number, program), route: "lookup"}
		if c.random.IntN(2) == 0 {
			input := a.program + "/0;"
			a.route, a.body, a.expectedInput = "turns", input, input
		}
		c.send(ctx, a, "")
		time.Sleep(time.Duration(5+c.random.IntN(20)) * time.Millisecond)
	}
}

// hasOrganisations reports whether the deployment of a seed has organisations.
func hasOrganisations(seed uint64) bool { return seed%4 != 0 }

// calmTime returns how long callers go on after the last fault: a second, in which calls in progress end without faults, and with new
// seeds long enough for lowered quotas to bind.
func calmTime(seed uint64) time.Duration {
	if hasOrganisations(seed) && !slices.Contains(regressionSeeds, seed) {
		return bindingTime
	}
	return time.Second
}

// newClients returns a client for each gateway.
func (d *deployment) newClients(timeout time.Duration) []*http.Client {
	clients := make([]*http.Client, len(d.gateways))
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}, Timeout: timeout}
	}
	return clients
}
