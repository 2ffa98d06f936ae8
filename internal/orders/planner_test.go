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

// world is a set of engines that carry orders out after some steps.
type world struct {
	now     time.Time
	planner *Planner
	book    *Book
	engines []*Engine
	targets Targets
	busyFor map[string]int // Engine to the steps left of its order.
	given   []Order
	fetches []time.Time
}

func newWorld(engines int, domains []string) *world {
	w := &world{now: time.Unix(1_000_000, 0), book: NewBook(), targets: Targets{}, busyFor: map[string]int{}}
	w.planner = NewPlanner(DefaultSettings(), w.now)
	for i := range engines {
		w.engines = append(w.engines, &Engine{
			ID: fmt.Sprintf("e%02d", i), FailureDomain: domains[i%len(domains)], Ready: true, Settled: true, Load: 0.6,
		})
	}
	return w
}

func deployment(model, version string, replicas int, domains ...string) policy.Deployment {
	d := policy.Deployment{Name: model, Version: version}
	for _, domain := range domains {
		d.Replicas = append(d.Replicas, policy.Replicas{FailureDomain: domain, Min: replicas})
	}
	return d
}

func (w *world) input() Input {
	in := Input{
		Now: w.now, Targets: w.targets, UnderWay: w.book.UnderWay(), Endings: w.book.Endings(),
		FetchInterval: testInterval, Jitter: func() float64 { return 0.5 },
	}
	for _, e := range w.engines {
		in.Engines = append(in.Engines, *e)
	}
	return in
}

// step plans, begins the orders and ends those whose time is over. It returns the new orders.
func (w *world) step(steps func() int) []Order {
	planned := w.planner.Plan(w.input())
	for i := range planned {
		planned[i].Number = w.book.Next()
		w.book.Commit(Record{Given: &planned[i]})
		w.busyFor[planned[i].Engine] = steps()
		if planned[i].Fetches() {
			w.fetches = append(w.fetches, w.now)
		}
	}
	w.given = append(w.given, planned...)
	w.now = w.now.Add(testStep)
	for _, e := range w.engines {
		o, busy := w.book.UnderWay()[e.ID]
		if !busy || !e.Ready {
			continue
		}
		w.busyFor[e.ID]--
		if w.busyFor[e.ID] <= 0 {
			w.carryOut(e, o)
			w.book.Commit(Record{Ended: &Ending{Order: o, Code: api.CodeOK, AtMS: w.now.UnixMilli()}})
		}
	}
	return planned
}

func (w *world) carryOut(e *Engine, o Order) {
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

// readyReplicas counts the engines that serve the model now, with no order that interrupts them.
func (w *world) readyReplicas(model string) int {
	n := 0
	for _, e := range w.engines {
		o, busy := w.book.UnderWay()[e.ID]
		if e.Serving.Model == model && e.Ready && (!busy || !o.interrupts()) {
			n++
		}
	}
	return n
}

func (w *world) serving(model, domain string) int {
	n := 0
	for _, e := range w.engines {
		if e.Serving.Model == model && e.FailureDomain == domain && e.Ready {
			n++
		}
	}
	return n
}

func one() int { return 1 }

// Under random changes of the configuration and failures: one order under way on an engine, fetches spaced, and no order
// takes the last ready replica of a wanted model. When the changes stop, the orders stop too.
func TestPlansKeepTheInvariantsAndConverge(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(rapid.IntRange(3, 9).Draw(r, "engines"), domains)
		steps := func() int { return rapid.IntRange(1, 25).Draw(r, "duration") }
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			w.disturb(r, domains)
			w.checkedStep(r, steps)
		}
		for _, e := range w.engines {
			e.Ready = true
		}
		for range 600 {
			w.checkedStep(r, one)
		}
		quiet := len(w.given)
		for range 600 {
			w.checkedStep(r, one)
		}
		if len(w.given) != quiet {
			r.Fatalf("orders go on without a change: %+v", w.given[quiet:])
		}
		w.checkConverged(r)
	})
}

func (w *world) disturb(r *rapid.T, domains []string) {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(r, "engine")]
	switch rapid.IntRange(0, 5).Draw(r, "event") {
	case 0:
		e.Ready = !e.Ready
	case 1: // A restart without a model.
		e.Serving = api.Serving{}
	case 2:
		model := rapid.SampledFrom([]string{"m", "n"}).Draw(r, "model")
		version := rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(r, "version")
		w.targets[model] = deployment(model, version, rapid.IntRange(0, 2).Draw(r, "min"), domains[:rapid.IntRange(1, 3).Draw(r, "domains")]...)
	case 3:
		e.Load = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(r, "load")
	}
}

func (w *world) checkedStep(r *rapid.T, steps func() int) {
	before := w.book.UnderWay()
	ready := map[string]int{"m": w.readyReplicas("m"), "n": w.readyReplicas("n")}
	served := make(map[string]string)
	for _, e := range w.engines {
		served[e.ID] = e.Serving.Model
	}
	seen := make(map[string]bool)
	for _, o := range w.step(steps) {
		if _, busy := before[o.Engine]; busy || seen[o.Engine] {
			r.Fatalf("two orders on engine %s", o.Engine)
		}
		seen[o.Engine] = true
		model := served[o.Engine]
		if o.interrupts() && mostReplicas(w.targets[model]) > 0 {
			if ready[model]--; ready[model] < 1 {
				r.Fatalf("order %+v takes the last ready replica of %s", o, model)
			}
		}
	}
	for i := 1; i < len(w.fetches); i++ {
		if w.fetches[i].Sub(w.fetches[i-1]) < testInterval {
			r.Fatalf("fetches at %s and %s", w.fetches[i-1], w.fetches[i])
		}
	}
}

// checkConverged checks that every replica that the engines have room for is there. A last ready replica may keep an
// engine from another model, and its own version back.
func (w *world) checkConverged(r *rapid.T) {
	want, room := 0, len(w.engines)
	for _, d := range w.targets {
		want += mostReplicas(d)
	}
	have := 0
	for _, e := range w.engines {
		if d, ok := w.targets[e.Serving.Model]; ok && mostReplicas(d) > 0 {
			have++
		}
	}
	if have < min(want, room) {
		r.Fatalf("%d replicas of %d wanted with %d engines: %+v", have, want, room, w.targets)
	}
}

// A model is spread as declared. A lost failure domain's replicas are replaced elsewhere, and its return gives no order.
func TestLostFailureDomainIsReplacedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(12, []string{"a", "b", "c"})
	w.targets["m"] = deployment("m", "", 2, "a", "b", "c")
	w.run(200)
	is.Equal([]int{w.serving("m", "a"), w.serving("m", "b"), w.serving("m", "c")}, []int{2, 2, 2})
	is.Equal(len(w.given), 6)
	w.setDomain("a", false)
	w.run(200)
	is.Equal(w.serving("m", "b")+w.serving("m", "c"), 6)
	is.Equal(len(w.given), 8)
	w.setDomain("a", true)
	w.run(200)
	is.Equal(len(w.given), 8)
	w.setDomain("a", false) // shorter than LostAfter: a restart
	w.run(5)
	w.setDomain("a", true)
	w.run(50)
	is.Equal(len(w.given), 8)
}

func (w *world) run(steps int) {
	for range steps {
		w.step(one)
	}
}

func (w *world) setDomain(domain string, ready bool) {
	for _, e := range w.engines {
		if e.FailureDomain == domain {
			e.Ready = ready
		}
	}
}

func (w *world) setLoad(load float64) {
	for _, e := range w.engines {
		e.Load = load
	}
}

// A load that goes up and down faster than the planner reacts gives no orders; a lasting one gives one replica a minute.
func TestLoadIsFollowedSlowly(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, []string{"a"})
	d := deployment("m", "", 1, "a")
	d.Replicas[0].Max = 3
	w.targets["m"] = d
	w.run(60)
	is.Equal(len(w.given), 1)
	for range 20 {
		w.setLoad(1)
		w.run(50)
		w.setLoad(0)
		w.run(50)
	}
	is.Equal(len(w.given), 1)
	w.setLoad(1)
	w.run(600)
	is.Equal(w.serving("m", "a"), 3) // the declared maximum
	w.setLoad(0)
	w.run(3000)
	w.targets["n"] = deployment("n", "", 5, "a")
	w.run(300)
	is.Equal([]int{w.serving("m", "a"), w.serving("n", "a")}, []int{1, 5}) // the additional replicas were given up
}

// The only replica changes its version after another engine has taken the model; without one it waits.
func TestOnlyReplicaIsSucceededBeforeItChanges(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{1, 2} {
		w := newWorld(engines, []string{"a"})
		w.targets["m"] = deployment("m", "v1", 1, "a")
		w.run(60)
		w.targets["m"] = deployment("m", "v2", 1, "a")
		for range 200 {
			w.step(one)
			is.True(w.readyReplicas("m") >= 1)
		}
		versions := make(map[string]int)
		for _, e := range w.engines {
			versions[e.Serving.Version]++
		}
		if engines == 1 {
			is.Equal(versions, map[string]int{"v1": 1})
		} else {
			is.Equal(versions, map[string]int{"v2": 2})
		}
	}
}

// A refused order is repeated ever more slowly.
func TestRefusedOrderBacksOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, []string{"a"})
	w.targets["m"] = deployment("m", "", 1, "a")
	var at []time.Time
	for range 2000 {
		for _, o := range w.planner.Plan(w.input()) {
			o.Number = w.book.Next()
			w.book.Commit(Record{Given: &o})
			w.book.Commit(Record{Ended: &Ending{Order: o, Code: api.CodeBackendError, AtMS: w.now.UnixMilli()}})
			at = append(at, w.now)
		}
		w.now = w.now.Add(testStep)
	}
	is.True(len(at) > 5 && len(at) < 12)
	s := DefaultSettings()
	is.True(at[len(at)-1].Sub(at[len(at)-2]) >= s.BackoffMax)
}

// A book that restores a snapshot and applies the records since, some of them twice, is the book that applied them all.
func TestBookSurvivesSnapshotAndRepeatedRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		book, replayed := NewBook(), NewBook()
		var records [][]byte
		cut := rapid.IntRange(0, 40).Draw(r, "snapshot after")
		for i := range 40 {
			if i == cut {
				data, err := book.Snapshot()
				if err != nil || !IsSnapshot(data) || replayed.Restore(data) != nil {
					r.Fatal("snapshot not restored")
				}
			}
			record := nextRecord(r, book)
			book.Commit(record)
			data, err := record.Encode()
			if err != nil || !IsRecord(data) {
				r.Fatal("record not encoded")
			}
			records = append(records, data)
		}
		from := 0
		if cut < 40 {
			from = rapid.IntRange(0, cut).Draw(r, "replay from")
		}
		for _, data := range records[from:] {
			if err := replayed.Apply(data); err != nil {
				r.Fatal(err)
			}
		}
		want, _ := book.Snapshot()
		got, _ := replayed.Snapshot()
		if string(want) != string(got) {
			r.Fatalf("replayed %s, want %s", got, want)
		}
	})
}

func nextRecord(r *rapid.T, book *Book) Record {
	engine := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(r, "engine"))
	if o, busy := book.UnderWay()[engine]; busy {
		return Record{Ended: &Ending{Order: o, Code: api.CodeOK, AtMS: int64(o.Number)}}
	}
	return Record{Given: &Order{Number: book.Next(), Engine: engine, Kind: api.OrderLoadModel, Argument: "m"}}
}

// An engine whose load has just ended counts as a replica before its report says so: its last report still names the old
// model. Without this a busy fleet, whose reports are late, loads one replica too many.
func TestLoadThatJustEndedCountsBeforeItsReport(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, []string{"a"})
	w.targets = Targets{"m": deployment("m", "", 1, "a"), "spare": {Name: "spare"}}
	for _, e := range w.engines {
		e.Serving.Model = "spare"
	}
	w.now = w.now.Add(2 * testInterval)
	given := w.planner.Plan(w.input())
	is.Equal(len(given), 1)
	o := given[0]
	o.Number = w.book.Next()
	w.book.Commit(Record{Given: &o})
	w.book.Commit(Record{Ended: &Ending{Order: o, Code: api.CodeOK, AtMS: w.now.UnixMilli()}})
	for _, e := range w.engines {
		e.Settled = e.ID != o.Engine
	}
	w.now = w.now.Add(2 * testInterval)
	is.Equal(len(w.planner.Plan(w.input())), 0)

	// A load that had no effect counts for nothing.
	w.book.Commit(Record{Given: &Order{Number: w.book.Next(), Engine: o.Engine, Kind: o.Kind, Argument: o.Argument, Model: o.Model}})
	failed := w.book.UnderWay()[o.Engine]
	w.book.Commit(Record{Ended: &Ending{Order: failed, Code: api.CodeBackendError, AtMS: w.now.UnixMilli()}})
	is.Equal(len(w.planner.Plan(w.input())), 1)
}
