package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

// productConfig is a valid configuration without findings.
const productConfig = `{"organisations":[{"name":"o"}],"failure_domains":[{"name":"a","region":"r"}],
"classes":[{"name":"c","priority":1,"budget":{"tokens":9000,"time_ms":600000},"idle_timeout_ms":60000}],
"models":[{"name":"m","max_tokens":512,"timeout_ms":60000}],"deployments":[{"name":"m","replicas":[{"failure_domain":"a","min":2}]}],
"services":[{"name":"s","actions":[{"method":"GET","path":"/x/**","idempotent":true},{"method":"GET","path":"/x","idempotent":false}]}]}`

func checkProduct(t *testing.T, data string) *policy.Config {
	t.Helper()
	config, found := DecodeProduct([]byte(data))
	if len(found) > 0 {
		t.Fatalf("%v: %s", found, data)
	}
	return config
}

// Guards against contradictions that are not found, and against findings on a configuration without them.
func TestCheckProductFindsEachContradictionOnce(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{"", "", "[]"},
		{`"idle_timeout_ms":60000`, `"idle_timeout_ms":600001`, "[{warning classes[0].idle_timeout_ms the idle timeout of 10m0.001s exceeds"},
		{`"timeout_ms":60000}]`, `"timeout_ms":600001}]`, "[{warning classes[0].budget.time_ms the budget of 10m0s is less"},
		{`"tokens":9000`, `"tokens":511`, "[{error classes[0].budget.tokens the budget of 511 tokens"},
		{`"min":2`, `"min":0`, "[{error deployments[0].replicas no engine"},
		{`"models":[`, `"models":[{"name":"n","max_tokens":1},`, `[{warning models[0] no deployment names model "n"`},
		{`"actions":[`, `"actions":[{"method":"*","path":"/x/*/**","idempotent":true},`, `[{error services[0].actions[1] can never match: rules for "/x" and`},
	} {
		data := strings.Replace(productConfig, tc.old, tc.replacement, 1)
		found := CheckProduct(checkProduct(t, data))
		if got := fmt.Sprint(found); !strings.HasPrefix(got, tc.want) || len(found) > 1 {
			t.Errorf("%s: got %s, want %s", tc.replacement, got, tc.want)
		}
	}
}

// Guards against harmful changes that are reported as harmless, and the reverse.
func TestProductChangesTellHarm(t *testing.T) {
	is := is.New(t)
	old := checkProduct(t, productConfig)
	for _, tc := range []struct {
		old, replacement, place string
		harmful                 bool
	}{
		{`"tokens":9000`, `"tokens":8000`, "classes[c].budget.tokens", true},
		{`"tokens":9000`, `"tokens":9001`, "classes[c].budget.tokens", false},
		{`"min":2`, `"min":1`, "deployments[m].replicas[0].min", true},
		{`"priority":1`, `"priority":0`, "classes[c].priority", true},
		{`"idempotent":false`, `"idempotent":true`, "services[s].actions[GET /x].idempotent", true},
		{`"organisations":[`, `"organisations":[{"name":"p","max_programs":3},`, "organisations[p]", false},
		{`,{"method":"GET","path":"/x","idempotent":false}`, ``, "services[s].actions[GET /x]", true},
	} {
		changes, err := ProductChanges(old, checkProduct(t, strings.Replace(productConfig, tc.old, tc.replacement, 1)))
		is.NoErr(err)
		if len(changes) != 1 || changes[0].Place != tc.place || (changes[0].Harm != "") != tc.harmful {
			t.Errorf("%s: got %v", tc.replacement, changes)
		}
	}
}
