package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// fakeEntry implements the entries' caller interface and counts the requests for each path.
type fakeEntry struct {
	mu       sync.Mutex
	requests map[string]int
	respond  func(path string, attempt int) (api.Code, bool) // Returns the result code, and whether to truncate the stream.
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.requests[r.URL.Path]++
	attempt := f.requests[r.URL.Path]
	f.mu.Unlock()
	code, truncate := f.respond(r.URL.Path, attempt)
	if code != api.CodeOK {
		w.Header().Set(api.HeaderCode, fmt.Sprint(int(code)))
		w.WriteHeader(code.HTTPStatus())
		fmt.Fprintf(w, `{"error":{"message":"refused","code":%d}}`, code)
		return
	}
	if !strings.HasSuffix(r.URL.Path, "/chat/completions") {
		fmt.Fprint(w, `{"id":"p1"}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n")
	if !truncate {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func testPlan() *Plan {
	plan := DefaultPlan()
	plan.Name, plan.Mix, plan.Programs, plan.Rate, plan.Deadline = "test", MixAndesmetra, 1, 1000, 10*time.Second
	plan.Organisation, plan.Model, plan.Resends = "o", "m", 3
	plan.Classes = map[string]string{ClassDrafting: "c", ClassAnswering: "c"}
	plan.Action = Action{Service: "s", Path: "orders"}
	return &plan
}

// runTestProgram runs a program with a model call, a service call and another model call against a fake entry. It returns
// the statistics and the number of requests for each path.
func runTestProgram(t *testing.T, respond func(path string, attempt int) (api.Code, bool)) (*stats, map[string]int) {
	t.Helper()
	fake := &fakeEntry{requests: map[string]int{}, respond: respond}
	server := httptest.NewServer(fake)
	defer server.Close()
	s := newStats()
	s.tryStart(1)
	a := &agent{caller: newCaller(testPlan(), []string{server.Listener.Addr().String()}, s), name: "n"}
	a.run(t.Context(), Program{Class: ClassDrafting, Turns: []Turn{{PromptTokens: 5, OutputTokens: 2, Action: true}, {PromptTokens: 5, OutputTokens: 2}}})
	return s, fake.requests
}

func TestAgentOutcomes(t *testing.T) {
	const chat1, action, chat3 = "/v1/programs/p1/calls/1/chat/completions", "/v1/programs/p1/calls/2/services/s/orders", "/v1/programs/p1/calls/3/chat/completions"
	respondAt := func(path string, code api.Code, truncate bool, attempts int) func(string, int) (api.Code, bool) {
		return func(requested string, attempt int) (api.Code, bool) {
			if requested == path && attempt <= attempts {
				return code, truncate
			}
			return api.CodeOK, false
		}
	}
	const always = 1 << 20
	cases := []struct {
		name     string
		respond  func(string, int) (api.Code, bool)
		want     outcome
		path     string
		requests int
	}{
		{"every call answered", respondAt("", 0, false, 0), outcomeFinished, chat3, 1},
		{"refused as not run is sent again", respondAt(chat1, api.CodeOverloaded, false, 2), outcomeFinished, chat1, 3},
		{"a stream cut off is read again", respondAt(chat3, api.CodeOK, true, 1), outcomeFinished, chat3, 2},
		{"resends are bounded", respondAt(chat1, api.CodeOverloaded, false, always), outcomeRefused, chat1, 4},
		{"unknown outcome is never sent again", respondAt(action, api.CodeOutcomeUnknown, false, always), outcomeUnknown, action, 1},
		{"spent budget is not sent again", respondAt(chat3, api.CodeBudgetTokens, false, always), outcomeFailed, chat3, 1},
		{"program is deleted after a failure", respondAt(chat3, api.CodeBudgetTokens, false, always), outcomeFailed, "/v1/programs/p1", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, requests := runTestProgram(t, c.respond)
			is.Equal(s.class(ClassDrafting).outcomes, map[outcome]int{c.want: 1})
			is.Equal(requests[c.path], c.requests)
			is.Equal(s.underway, 0)
		})
	}
}

func TestRunReports(t *testing.T) {
	is := is.New(t)
	fake := &fakeEntry{requests: map[string]int{}, respond: func(string, int) (api.Code, bool) { return api.CodeOK, false }}
	server := httptest.NewServer(fake)
	defer server.Close()
	plan := testPlan()
	plan.Programs = 20
	plan.Scale.Time = 0.0001
	report, err := Run(t.Context(), plan, Target{Policy: "p", Entries: []string{server.Listener.Addr().String()}}, io.Discard)
	is.NoErr(err)
	all := report.class(allClasses)
	is.Equal(report.Started, 20)
	is.Equal(all.Outcomes[outcomeFinished], 20)
	is.Equal(all.Program.Count, int64(20))
	is.True(all.FirstToken.Count > 20 && all.FirstToken.Count == all.BetweenTokens.Count) // Each response has two tokens.
	is.True(all.Program.P50 <= all.Program.P95 && all.Program.P95 <= all.Program.P99)
	var table bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	is.NoErr(WriteComparison(&table, report, report))
	is.True(strings.Contains(table.String(), "1.00x"))
	_, err = Run(context.Background(), plan, Target{}, io.Discard)
	is.True(err != nil)
}

func TestSameSeedSamePrograms(t *testing.T) {
	is := is.New(t)
	for _, mix := range []string{MixForasFoclo, MixAndesmetra} {
		a, errA := Generate(mix, rand.New(rand.NewPCG(5, 1)))
		b, errB := Generate(mix, rand.New(rand.NewPCG(5, 1)))
		is.NoErr(errors.Join(errA, errB))
		is.True(reflect.DeepEqual(a, b))
		is.True(a.Calls() > 0)
	}
}

func TestReadPlanNamesTheLine(t *testing.T) {
	good, err := os.ReadFile("../../examples/load/andesmetra.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, from, to, field string }{
		{"unknown mix", "mix: andesmetra", "mix: trains", "mix"},
		{"no rate", "rate: 3.9", "rate: 0", "rate"},
		{"unknown field", "rate: 3.9", "rat: 4", "rat"},
		{"class not mapped", "  answering: batch\n", "", "classes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "plan.yaml")
			is.NoErr(os.WriteFile(path, bytes.Replace(good, []byte(c.from), []byte(c.to), 1), 0o600))
			_, err := ReadPlan(path)
			var invalid *settings.Error
			is.True(errors.As(err, &invalid))
			is.True(invalid.Line > 0)
			is.True(strings.Contains(invalid.Field, c.field))
		})
	}
	for _, name := range []string{"andesmetra", "foras-foclo", "foras-foclo-burst"} {
		if _, err := ReadPlan("../../examples/load/" + name + ".yaml"); err != nil {
			t.Error(err)
		}
	}
}
