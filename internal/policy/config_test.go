package policy_test

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

func TestDefaultSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	data, err := policy.Default().Encode()
	is.NoErr(err)
	c, err := policy.Parse(data)
	is.NoErr(err)
	again, err := c.Encode()
	is.NoErr(err)
	is.Equal(string(again), string(data))
}

func TestParseNamesThePathOfEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := policy.Parse([]byte(`{
		"organisations": [{"name": "a"}, {"name": "a", "colour": 1}, {"name": "Bad Name"}],
		"classes": [{"name": "c", "priority": "high"}, {"name": "d"}],
		"services": [{"name": "s", "name": "s"}]
	}`))
	assertFaultPaths(is, err, "organisations[1].colour", "classes[0].priority", "classes[1].priority", "services[0].name")

	_, err = policy.Parse([]byte(`{
		"organisations": [{"name": "a"}, {"name": "a"}, {"name": "Bad Name"}],
		"classes": [{"name": "c", "priority": 5000, "budget": {"calls": -1}}],
		"services": [{"name": "s", "actions": [
			{"method": "FETCH", "path": "/a", "idempotent": true},
			{"method": "GET", "path": "a", "idempotent": true},
			{"method": "GET", "path": "/**/a", "idempotent": true},
			{"method": "GET", "path": "/a//b", "idempotent": true},
			{"method": "POST", "path": "/b", "idempotent": false, "retry": true},
			{"method": "POST", "path": "/b", "idempotent": true}
		]}],
		"models": [{"name": "m", "max_tokens": 10, "context": 5}],
		"backend_servers": [{"name": "a*b", "checks_fence": true}]
	}`))
	assertFaultPaths(is, err, "organisations[1].name", "organisations[2].name", "classes[0].priority", "classes[0].budget.calls",
		"services[0].actions[0].method", "services[0].actions[1].path", "services[0].actions[2].path",
		"services[0].actions[3].path", "services[0].actions[4].retry", "services[0].actions[5]",
		"models[0].max_tokens", "backend_servers[0].name")

	for _, text := range []string{``, `{`, `[]`, `{"organisations":[],"classes":[]} {}`, `{"organisations":null,"classes":[]}`} {
		_, err = policy.Parse([]byte(text))
		is.True(err != nil) // not a valid configuration
	}
}

// assertFaultPaths requires that err reports exactly the paths.
func assertFaultPaths(is *is.I, err error, paths ...string) {
	is.Helper()
	var faults policy.Errors
	is.True(errors.As(err, &faults))
	got := make(map[string]bool)
	for _, f := range faults {
		got[f.Path] = true
	}
	for _, path := range paths {
		if !got[path] {
			is.Equal(path, faults.Error()) // no error has this path
		}
	}
	is.Equal(len(got), len(paths)) // no other errors
}

// actionsConfig returns a configuration whose only service, "s", has overlapping action rules.
func actionsConfig(is *is.I) *policy.Config {
	c, err := policy.Parse([]byte(`{"organisations": [], "classes": [], "services": [{"name": "s", "timeout_ms": 7000, "actions": [
		{"method": "*", "path": "/**", "idempotent": true},
		{"method": "POST", "path": "/slips/*/verify", "idempotent": false, "timeout_ms": 9000},
		{"method": "*", "path": "/slips/**", "idempotent": true, "retry": true},
		{"method": "POST", "path": "/slips/special/*", "idempotent": true},
		{"method": "GET", "path": "/slips/*/verify", "idempotent": true},
		{"method": "*", "path": "/slips/*/verify", "idempotent": false}
	]}]}`))
	is.NoErr(err)
	return c
}

func TestMostSpecificActionWins(t *testing.T) {
	is := is.New(t)
	c := actionsConfig(is)
	for _, tc := range []struct {
		method, path, want string
		idempotent         bool
	}{
		{"POST", "slips/12/verify", "/slips/*/verify", false},
		{"POST", "/slips/12/verify?x=/slips/1", "/slips/*/verify", false},
		{"GET", "slips/12/verify", "/slips/*/verify", true},
		{"PUT", "slips/12/verify", "/slips/*/verify", false},
		{"POST", "slips/special/verify", "/slips/special/*", true},
		{"PUT", "slips/special/verify", "/slips/*/verify", false}, // backtracks from the literal segment, which has no rule for PUT
		{"POST", "slips/12/verify/again", "/slips/**", true},
		{"POST", "slips", "/slips/**", true},
		{"POST", "else", "/**", true},
		{"POST", "f%C3%A1ilte", "/**", true},
	} {
		rule, ok := c.Action("s", tc.method, tc.path)
		is.True(ok)
		is.Equal(rule.Path, tc.want)
		is.Equal(rule.Idempotent, tc.idempotent)
	}
}

func TestUnmatchedActionIsNotIdempotent(t *testing.T) {
	is := is.New(t)
	c := actionsConfig(is)
	for _, path := range []string{
		"slips//verify", "slips/./x", "slips/../x", "slips/1/verif%79", "slips/1%2Fverify", "slips/1/verify/", "a\\b",
		"a%5Cb", "a%c3%a1", "a%", "a;b", "á", "%252F", "//",
	} {
		rule, ok := c.Action("s", "GET", path)
		if ok || rule.Idempotent || rule.Retry {
			t.Errorf("path %q matched the rule %q", path, rule.Path)
		}
		is.Equal(rule.Timeout.Milliseconds(), int64(7000)) // the service's timeout
	}
	rule, ok := c.Action("unknown", "GET", "/")
	is.True(!ok && !rule.Idempotent)
}

// TestActionMatchesLinearSearch compares the lookup in the tree of patterns with a linear search through all rules
// in the order that Config.Action documents.
func TestActionMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "*"})
		methods := rapid.SampledFrom([]string{"GET", "POST", "*"})
		rules := make(map[string]policy.Action)
		for range rapid.IntRange(1, 12).Draw(t, "rules") {
			a := policy.Action{Method: methods.Draw(t, "method")}
			a.Path = "/" + strings.Join(rapid.SliceOfN(segment, 0, 3).Draw(t, "pattern"), "/")
			if rapid.Bool().Draw(t, "rest") {
				a.Path = strings.TrimSuffix(a.Path, "/") + "/**"
			}
			rules[a.Method+a.Path] = a
		}
		config := policy.Config{Services: []policy.Service{{Name: "s", Actions: slices.Collect(maps.Values(rules))}}}
		if faults := config.Validate(); len(faults) > 0 {
			t.Fatal(faults)
		}
		path := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 4).Draw(t, "path"), "/")
		best, found := "", false
		for _, a := range rules {
			rank, ok := rankOf(a, path)
			if ok && (!found || rank < best) {
				best, found = rank, true
			}
		}
		rule, ok := config.Compile().Action("s", "GET", path)
		got, _ := rankOf(policy.Action{Method: rule.Method, Path: rule.Path}, path)
		if ok != found || ok && got != best {
			t.Fatalf("GET %s matched the rule %s %s", path, rule.Method, rule.Path)
		}
	})
}

// rankOf reports whether a GET of the path matches the rule. Its string sorts more specific rules first.
func rankOf(a policy.Action, path string) (string, bool) {
	split := func(s string) []string { return strings.FieldsFunc(s, func(r rune) bool { return r == '/' }) }
	pattern, segments := split(a.Path), split(path)
	rank := ""
	for i, p := range pattern {
		switch {
		case p == "**":
			return rank + "3" + methodRank(a.Method), a.Method != "POST"
		case i >= len(segments) || p != "*" && p != segments[i]:
			return "", false
		case p == "*":
			rank += "2"
		default:
			rank += "1"
		}
	}
	return rank + "0" + methodRank(a.Method), len(pattern) == len(segments) && a.Method != "POST"
}

// methodRank maps "*" to a string that sorts after every method.
func methodRank(method string) string { return strings.ReplaceAll(method, "*", "~") }

func TestLookupsAllocateNothing(t *testing.T) {
	is := is.New(t)
	c := actionsConfig(is)
	n := testing.AllocsPerRun(100, func() {
		c.Action("s", "POST", "slips/12/verify?q=1")
		c.Class("none")
		c.Organisation("none")
		c.ChecksFence("none")
		c.Budget("a", "b")
	})
	is.Equal(n, 0.0)
}

func TestBudgetFallsBackByComponent(t *testing.T) {
	is := is.New(t)
	c, err := policy.Parse([]byte(`{
		"organisations": [{"name": "o", "budget": {"calls": 20, "tokens": 30}}],
		"classes": [{"name": "c", "priority": 1, "budget": {"calls": 10}}],
		"limits": {"budget": {"time_ms": 5000}, "max_programs": 3},
		"backend_servers": [{"name": "lm-*", "checks_fence": true}, {"name": "lm-old-*", "checks_fence": false}, {"name": "lm-old-7", "checks_fence": true}]
	}`))
	is.NoErr(err)
	is.Equal(c.Budget("o", "c"), policy.Budget{Calls: 10, Tokens: 30, TimeMS: 5000})
	o, ok := c.Organisation("o")
	is.True(ok)
	is.Equal(o.MaxPrograms, 3)
	is.True(c.ChecksFence("lm-3"))
	is.True(!c.ChecksFence("lm-old-3")) // the longer prefix applies
	is.True(c.ChecksFence("lm-old-7"))  // the exact name applies
	is.True(!c.ChecksFence("other"))
}

func TestFaultsReadAsSentences(t *testing.T) {
	is := is.New(t)
	_, err := policy.Parse([]byte(`{"organisations": [], "classes": [{"name": "c", "priority": 2000}]}`))
	is.True(strings.Contains(err.Error(), "classes[0].priority: 2000 exceeds the maximum 1000"))
}

func TestDeploymentsNameDeclaredModelsAndFailureDomains(t *testing.T) {
	is := is.New(t)
	_, err := policy.Parse([]byte(`{
		"organisations": [], "classes": [],
		"failure_domains": [{"name": "a", "region": "r"}],
		"models": [{"name": "m", "max_tokens": 5}],
		"deployments": [
			{"name": "m", "role": "decode", "adapters": [{"name": "x"}, {"name": "x"}], "replicas": [
				{"failure_domain": "a", "min": 3, "max": 2}, {"failure_domain": "a", "min": 1}, {"failure_domain": "b", "min": 1}]},
			{"name": "n", "role": "other", "replicas": []}
		],
		"weight_store": {"fetches_per_minute": -1}
	}`))
	assertFaultPaths(is, err, "deployments[0].adapters[1].name", "deployments[0].replicas[0].max",
		"deployments[0].replicas[1].failure_domain", "deployments[0].replicas[2].failure_domain",
		"deployments[1].name", "deployments[1].role", "weight_store.fetches_per_minute")
	c := policy.Default()
	is.Equal(c.FetchInterval(), 10*time.Second)
	c.WeightStore.FetchesPerMinute = 120
	is.Equal(c.FetchInterval(), 500*time.Millisecond)
}
