package load

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/demo"
	"github.com/redwinggauge/redwinggauge/internal/standin/service"
)

// Runs a plan against a complete system. Every program must finish, every action must take effect exactly once, and no
// engine may hold cache memory in the end.
func TestRunAgainstDemo(t *testing.T) {
	is := is.New(t)
	cluster, err := demo.Start(t.Context(), slog.New(slog.DiscardHandler), "")
	is.NoErr(err)
	defer func() { is.NoErr(cluster.Stop()) }()
	plan, err := ReadPlan("../../examples/load/andesmetra.yaml")
	is.NoErr(err)
	plan.Programs, plan.Rate, plan.Scale = 12, 20, Scale{Tokens: 0.05, Output: 0.05, Time: 0.001}
	target := Target{Engines: cluster.Engines}
	for _, e := range cluster.Entries {
		target.Entries = append(target.Entries, e.Address())
	}
	report, err := Run(t.Context(), plan, target, io.Discard)
	is.NoErr(err)
	is.Equal(report.class(allClasses).Outcomes, map[outcome]int{outcomeFinished: 12})
	is.Equal(report.Leftover, 0)
	is.Equal(report.Codes[api.CodeOutcomeUnknown], 0)

	arrivals, err := plan.arrivals()
	is.NoErr(err)
	want := 0
	for _, a := range arrivals {
		for _, turn := range a.program.Turns {
			if turn.Action {
				want++
			}
		}
	}
	is.True(want > 0)
	is.Equal(countEffects(t, cluster.Services), want)
	is.True(waitFor(t, func() bool { return heldTokens(t, cluster.Engines) == 0 }))
}

// countEffects returns the number of actions that took effect at the stand-in services.
func countEffects(t *testing.T, services []string) int {
	t.Helper()
	total := 0
	for _, address := range services {
		var stats service.Stats
		getJSON(t, address, "/stats", &stats)
		for _, n := range stats.Effects {
			total += n
		}
	}
	return total
}

// heldTokens returns the number of tokens that the stand-in engines hold for programs.
func heldTokens(t *testing.T, engines []string) int {
	t.Helper()
	total := 0
	for _, address := range engines {
		var stats struct {
			Held int `json:"held_tokens"`
		}
		getJSON(t, address, "/v1/cache_stats", &stats)
		total += stats.Held
	}
	return total
}

func getJSON(t *testing.T, address, path string, into any) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// waitFor reports whether the condition becomes true within a minute, which is longer than a hold needs to expire.
func waitFor(t *testing.T, condition func() bool) bool {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
