package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// flooders is the number of callers that flood, beside the usual ones.
const flooders = 8

// organisationNames are the organisations of a deployment. The first has no quota, the last floods.
var organisationNames = []string{"steady", "small", "flood"}

// randomQuotas returns quotas of the organisations. Those of flood are far below its demand.
func randomQuotas(random *rand.Rand) map[string]quota {
	return map[string]quota{
		"steady": {},
		"small":  {rate: 20 + 60*random.Float64(), burst: 40 * random.Float64()},
		"flood":  {rate: 10 + 30*random.Float64(), burst: 40 * random.Float64()},
	}
}

// lowestQuotas have lower bounds than all randomQuotas.
var lowestQuotas = map[string]quota{"steady": {}, "small": {rate: 15}, "flood": {rate: 4}}

// organisationFaults are the faults that a deployment with organisations has beside faults, once each. They last longer than a bound.
var organisationFaults = []fault{
	{"long freeze", func(_ *deployment, g *gateway, random *rand.Rand) {
		g.signal(syscall.SIGSTOP)
		time.Sleep(configApplyTime)
		sleepRandom(random, 2000)
		g.signal(syscall.SIGCONT)
	}},
	{"long cut", linkFault("timeout", `{"timeout":0}`, configApplyTime)},
	{"server announces that it leaves", announceLeaving},
	{"server announces that it leaves", announceLeaving},
	{"server leaves for good", func(d *deployment, _ *gateway, random *rand.Rand) {
		d.servers[random.IntN(len(d.servers))].SetLeaving(true)
	}},
}

// announceLeaving lets a random server announce that it leaves. Later than drainTime after that it is started anew.
func announceLeaving(d *deployment, _ *gateway, random *rand.Rand) {
	s := d.servers[random.IntN(len(d.servers))]
	s.SetLeaving(true)
	time.Sleep(drainTime)
	sleepRandom(random, 2000)
	s.StartAnew()
	d.store.Put("servers/"+s.ID, s.Entry(s.ID[:3], "ready"))
}

// startOrganisations starts what only a deployment with organisations has: new versions of the configuration, its own faults, and the
// checks. It returns a function that waits for its faults and then lowers all quotas, and one that ends the rest.
func (d *deployment) startOrganisations(seed uint64) (lower, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group, faultGroup sync.WaitGroup
	var lowest atomic.Bool
	group.Go(func() {
		random := rand.New(rand.NewPCG(seed, 1001))
		for quotas := randomQuotas(random); ctx.Err() == nil; {
			sleepRandom(random, 1300)
			if random.IntN(2) == 0 {
				quotas = randomQuotas(random)
			}
			if lowest.Load() {
				quotas = lowestQuotas
			}
			d.store.Put("op/config", d.ledger.beginVersion(quotas))
			d.ledger.storedVersion()
		}
	})
	group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			d.ledger.check()
		}
	})
	for i, f := range organisationFaults {
		random := rand.New(rand.NewPCG(seed, uint64(1002+i)))
		g := d.gateways[random.IntN(len(d.gateways))]
		faultGroup.Go(func() {
			sleepRandom(random, 1200)
			d.t.Logf("%s: %s", f.name, g.name)
			defer d.ledger.beginTrouble(f.name, g)()
			f.inject(d, g, random)
		})
	}
	return func() { faultGroup.Wait(); lowest.Store(true) }, func() {
		cancel()
		group.Wait()
		d.ledger.check()
		d.ledger.report()
	}
}

// flood sends first turns of programs and plain calls, whatever the answers are.
func (c *caller) flood(ctx context.Context) {
	for program := 0; ctx.Err() == nil; program++ {
		a := attempt{program: fmt.Sprintf("p%d-%d", c.number, program), route: "lookup"}
		if c.random.IntN(2) == 0 {
			a.route, a.body, a.expectedInput = "turns", "in;", "in;"
		}
		c.send(ctx, a, "")
		time.Sleep(time.Duration(5+c.random.IntN(20)) * time.Millisecond)
	}
}

// hasOrganisations reports whether the deployment of a seed has organisations.
func hasOrganisations(seed uint64) bool { return seed%4 != 0 }

// calmTime returns how long callers go on after the last fault: a second, in which calls in progress end, and with new seeds until some
// windows have passed under lowered quotas.
func calmTime(seed uint64) time.Duration {
	if hasOrganisations(seed) && !slices.Contains(regressionSeeds, seed) {
		return configApplyTime + quotaWindow + 1500*time.Millisecond
	}
	return time.Second
}
