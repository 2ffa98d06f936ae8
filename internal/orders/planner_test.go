package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
)

const (
	testInterval = 10 * time.Second
	testStep     = time.Second
)

// testFleet is a set of simulated engines that finish orders after some steps.
type testFleet struct {
	now        time.Time
	planner    *Planner
	book       *Book
	engines    []*Engine
	targets    Targets
	stepsLeft  map[string]int // By engine: number of steps until its order is finished.
	orders     []Order        // All orders that were planned.
	fetchTimes []time.Time    // When those of them that fetch were planned.
}

// newTestFleet returns a fleet of ready engines without a model, distributed evenly over the failure domains.
func newTestFleet(engines int, domains []string) *testFleet {
	f := &testFleet{now: time.Unix(1_000_000, 0), book: NewBook(), targets: Targets{}, stepsLeft: map[string]int{}}
	f.planner = NewPlanner(DefaultSettings(), f.now)
	for i := range engines {
		f.engines = append(f.engines, &Engine{
			ID: fmt.Sprintf("e%02d", i), FailureDomain: domains[i%len(domains)], Ready: true, ReportCurrent: true, Load: 0.6,
		})
	}
	return f
}

// deployment returns a deployment with the same number of replicas in each of the failure domains.
func deployment(model, version string, replicas int, domains ...string) policy.Deployment {
	d := policy.Deployment{Name: model, Version: version}
	for _, domain := range domains {
		d.Replicas = append(d.Replicas, policy.Replicas{FailureDomain: domain, Min: replicas})
	}
	return d
}

// input returns the input of a plan for the current state of the fleet.
func (f *testFleet) input() Input {
	in := Input{
		Now: f.now, Targets: f.targets, UnderWay: f.book.UnderWay(), Outcomes: f.book.Outcomes(),
		FetchInterval: testInterval, Jitter: func() float64 { return 0.5 },
	}
	for _, e := range f.engines {
		in.Engines = append(in.Engines, *e)
	}
	return in
}

// step makes a plan, records its orders as in progress, and finishes orders whose steps have passed. steps returns the number
// of steps that a new order takes. step returns the new orders.
func (f *testFleet) step(steps func() int) []Order {
	planned := f.planner.Plan(f.input())
	for i := range planned {
		planned[i].Number = f.book.NextNumber()
		f.book.ApplyRecord(Record{Given: &planned[i]})
		f.stepsLeft[planned[i].Engine] = steps()
		if planned[i].Fetches() {
			f.fetchTimes = append(f.fetchTimes, f.now)
		}
	}
	f.orders = append(f.orders, planned...)
	f.now = f.now.Add(testStep)
	for _, e := range f.engines {
		o, busy := f.book.UnderWay()[e.ID]
		if !busy || !e.Ready {
			continue
		}
		f.stepsLeft[e.ID]--
		if f.stepsLeft[e.ID] <= 0 {
			f.applyOrder(e, o)
			f.book.ApplyRecord(Record{Ended: &Outcome{Order: o, Code: api.CodeOK, AtMS: f.now.UnixMilli()}})
		}
	}
	return planned
}

// applyOrder applies the effect of the order to the engine.
func (f *testFleet) applyOrder(e *Engine, o Order) {
	switch o.Kind {
	case api.OrderLoadModel:
		model, version := ParseLoadArgument(o.Argument)
		e.Serving = api.Serving{Model: model, Version: version, Role: e.Serving.Role}
	case api.OrderLoadAdapter:
		e.Serving.Adapters = append(e.Serving.Adapters, o.Argument)
	case api.OrderSetVersion:
		e.Serving.Version = o.Argument
	case api.OrderSetRole:
		e.Serving.Role = o.Argument
	}
}

// readyReplicas returns the number of engines that serve the model and that no order interrupts.
func (f *testFleet) readyReplicas(model string) int {
	n := 0
	for _, e := range f.engines {
		o, busy := f.book.UnderWay()[e.ID]
		if e.Serving.Model == model && e.Ready && (!busy || !o.interrupts()) {
			n++
		}
	}
	return n
}

// serving returns the number of ready engines in the failure domain whose model is the given one.
func (f *testFleet) serving(model, domain string) int {
	n := 0
	for _, e := range f.engines {
		if e.Serving.Model == model && e.FailureDomain == domain && e.Ready {
			n++
		}
	}
	return n
}

func oneStep() int { return 1 }

// Changes the configuration and the state of engines at random. No engine may get a second order while it has one, orders
// that fetch must keep their interval, and no order may interrupt the last ready replica of a wanted model. After the last
// change, all replicas must come to exist and no more orders may follow.
func TestPlansKeepTheInvariantsAndConverge(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(r *rapid.T) {
		f := newTestFleet(rapid.IntRange(3, 9).Draw(r, "engines"), domains)
		steps := func() int { return rapid.IntRange(1, 25).Draw(r, "duration") }
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			f.applyRandomEvent(r, domains)
			f.stepAndCheck(r, steps)
		}
		for _, e := range f.engines {
			e.Ready = true
		}
		for range 600 {
			f.stepAndCheck(r, oneStep)
		}
		settled := len(f.orders)
		for range 600 {
			f.stepAndCheck(r, oneStep)
		}
		if len(f.orders) != settled {
			r.Fatalf("orders without any further change: %+v", f.orders[settled:])
		}
		f.checkConverged(r)
	})
}

// applyRandomEvent changes the state of an engine or a deployment, or does nothing.
func (f *testFleet) applyRandomEvent(r *rapid.T, domains []string) {
	e := f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(r, "engine")]
	switch rapid.IntRange(0, 5).Draw(r, "event") {
	case 0:
		e.Ready = !e.Ready
	case 1: // The engine restarts without a model.
		e.Serving = api.Serving{}
	case 2:
		model := rapid.SampledFrom([]string{"m", "n"}).Draw(r, "model")
		version := rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(r, "version")
		f.targets[model] = deployment(model, version, rapid.IntRange(0, 2).Draw(r, "min"), domains[:rapid.IntRange(1, 3).Draw(r, "domains")]...)
	case 3:
		e.Load = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(r, "load")
	}
}

// stepAndCheck runs a step and checks that its orders violate no invariant.
func (f *testFleet) stepAndCheck(r *rapid.T, steps func() int) {
	before := f.book.UnderWay()
	ready := map[string]int{"m": f.readyReplicas("m"), "n": f.readyReplicas("n")}
	served := make(map[string]string)
	for _, e := range f.engines {
		served[e.ID] = e.Serving.Model
	}
	seen := make(map[string]bool)
	for _, o := range f.step(steps) {
		if _, busy := before[o.Engine]; busy || seen[o.Engine] {
			r.Fatalf("engine %s gets a second order while one is in progress", o.Engine)
		}
		seen[o.Engine] = true
		model := served[o.Engine]
		if o.interrupts() && maxReplicas(f.targets[model]) > 0 {
			if ready[model]--; ready[model] < 1 {
				r.Fatalf("order %+v interrupts the last ready replica of %s", o, model)
			}
		}
	}
	for i := 1; i < len(f.fetchTimes); i++ {
		if f.fetchTimes[i].Sub(f.fetchTimes[i-1]) < testInterval {
			r.Fatalf("orders that fetch are too close to each other: %s and %s", f.fetchTimes[i-1], f.fetchTimes[i])
		}
	}
}

// checkConverged checks that as many replicas of wanted models exist as are wanted or as there are engines. It does not
// check models and versions, since the last ready replica of a model may not be interrupted.
func (f *testFleet) checkConverged(r *rapid.T) {
	want, capacity := 0, len(f.engines)
	for _, d := range f.targets {
		want += maxReplicas(d)
	}
	have := 0
	for _, e := range f.engines {
		if d, ok := f.targets[e.Serving.Model]; ok && maxReplicas(d) > 0 {
			have++
		}
	}
	if have < min(want, capacity) {
		r.Fatalf("%d replicas exist, %d are wanted, with %d engines: %+v", have, want, capacity, f.targets)
	}
}

// Replicas are placed in the declared failure domains. When a failure domain is lost, its replicas are replaced in others,
// once. Neither its return nor an absence shorter than LostAfter leads to any order.
func TestLostFailureDomainIsReplacedOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12, []string{"a", "b", "c"})
	f.targets["m"] = deployment("m", "", 2, "a", "b", "c")
	f.run(200)
	is.Equal([]int{f.serving("m", "a"), f.serving("m", "b"), f.serving("m", "c")}, []int{2, 2, 2})
	is.Equal(len(f.orders), 6)
	f.setDomainReady("a", false)
	f.run(200)
	is.Equal(f.serving("m", "b")+f.serving("m", "c"), 6)
	is.Equal(len(f.orders), 8)
	f.setDomainReady("a", true)
	f.run(200)
	is.Equal(len(f.orders), 8)
	f.setDomainReady("a", false) // For less than LostAfter, as in a restart.
	f.run(5)
	f.setDomainReady("a", true)
	f.run(50)
	is.Equal(len(f.orders), 8)
}

func (f *testFleet) run(steps int) {
	for range steps {
		f.step(oneStep)
	}
}

func (f *testFleet) setDomainReady(domain string, ready bool) {
	for _, e := range f.engines {
		if e.FailureDomain == domain {
			e.Ready = ready
		}
	}
}

func (f *testFleet) setLoad(load float64) {
	for _, e := range f.engines {
		e.Load = load
	}
}

// A load that changes faster than GrowAfter leads to no orders. A lasting high load adds at most one replica per GrowAfter
// (one minute), up to the maximum. A lasting low load makes the additional ones available to other models.
func TestLoadIsFollowedSlowly(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, []string{"a"})
	d := deployment("m", "", 1, "a")
	d.Replicas[0].Max = 3
	f.targets["m"] = d
	f.run(60)
	is.Equal(len(f.orders), 1)
	for range 20 {
		f.setLoad(1)
		f.run(50)
		f.setLoad(0)
		f.run(50)
	}
	is.Equal(len(f.orders), 1)
	f.setLoad(1)
	f.run(600)
	is.Equal(f.serving("m", "a"), 3) // The declared maximum.
	f.setLoad(0)
	f.run(3000)
	f.targets["n"] = deployment("n", "", 5, "a")
	f.run(300)
	is.Equal([]int{f.serving("m", "a"), f.serving("n", "a")}, []int{1, 5}) // The additional replicas were removed.
}

// The only replica of a model changes its version only after another engine has loaded the model. Without another engine it
// keeps its version.
func TestOnlyReplicaIsReplacedBeforeItChanges(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{1, 2} {
		f := newTestFleet(engines, []string{"a"})
		f.targets["m"] = deployment("m", "v1", 1, "a")
		f.run(60)
		f.targets["m"] = deployment("m", "v2", 1, "a")
		for range 200 {
			f.step(oneStep)
			is.True(f.readyReplicas("m") >= 1)
		}
		versions := make(map[string]int)
		for _, e := range f.engines {
			versions[e.Serving.Version]++
		}
		if engines == 1 {
			is.Equal(versions, map[string]int{"v1": 1})
		} else {
			is.Equal(versions, map[string]int{"v2": 2})
		}
	}
}

// An order that fails every time is repeated with increasing pauses.
func TestRefusedOrderBacksOff(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, []string{"a"})
	f.targets["m"] = deployment("m", "", 1, "a")
	var orderTimes []time.Time
	for range 2000 {
		for _, o := range f.planner.Plan(f.input()) {
			o.Number = f.book.NextNumber()
			f.book.ApplyRecord(Record{Given: &o})
			f.book.ApplyRecord(Record{Ended: &Outcome{Order: o, Code: api.CodeBackendError, AtMS: f.now.UnixMilli()}})
			orderTimes = append(orderTimes, f.now)
		}
		f.now = f.now.Add(testStep)
	}
	is.True(len(orderTimes) > 5 && len(orderTimes) < 12)
	s := DefaultSettings()
	is.True(orderTimes[len(orderTimes)-1].Sub(orderTimes[len(orderTimes)-2]) >= s.BackoffMax)
}

// A book that is restored from a snapshot and replays the later records, and some earlier ones again, has the same state as
// the book that applied each record once.
func TestBookSurvivesSnapshotAndRepeatedRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		book, replayed := NewBook(), NewBook()
		var records [][]byte
		snapshotAfter := rapid.IntRange(0, 40).Draw(r, "snapshot after")
		for i := range 40 {
			if i == snapshotAfter {
				data, err := book.Snapshot()
				if err != nil || !IsSnapshot(data) || replayed.Restore(data) != nil {
					r.Fatal("snapshot cannot be encoded or restored")
				}
			}
			record := randomRecord(r, book)
			book.ApplyRecord(record)
			data, err := record.Encode()
			if err != nil || !IsRecord(data) {
				r.Fatal("record cannot be encoded")
			}
			records = append(records, data)
		}
		from := 0
		if snapshotAfter < 40 {
			from = rapid.IntRange(0, snapshotAfter).Draw(r, "replay from")
		}
		for _, data := range records[from:] {
			if err := replayed.Apply(data); err != nil {
				r.Fatal(err)
			}
		}
		want, _ := book.Snapshot()
		got, _ := replayed.Snapshot()
		if string(want) != string(got) {
			r.Fatalf("state after replay is %s, want %s", got, want)
		}
	})
}

// randomRecord returns the outcome of the order in progress on a random engine or, if there is none, a new order.
func randomRecord(r *rapid.T, book *Book) Record {
	engine := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(r, "engine"))
	if o, busy := book.UnderWay()[engine]; busy {
		return Record{Ended: &Outcome{Order: o, Code: api.CodeOK, AtMS: int64(o.Number)}}
	}
	return Record{Given: &Order{Number: book.NextNumber(), Engine: engine, Kind: api.OrderLoadModel, Argument: "m"}}
}

// An engine that has just loaded a model counts as a replica although its last report still names the old model. Otherwise
// a busy fleet, whose reports are late, would load one replica too many.
func TestLoadThatJustEndedCountsBeforeItsReport(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3, []string{"a"})
	f.targets = Targets{"m": deployment("m", "", 1, "a"), "spare": {Name: "spare"}}
	for _, e := range f.engines {
		e.Serving.Model = "spare"
	}
	f.now = f.now.Add(2 * testInterval)
	planned := f.planner.Plan(f.input())
	is.Equal(len(planned), 1)
	o := planned[0]
	o.Number = f.book.NextNumber()
	f.book.ApplyRecord(Record{Given: &o})
	f.book.ApplyRecord(Record{Ended: &Outcome{Order: o, Code: api.CodeOK, AtMS: f.now.UnixMilli()}})
	for _, e := range f.engines {
		e.ReportCurrent = e.ID != o.Engine
	}
	f.now = f.now.Add(2 * testInterval)
	is.Equal(len(f.planner.Plan(f.input())), 0)

	// A failed load does not count.
	f.book.ApplyRecord(Record{Given: &Order{Number: f.book.NextNumber(), Engine: o.Engine, Kind: o.Kind, Argument: o.Argument, Model: o.Model}})
	failed := f.book.UnderWay()[o.Engine]
	f.book.ApplyRecord(Record{Ended: &Outcome{Order: failed, Code: api.CodeBackendError, AtMS: f.now.UnixMilli()}})
	is.Equal(len(f.planner.Plan(f.input())), 1)
}
