package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

var (
	seeds       = flag.Int("soak.seeds", 0, "number of new random seeds to run after the regression seeds")
	onlySeed    = flag.Uint64("soak.seed", 0, "run only this seed, and the new ones")
	gateways    = flag.Int("soak.gateways", 4, "number of gateway processes")
	callers     = flag.Int("soak.callers", 12, "number of concurrent callers")
	faultPeriod = flag.Duration("soak.length", 6*time.Second, "time during which faults are injected")
)

// regressionSeeds are run each time: a default seed, and seeds that once failed, with the cause of the failure.
var regressionSeeds = []uint64{
	1,
	239776004796, // SIGTERM during startup: the signal handler was installed only after the settings were read.
	341111387170, // The same cause.
}

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "redwinggauge")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/redwinggauge")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	forEachSeed(t, regressionSeeds, runSeed)
}

// forEachSeed calls run for the seeds of each run, or the one of the flag, and for new ones.
func forEachSeed(t *testing.T, each []uint64, run func(t *testing.T, seed uint64)) {
	list := slices.Clone(each)
	if *onlySeed != 0 {
		list = []uint64{*onlySeed}
	}
	for range *seeds {
		list = append(list, rand.Uint64N(1<<40))
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			fmt.Println("seed", seed) // At once: a panic of a library would hide it.
			run(t, seed)
		})
	}
}

// runSeed runs a deployment under the faults of a seed and checks what callers observed.
func runSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var l *ledger
	configuration, key := standin.Configuration(1), ""
	if hasOrganisations(seed) {
		l = newLedger(t)
		configuration, key = l.beginVersion(lowestQuotas), keyText(organisationNames[0], keyStays)
	}
	d := newDeployment(t, binary, *gateways, configuration)
	d.awaitReady(key)
	lower, end := func() {}, func() {}
	if l != nil {
		d.ledger, l.servers = l, d.servers
		l.storedVersion()
		lower, end = d.startOrganisations(seed)
	}
	var log attemptLog
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	number := *callers
	if l != nil {
		number += flooders
	}
	for i := range number {
		c := &caller{
			number: i, random: rand.New(rand.NewPCG(seed, uint64(i+2))), gateways: d.gateways, log: &log,
			organisation: organisationNames[i%3], ledger: l,
		}
		run, timeout := c.run, 4*time.Second
		if i >= *callers {
			c.organisation, run, timeout = "flood", c.flood, time.Second
		}
		for range d.gateways {
			c.clients = append(c.clients, &http.Client{Transport: &http.Transport{}, Timeout: timeout})
		}
		group.Go(func() { run(ctx) })
	}
	until := time.Now().Add(*faultPeriod)
	var broken sync.WaitGroup
	broken.Go(func() { d.injectBrokenAnswers(rand.New(rand.NewPCG(seed, 0)), until) })
	d.injectFaults(random, until)
	broken.Wait()
	lower()
	time.Sleep(calmTime(seed))
	cancel()
	group.Wait()
	end()
	answered := 0
	for _, a := range log.attempts {
		if a.status == http.StatusOK && a.complete {
			answered++
		}
	}
	t.Logf("seed %d: %d attempts, %d complete responses", seed, len(log.attempts), answered)
	if answered == 0 {
		t.Error("no attempt got a complete response")
	}
	checkAttempts(t, log.attempts, d.servers)
}

// fault is a kind of fault. Its inject function injects the fault and, unless it is instantaneous, removes it after a while.
type fault struct {
	name   string
	inject func(d *deployment, g *gateway, random *rand.Rand)
}

var faults = []fault{
	{"kill", func(d *deployment, g *gateway, _ *rand.Rand) { d.stop(g, syscall.SIGKILL); d.start(g) }},
	{"kill all", func(d *deployment, _ *gateway, _ *rand.Rand) {
		for _, g := range d.gateways {
			d.stop(g, syscall.SIGKILL)
		}
		for _, g := range d.gateways {
			d.start(g)
		}
	}},
	{"term", func(d *deployment, g *gateway, _ *rand.Rand) { d.stop(g, syscall.SIGTERM); d.start(g) }},
	{"freeze", func(_ *deployment, g *gateway, random *rand.Rand) {
		g.signal(syscall.SIGSTOP)
		sleepRandom(random, 1500)
		g.signal(syscall.SIGCONT)
	}},
	{"hup", func(_ *deployment, g *gateway, _ *rand.Rand) { g.signal(syscall.SIGHUP) }},
	{"store unavailable", func(d *deployment, _ *gateway, random *rand.Rand) {
		d.store.SetDown(true)
		sleepRandom(random, 1500)
		d.store.SetDown(false)
	}},
	{"responses lost", func(d *deployment, _ *gateway, random *rand.Rand) { d.store.LoseAnswers(1 + random.IntN(8)) }},
	{"history compacted", func(d *deployment, _ *gateway, _ *rand.Rand) { d.store.Compact() }},
	{"link delayed", linkFault("latency", `{"latency":300,"jitter":200}`, 0)},
	{"link dropping data", linkFault("timeout", `{"timeout":0}`, 0)},
	{"link with zero bandwidth", linkFault("bandwidth", `{"rate":0}`, 0)},
	{"link reset", linkFault("reset_peer", `{"timeout":20}`, 0)},
	{"server leaves and returns", func(d *deployment, _ *gateway, random *rand.Rand) {
		s := d.servers[random.IntN(len(d.servers))]
		d.store.Remove("servers/" + s.ID)
		sleepRandom(random, 800)
		d.store.Put("servers/"+s.ID, s.Entry(strings.Split(s.ID, "-")[0], "ready"))
	}},
	{"server names a limit", func(d *deployment, _ *gateway, random *rand.Rand) {
		s := d.servers[random.IntN(len(d.servers))]
		s.SetLimit(0.1 + 20*random.Float64())
		sleepRandom(random, 3000)
		s.SetLimit(0)
	}},
	{"server sheds", func(d *deployment, _ *gateway, random *rand.Rand) {
		s := d.servers[random.IntN(len(d.servers))]
		s.SetHandler(standin.Shed)
		sleepRandom(random, 800)
		s.SetHandler(nil)
	}},
}

// injectFault injects the fault with the name, and removes it, while the ledger notes the trouble of the gateway.
func (d *deployment) injectFault(l *ledger, name string, g *gateway, random *rand.Rand) {
	d.t.Helper()
	d.t.Logf("%s %s: %s", clock(time.Now()), name, g.name)
	defer l.beginTrouble(name, g)()
	faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })].inject(d, g, random)
}

// linkFault returns a fault that adds a toxic of toxiproxy to one direction of the link between a gateway and the store, for at least
// the given time.
func linkFault(kind, attributes string, atLeast time.Duration) func(*deployment, *gateway, *rand.Rand) {
	return func(d *deployment, g *gateway, random *rand.Rand) {
		stream := []string{"upstream", "downstream"}[random.IntN(2)]
		name := fmt.Sprintf("%s-%d", kind, random.Uint64())
		text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
		if _, err := g.storeLink.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			d.t.Error(err)
			return
		}
		time.Sleep(atLeast)
		sleepRandom(random, 1500)
		if err := g.storeLink.Toxics.RemoveToxic(context.Background(), name); err != nil {
			d.t.Error(err)
		}
	}
}

// sleepRandom sleeps for 100 ms plus a random time of less than maxExtraMS milliseconds.
func sleepRandom(random *rand.Rand, maxExtraMS int) {
	time.Sleep(time.Duration(100+random.IntN(maxExtraMS)) * time.Millisecond)
}

// injectFaults injects random faults, which may overlap, until the given time and then waits until all are removed.
func (d *deployment) injectFaults(random *rand.Rand, until time.Time) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		f := faults[random.IntN(len(faults))]
		g := d.gateways[random.IntN(len(d.gateways))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		d.t.Logf("%s: %s", f.name, g.name)
		group.Go(func() {
			defer d.ledger.beginTrouble(f.name, g)()
			f.inject(d, g, faultRandom)
		})
		time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond)
	}
	group.Wait()
}
