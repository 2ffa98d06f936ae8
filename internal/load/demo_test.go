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

// Against a whole system, every program finishes, every action takes effect once, and no engine memory stays held.
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
	is.Equal(effects(t, cluster.Services), want)
	is.True(eventually(t, func() bool { return heldTokens(t, cluster.Engines) == 0 }))
}

// effects counts the actions that took effect at the services.
func effects(t *testing.T, services []string) int {
	t.Helper()
	total := 0
	for _, address := range services {
		var stats service.Stats
		get(t, address, "/stats", &stats)
		for _, n := range stats.Effects {
			total += n
		}
	}
	return total
}

func heldTokens(t *testing.T, engines []string) int {
	t.Helper()
	total := 0
	for _, address := range engines {
		var stats struct {
			Held int `json:"held_tokens"`
		}
		get(t, address, "/v1/cache_stats", &stats)
		total += stats.Held
	}
	return total
}

func get(t *testing.T, address, path string, into any) {
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

// eventually waits for a condition, for longer than a lapsed hold needs.
func eventually(t *testing.T, holds func() bool) bool {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
