package locality_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/locality"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

var names = []string{"a", "b", "c"}

// plain returns the inputs of a plain service with 72 slots in each of three domains, whose calls are all served at home.
func plain(demand ...float64) locality.Inputs {
	in := locality.Inputs{Service: "app", ServerSlots: 6, CallTime: 250, Way: 0.9, Price: 1.5}
	for i, d := range demand {
		in.Domains = append(in.Domains, locality.Domain{Name: names[i], Slots: 72, Calls: d, Demand: d})
	}
	return in
}

// served returns the fullness of the domains after the shares, and the share of a's calls that leaves.
func served(in locality.Inputs, shares map[locality.Pair]float64) (fullness []float64, left float64) {
	for _, d := range in.Domains {
		load := d.Demand
		for _, e := range in.Domains {
			load += e.Demand*shares[locality.Pair{From: e.Name, To: d.Name}] - d.Demand*shares[locality.Pair{From: d.Name, To: e.Name}]
		}
		fullness = append(fullness, load/d.Slots)
	}
	return fullness, shares[locality.Pair{From: "a", To: "b"}] + shares[locality.Pair{From: "a", To: "c"}]
}

func noneLeaves(locality.Pair) bool { return false }

// Guards against traffic that gains nothing and against more of it than makes both sides equally full, also when a domain's servers
// are lost, cannot be reached from one domain, or are flooded.
func TestSharesLeaveHomeOnlyForGain(t *testing.T) {
	ab, ac := locality.Pair{From: "a", To: "b"}, locality.Pair{From: "a", To: "c"}
	for name, test := range map[string]struct {
		in     locality.Inputs
		change func(in *locality.Inputs)
		left   [2]float64 // Least and largest share of a's calls that leaves.
		even   bool       // a and c are equally full afterwards.
		none   []locality.Pair
	}{
		"even load":                          {in: plain(40, 40, 40)},
		"room at home":                       {in: plain(18, 1, 1)},
		"peak at home":                       {in: plain(66, 24, 24), left: [2]float64{0.3, 0.45}, even: true},
		"all full, another one fuller":       {in: plain(70, 80, 75)},
		"another one fuller by foreign load": {in: plain(60, 20, 20), change: func(in *locality.Inputs) { in.Domains[1].Calls = 70 }, left: [2]float64{0.1, 0.4}, none: []locality.Pair{ab}},
		"servers at home lost":               {in: plain(30, 30, 30), change: func(in *locality.Inputs) { in.Domains[0].Slots = 0 }, left: [2]float64{0.99, 1.01}},
		"servers elsewhere lost":             {in: plain(66, 20, 10), change: func(in *locality.Inputs) { in.Domains[1].Slots = 0 }, left: [2]float64{0.1, 0.5}, none: []locality.Pair{ab}},
		"cut off":                            {in: plain(66, 20, 20), change: func(in *locality.Inputs) { in.Failing = map[locality.Pair]bool{ab: true, ac: true} }},
		"calls from this domain to another one fail": {
			in: plain(66, 20, 20), change: func(in *locality.Inputs) { in.Failing = map[locality.Pair]bool{ab: true} },
			left: [2]float64{0.2, 0.5}, none: []locality.Pair{ab}, even: true,
		},
		"flood at home": {in: plain(400, 30, 30), left: [2]float64{0.5, 0.65}, even: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if test.change != nil {
				test.change(&test.in)
			}
			shares := locality.Shares(test.in, noneLeaves)
			fullness, left := served(test.in, shares)
			t.Logf("fullness %.2f, left %.2f, shares %v", fullness, left, shares)
			is.True(left >= test.left[0] && left <= test.left[1])
			if test.even {
				is.True(math.Abs(fullness[0]-fullness[2]) < 0.1)
			}
			for _, p := range test.none {
				is.Equal(shares[p], 0.0)
			}
			for p := range shares {
				for q := range shares {
					is.True(p.To != q.From) // what a domain receives, it could have kept elsewhere
				}
			}
		})
	}
}

// deployment plays deciders in each domain that see the calls of a fluid model late.
type deployment struct {
	now     time.Time
	demand  func(t time.Duration, domain int) float64
	calls   [3][3]float64 // From and to.
	history [][3][3]float64
	tables  []*locality.Table
}

const step = 50 * time.Millisecond

// advance plays one step. Decider n decides every 250 ms, with a view that is 250 to 750 ms old.
func (d *deployment) advance(elapsed time.Duration) {
	d.history = append(d.history, d.calls)
	for n, table := range d.tables {
		if age := 5 + n*10/(len(d.tables)-1); (len(d.history)+n)%5 == 0 && len(d.history) > age {
			view := d.history[len(d.history)-1-age]
			in := plain(0, 0, 0)
			for from := range 3 {
				for to := range 3 {
					in.Domains[from].Demand += view[from][to]
					in.Domains[to].Calls += view[from][to]
				}
			}
			table.Update(d.now, in)
		}
	}
	for from := range 3 {
		demand := d.demand(elapsed, from)
		stay := 1.0
		for to := range 3 {
			share := 0.0
			for n := from; n < len(d.tables); n += 3 {
				share += d.tables[n].Share("app", locality.Pair{From: names[from], To: names[to]}) / float64(len(d.tables)/3)
			}
			stay -= share
			d.calls[from][to] += (demand*share - d.calls[from][to]) * 0.2
		}
		d.calls[from][from] += demand * stay * 0.2
	}
	d.now = d.now.Add(step)
}

func newDeployment(demand func(time.Duration, int) float64) *deployment {
	d := &deployment{now: time.Unix(1000, 0), demand: demand}
	for range 9 {
		d.tables = append(d.tables, locality.NewTable(1.5))
	}
	for i := range 3 {
		d.calls[i][i] = demand(0, i)
	}
	return d
}

// fullest returns the fullness of the fullest domain.
func (d *deployment) fullest() float64 {
	most := 0.0
	for to := range 3 {
		most = max(most, (d.calls[0][to]+d.calls[1][to]+d.calls[2][to])/72)
	}
	return most
}

// Guards against deciders that all send their calls to the domain that was empty last: with late views the domains would fill and
// empty in turn.
func TestDecidersWithLateViewsConverge(t *testing.T) {
	is := is.New(t)
	d := newDeployment(func(elapsed time.Duration, domain int) float64 {
		if domain == 0 && elapsed > time.Second {
			return 85
		}
		return 30
	})
	low, high := 1.0, 0.0
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += step {
		d.advance(elapsed)
		if elapsed > 6*time.Second {
			share := d.tables[0].Share("app", locality.Pair{From: "a", To: "b"})
			low, high = min(low, share), max(high, share)
			is.True(d.fullest() < 0.8) // 145 calls at 216 slots
		}
	}
	t.Logf("share from %.3f to %.3f", low, high)
	is.True(low > 0.1)
	is.True(high-low < 0.03)
}

// Plays demand that swings by 0.55 of the mean within 13 s, out of phase. Home alone is overloaded at each peak.
func TestSharesFollowDemandOutOfPhase(t *testing.T) {
	is := is.New(t)
	demand := func(elapsed time.Duration, domain int) float64 {
		return 52 * (1 + 0.55*math.Sin(2*math.Pi*(elapsed.Seconds()/13+float64(domain)/3)))
	}
	d := newDeployment(demand)
	most, home := 0.0, 0.0
	for elapsed := time.Duration(0); elapsed < 39*time.Second; elapsed += step {
		d.advance(elapsed)
		if elapsed > 13*time.Second {
			most, home = max(most, d.fullest()), max(home, demand(elapsed, 0)/72)
		}
	}
	t.Logf("fullest %.2f, at home %.2f", most, home)
	is.True(home > 1.1)
	is.True(most < 0.95)
}

// choose places n calls at random loads of the given mean by domain, with the costs of the table. A price of 0 stands for the constant.
func choose(table *locality.Table, seed uint64, n int, engine bool, mean ...int) (chosen []int, left int) {
	random := rand.New(rand.NewPCG(seed, 1))
	costs := schedule.DefaultPlacementCosts()
	for range n {
		candidates := make([]schedule.PlacementCandidate, 36)
		call := table.Call(time.Unix(1000, 0), "app", "a", random.Float64())
		for i := range candidates {
			c := &candidates[i]
			*c = schedule.PlacementCandidate{Slots: 6, Local: i%3 == 0, Calls: min(random.IntN(2*mean[i%3]+1), 6), Connected: random.IntN(3) == 0}
			if !c.Local {
				c.DomainCost = call.Cost(names[i%3], false)
			}
		}
		best := 0
		if engine {
			best = costs.BestEngine(candidates, 500, true, random)
		} else {
			best = costs.BestService(candidates, random)
		}
		if !candidates[best].Local {
			left++
		}
		chosen = append(chosen, best)
	}
	return chosen, left
}

// With even load the choices must be those of the constant. Fewer calls leave a domain that has room while others have less, or at a
// price above the constant, which counts only there.
func TestEvenLoadIsPlacedAsWithTheConstant(t *testing.T) {
	is := is.New(t)
	for _, engine := range []bool{false, true} {
		place := func(price float64, in locality.Inputs, mean ...int) ([]int, int) {
			table := locality.NewTable(price)
			if engine {
				in.CallDelay = 4
			}
			if price > 0 {
				table.Update(time.Unix(1000, 0), in)
			}
			return choose(table, 7, 300, engine, mean...)
		}
		for _, load := range []float64{10, 36, 68} {
			got, _ := place(schedule.DefaultPlacementCosts().RemoteCost, plain(load, load*1.05, load*0.95), 2, 2, 2)
			want, _ := place(0, plain(), 2, 2, 2)
			is.Equal(got, want)
		}
		got, _ := place(125, plain(60, 60, 60), 4, 4, 4)
		want, _ := place(0, plain(), 4, 4, 4)
		is.Equal(got, want)
		_, low := place(1.5, plain(12, 36, 36), 1, 3, 3)
		_, constant := place(0, plain(), 1, 3, 3)
		is.True(low <= constant/2)
		_, low = place(125, plain(15, 15, 15), 1, 1, 1)
		_, constant = place(0, plain(), 1, 1, 1)
		is.True(low <= constant/2)
	}
}

// A prompt cached elsewhere must not be prefilled again because of the price, and one cached at home keeps the program there until
// waiting costs more.
func TestCachedPromptCountsMoreThanTheDomain(t *testing.T) {
	is := is.New(t)
	now, random, costs := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2)), schedule.DefaultPlacementCosts()
	place := func(in locality.Inputs, homeCached, homeCalls, otherCached, otherCalls int) int {
		in.ServerSlots, in.CallDelay, in.CallTime = 24, 4, 600
		table := locality.NewTable(1.5)
		table.Update(now, in)
		call := table.Call(now, "app", "a", 0.5)
		return costs.BestEngine([]schedule.PlacementCandidate{
			{Slots: 24, Local: true, CachedTokens: homeCached, Calls: homeCalls},
			{Slots: 24, CachedTokens: otherCached, Calls: otherCalls, DomainCost: call.Cost("b", otherCached > homeCached)},
		}, 1000, true, random)
	}
	is.Equal(place(plain(10, 40, 40), 0, 3, 300, 6), 1)   // low load at home: cached elsewhere
	is.Equal(place(plain(10, 40, 40), 0, 5, 0, 3), 0)     // the same without a cached prompt
	is.Equal(place(plain(60, 80, 60), 0, 20, 900, 20), 1) // a fuller domain
	is.Equal(place(plain(60, 80, 60), 0, 30, 0, 12), 0)   // the same without a cached prompt
	is.Equal(place(plain(70, 20, 20), 900, 22, 0, 8), 0)  // leaving would save 56 ms and cost 67 ms of prefill
	is.Equal(place(plain(70, 20, 20), 900, 36, 0, 8), 1)  // moving is cheaper
}

// A domain cut off must not get calls in vain, and gets them again when its calls no longer fail. Shares without news must end.
func TestFailingDirectionIsAvoidedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	now, key := time.Unix(1000, 0), locality.Pair{From: "a", To: "b"}
	var outcomes locality.Outcomes
	table := locality.NewTable(1.5)
	update := func(d time.Duration) (changes []locality.Change) {
		for range d / (250 * time.Millisecond) {
			now = now.Add(250 * time.Millisecond)
			in := plain(66, 24, 24)
			in.Failing = outcomes.Failing(now)
			changes = append(changes, table.Update(now, in)...)
		}
		return changes
	}
	cost := func() float64 {
		call := table.Call(now, "app", "a", 0)
		return call.Cost("b", false)
	}
	changes := update(2 * time.Second)
	is.True(len(changes) > 0 && len(changes) < 20) // no line for each update
	is.True(table.Share("app", key) > 0.1)
	is.Equal(cost(), 1.5)
	for range 6 {
		outcomes.Add(now, key, true)
	}
	outcomes.Add(now, locality.Pair{From: "c", To: "b"}, false)
	is.Equal(outcomes.Failing(now), map[locality.Pair]bool{key: true})
	changes = update(250 * time.Millisecond)
	is.Equal(changes[0].Reason, locality.ReasonFailing)
	is.Equal(table.Share("app", key), 0.0)
	is.True(table.Share("app", locality.Pair{From: "a", To: "c"}) > 0.1)
	is.True(cost() > 500)
	update(6 * time.Second)
	is.True(table.Share("app", key) > 0.1)
	now = now.Add(2 * time.Second)
	is.Equal(cost(), 1.5) // old shares no longer hold
	is.True(len(table.Forget("app")) > 0)
}

// Guards against shares that begin and end with each variation of the demand near the threshold, and that follow single calls.
func TestSharesAreSteady(t *testing.T) {
	is := is.New(t)
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(4, 4))
	play := func(demand, spread float64) (ended int, step float64) {
		table, before := locality.NewTable(1.5), 0.0
		for n := range 400 {
			now = now.Add(250 * time.Millisecond)
			table.Update(now, plain(demand+spread*(2*random.Float64()-1), 10, 10))
			share := table.Share("app", locality.Pair{From: "a", To: "b"})
			if share == 0 && before > 0 {
				ended++
			}
			if n > 20 {
				step = max(step, math.Abs(share-before))
			}
			before = share
		}
		return ended, step
	}
	ended, _ := play(26, 4)
	_, step := play(66, 16)
	t.Logf("ended %d times, largest step %.3f", ended, step)
	is.True(ended <= 2)
	is.True(step < 0.015)
}
