package schedule_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// playService plays 5 s of a plain service that runs 20 calls in 100 ms and rejects others. Organisation i sends demand[i] calls
// in 100 ms, of which half belong to started programs. Outcomes are known after 250 ms, as in the reports of other processes. It
// returns the share of each organisation's calls that ran, over the last 4 s, and the calls that were not granted.
func playService(demand []int, fair bool) (served []float64, refused []int) {
	var shares schedule.ServiceShares
	shares.Configure(nil)
	ran, asked := make([]int, len(demand)), make([]int, len(demand))
	refused = make([]int, len(demand))
	var rejected []int // By step.
	random := rand.New(rand.NewPCG(5, 6))
	for step := range 50 {
		now := floodEpoch.Add(time.Duration(step) * 100 * time.Millisecond)
		var sent []int
		for i, n := range demand {
			asked[i] += n
			for k := range n {
				if shares.Ask(now, strconv.Itoa(i), "search", k%2 == 0).Granted || !fair {
					sent = append(sent, i)
				} else {
					refused[i]++
				}
			}
		}
		random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		for _, i := range sent[:min(20, len(sent))] {
			ran[i]++
		}
		rejected = append(rejected, max(len(sent)-20, 0))
		if step >= 2 {
			shares.AddOutcomes(now, "search", 20, rejected[step-2])
		}
		if step == 9 {
			clear(ran)
			clear(asked)
		}
	}
	for i := range demand {
		served = append(served, float64(ran[i])/float64(asked[i]))
	}
	return served, refused
}

// One organisation sends seven times its usual calls to a service whose servers reject what exceeds their slots. It must not take
// the slots of the others, and an organisation within its share must not be refused.
func TestFloodingOrganisationGetsItsShareOfPlainService(t *testing.T) {
	is := is.New(t)
	before, _ := playService([]int{21, 3, 3, 3, 3}, false)
	served, refused := playService([]int{21, 3, 3, 3, 3}, true)
	t.Logf("served %.2f, without shares %.2f, not granted %v", served, before, refused)
	for i := 1; i < 5; i++ {
		is.True(before[i] < 0.7)
		is.True(served[i] > 0.8)
		is.Equal(refused[i], 0)
	}
	is.True(refused[0] > 0)
	is.True(served[0] > 0.3) // what the others leave is used
	_, refused = playService([]int{8, 3, 3, 3, 3}, true)
	is.Equal(refused, []int{0, 0, 0, 0, 0}) // 20 calls in 100 ms: the service is not short
}

// The answer to a refused call says when to return, and started programs are never refused.
func TestServiceShareDecision(t *testing.T) {
	is := is.New(t)
	var shares schedule.ServiceShares
	shares.Configure(map[string]float64{"a": 1, "b": 3})
	ask := func(organisation string, n int) (d schedule.ShareDecision) {
		for range n {
			d = shares.Ask(floodEpoch, organisation, "search", false)
		}
		return d
	}
	is.True(ask("a", 60).Granted && ask("b", 60).Granted) // nothing is known of a shortage
	shares.AddOutcomes(floodEpoch, "search", 80, 40)
	later := floodEpoch.Add(100 * time.Millisecond)
	d := shares.Ask(later, "a", "search", false)
	is.True(d.Short && d.Changed && !d.Granted)
	is.True(d.Allowed > 19 && d.Allowed < 21) // a quarter of 80 calls
	is.Equal(d.RetryAfter, 2*time.Second)
	is.True(shares.Ask(later, "a", "search", true).Granted)
	service, d := shares.AskProgram(later, "a") // its programs would fail at the service in their middle
	is.True(!d.Granted && service == "search" && d.RetryAfter == 2*time.Second)
	_, d = shares.AskProgram(later, "b")
	is.True(d.Granted)
	is.True(shares.Ask(later, "b", "search", false).Granted)
	is.True(shares.Ask(later, "b", "other", false).Granted)
	is.True(shares.Ask(later.Add(time.Second), "a", "search", false).Granted) // no longer short
}
