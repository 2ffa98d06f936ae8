package schedule

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawLedger(t *rapid.T, label string) *SuspectLedger {
	l := NewSuspectLedger(4, MaxCrashes)
	for range rapid.IntRange(0, 12).Draw(t, label) {
		at := testNow.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second)
		l.Crash(fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "fingerprint")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "crash")), at)
	}
	return l
}

func copyLedger(l *SuspectLedger) *SuspectLedger {
	c := NewSuspectLedger(4, MaxCrashes)
	c.Merge(l.Records())
	return c
}

func TestSuspectMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawLedger(t, "a")
		b := drawLedger(t, "b")
		ab := copyLedger(a)
		ab.Merge(b.Records())
		ba := copyLedger(b)
		ba.Merge(a.Records())
		if !reflect.DeepEqual(ab.Records(), ba.Records()) {
			t.Fatalf("a+b = %v, b+a = %v", ab.Records(), ba.Records())
		}
		again := copyLedger(ab)
		again.Merge(b.Records())
		again.Merge(ab.Records())
		if !reflect.DeepEqual(again.Records(), ab.Records()) {
			t.Fatalf("merging twice changed %v to %v", ab.Records(), again.Records())
		}
		if ab.Len() > 4 {
			t.Fatalf("%d records exceed the limit of 4", ab.Len())
		}
	})
}

func TestSuspectRunModes(t *testing.T) {
	is := is.New(t)
	one := NewSuspectLedger(10, MaxCrashes)
	two := NewSuspectLedger(10, MaxCrashes)
	is.Equal(one.Mode("f"), RunModeNormal)
	one.Crash("f", "server-1/1", testNow)
	one.Crash("f", "server-1/1", testNow) // The same crash, reported twice.
	is.Equal(one.Mode("f"), RunModeAlone)
	two.Crash("f", "server-2/1", testNow)
	one.Merge(two.Records())
	is.Equal(one.Mode("f"), RunModeRefused)
	is.Equal(one.Mode("g"), RunModeNormal)
}

func TestRetryBudgetNeverExceedsEarnedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, maximum, perSecond = 0.1, 5.0, 0.5
		b := NewRetryBudget(ratio, maximum, perSecond, testNow)
		now := testNow
		successes, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.Success()
				successes++
			} else if b.Withdraw(now) {
				retries++
			}
		}
		earned := maximum + ratio*float64(successes) + perSecond*now.Sub(testNow).Seconds()
		if float64(retries) > earned+1e-6 || b.Tokens() < 0 || b.Tokens() > maximum {
			t.Fatalf("%d retries were allowed but only %.2f were earned; %.2f are left", retries, earned, b.Tokens())
		}
	})
}

func TestHedge(t *testing.T) {
	late := HedgeInput{Repeatable: true, Elapsed: 10 * time.Second, Expected: time.Second, Load: 0.2}
	cases := []struct {
		name   string
		change func(*HedgeInput)
		budget float64
		want   bool
	}{
		{"late and repeatable", func(*HedgeInput) {}, 1, true},
		{"not repeatable", func(in *HedgeInput) { in.Repeatable = false }, 1, false},
		{"already answering", func(in *HedgeInput) { in.Started = true }, 1, false},
		{"not late yet", func(in *HedgeInput) { in.Elapsed = 3 * time.Second }, 1, false},
		{"servers are loaded", func(in *HedgeInput) { in.Load = 0.9 }, 1, false},
		{"retry budget is exhausted", func(*HedgeInput) {}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := late
			c.change(&in)
			budget := NewRetryBudget(0, c.budget, 0, testNow)
			is.Equal(DefaultHedge().Allow(in, budget, testNow), c.want)
			if c.want {
				is.Equal(budget.Tokens(), 0.0)
			}
		})
	}
}

func TestAdmission(t *testing.T) {
	is := is.New(t)
	a := Admission{MaxWaitNew: time.Second, MaxWaitUnderway: 10 * time.Second, PriorityFactor: 2}
	is.True(a.Admit(0, 0, time.Second))
	is.True(!a.Admit(0, 0, 1100*time.Millisecond))
	is.True(a.Admit(0, 5, 9*time.Second)) // Under way: refusing it would waste work.
	is.True(!a.Admit(0, 5, 11*time.Second))
	is.True(a.Admit(1, 0, 1900*time.Millisecond))
}

func TestClassCosts(t *testing.T) {
	is := is.New(t)
	c := NewClassCosts(3)
	for range minCostSamples {
		is.Equal(c.Factor("long"), 1.0) // Too few observations.
		c.Observe("long", 0, 9000)
		c.Observe("short", 0, 1000)
		c.Observe("urgent", 5, 1_000_000)
	}
	is.Equal(c.Factor("long"), 1.8)
	is.Equal(c.Factor("short"), minCostFactor)
	is.Equal(c.Factor("urgent"), 1.0) // The only class of its priority.
	c.Observe("fourth", 0, 5)
	is.Equal(len(c.classes), 3)
	a := Admission{MaxWaitNew: 10 * time.Second, MaxWaitUnderway: 10 * time.Second, PriorityFactor: 1}
	is.True(!a.AdmitCost(0, 0, 6*time.Second, c.Factor("long")))
	is.True(a.AdmitCost(0, 0, 30*time.Second, c.Factor("short")))
	is.True(a.AdmitCost(0, 5, 6*time.Second, c.Factor("long"))) // Under way: admitted regardless of its cost.
}

func TestHoldDecision(t *testing.T) {
	short, long, mixed := PauseForecast{}, PauseForecast{}, PauseForecast{}
	for i := range short {
		short[i] = 2 * time.Second
		long[i] = 2 * time.Minute
		mixed[i] = time.Second
		if i >= forecastQuantiles*3/4 {
			mixed[i] = time.Hour
		}
	}
	base := HoldInput{Tokens: 10_000, PrefillRate: 5000, CacheUsed: 50, CacheCapacity: 100}
	cases := []struct {
		name   string
		change func(*HoldInput)
		want   HoldAction
		least  time.Duration
		most   time.Duration
	}{
		{"short pause is held past its end", func(in *HoldInput) { in.Pause = short }, ActionHold, 2 * time.Second, 5 * time.Second},
		{"long pause is released", func(in *HoldInput) { in.Pause = long }, ActionRelease, 0, 0},
		{"long pause is exported where that is cheaper", func(in *HoldInput) { in.Pause, in.ExportTime = long, 100*time.Millisecond }, ActionExport, 0, 0},
		{"hold covers only the short pauses", func(in *HoldInput) { in.Pause = mixed }, ActionHold, time.Second, 2 * time.Second},
		{"full cache: prefix is released", func(in *HoldInput) { in.Pause, in.CacheUsed = short, 100 }, ActionRelease, 0, 0},
		{"empty cache: longer pauses are held", func(in *HoldInput) { in.Pause, in.CacheUsed = long, 1 }, ActionHold, 2 * time.Minute, 3 * time.Minute},
		{"nothing cached", func(in *HoldInput) { in.Tokens = 0 }, ActionRelease, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := base
			c.change(&in)
			got := DefaultHoldSettings().Decide(in)
			is.Equal(got.Action, c.want)
			is.True(got.Hold >= c.least && got.Hold <= c.most)
		})
	}
}

func TestPauseStats(t *testing.T) {
	is := is.New(t)
	s := NewPauseStats(2)
	is.Equal(s.Forecast("grep")[0], defaultPause)
	for range 4 * pauseGenerationSize {
		s.Observe("grep", time.Second)
		s.Observe("review", time.Minute)
	}
	is.True(s.Forecast("grep")[forecastQuantiles-1] < 2*time.Second)
	is.True(s.Forecast("review")[0] > 50*time.Second)
	for range 2 * pauseGenerationSize { // The tool becomes slower: the old observations are dropped.
		s.Observe("grep", 30*time.Second)
	}
	is.True(s.Forecast("grep")[0] > 20*time.Second)
	s.Observe("third", time.Second)
	is.Equal(s.Tools(), 2) // The least recently used tool was evicted.
	_, kept := s.tools["review"]
	is.True(!kept)
}

func TestPrefixIndex(t *testing.T) {
	is := is.New(t)
	x := NewPrefixIndex(2)
	for i := range 6 {
		x.Record(1, fmt.Sprint(i), 10*i)
	}
	x.Record(1, "3", 35)
	before := x.Lookup(1)
	is.Equal(before, []CachedPrefix{{"2", 20}, {"4", 40}, {"5", 50}, {"3", 35}}) // The four most recent.
	x.RemoveServer("4")
	is.Equal(x.Lookup(1), []CachedPrefix{{"2", 20}, {"5", 50}, {"3", 35}})
	is.Equal(len(before), 4) // A returned slice does not change.
	x.Record(2, "0", 1)
	x.Lookup(1)
	x.Record(3, "0", 1)
	is.Equal(len(x.Lookup(2)), 0) // The least recently used prefix was evicted.
	is.Equal(len(x.Lookup(1)), 3)
}
