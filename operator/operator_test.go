package operator_test

import (
	"bytes"
	"errors"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/operator"
)

func TestOrderOfDeclarationDoesNotMatter(t *testing.T) {
	is := is.New(t)
	a := operator.Class{Name: "a", Priority: 1, IdleTimeout: 90 * time.Second}
	b := operator.Class{Name: "b", Budget: operator.Budget{Calls: 3, Time: time.Minute}}
	first, err := operator.New().Class(a).Class(b).ChecksFence("y", "x").Build()
	is.NoErr(err)
	second, err := operator.New().ChecksFence("x", "y").Class(b).Class(a).Build()
	is.NoErr(err)
	is.Equal(string(first), string(second))
	is.True(bytes.Contains(first, []byte(`"idle_timeout_ms": 90000`)))
	is.True(bytes.Contains(first, []byte(`"time_ms": 60000`)))
}

func TestBuildReportsEveryFaultByName(t *testing.T) {
	is := is.New(t)
	_, err := operator.New().
		Organisation(operator.Organisation{Name: "Not A Name"}).
		Class(operator.Class{Name: "late", Priority: 5000}).
		Class(operator.Class{Name: "early", IdleTimeout: time.Microsecond}).
		Service(operator.Service{Name: "ops", Actions: []operator.Action{
			operator.NonIdempotent("POST", "/orders").WithRetry(),
			operator.Idempotent("GET", "orders"),
		}}).
		Build()
	var invalid *operator.Error
	is.True(errors.As(err, &invalid))
	got := make(map[string]bool)
	for _, f := range invalid.Faults {
		got[f.Path] = true
	}
	for _, path := range []string{
		"organisations[Not A Name].name",
		"classes[late].priority",
		`class "early", idle timeout`,
		"services[ops].actions[POST /orders].retry",
		"services[ops].actions[GET orders].path",
	} {
		is.True(got[path]) // the path has names instead of indexes
	}
	is.Equal(len(got), 5)
}

func TestExamplesPrintWhatTheSchemaAllows(t *testing.T) {
	for _, name := range []string{"foras-foclo", "andesmetra"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, err := exec.CommandContext(t.Context(), "go", "run", "../examples/"+name).Output()
			is.NoErr(err)
			schema := readSchema(t)
			for _, fault := range schema.faults("", decode(t, out)) {
				t.Error(fault)
			}
			invalid := bytes.Replace(out, []byte(`"priority"`), []byte(`"urgency"`), 1)
			is.Equal(len(schema.faults("", decode(t, invalid))), 2) // one field is missing and one is unknown
		})
	}
}

func TestDeploymentsArePrinted(t *testing.T) {
	is := is.New(t)
	build := func(domains ...string) []byte {
		d := operator.Deployment{Model: "m", Version: "v1", Role: "mixed", Adapters: []string{"a"}}
		for _, domain := range domains {
			d.Replicas = append(d.Replicas, operator.Replicas{FailureDomain: domain, Min: 2, Max: 3})
		}
		data, err := operator.New().FailureDomains("r", "x", "y").Model(operator.Model{Name: "m", MaxTokens: 5}).
			Deploy(d).WeightStoreRate(30).Build()
		is.NoErr(err)
		return data
	}
	is.Equal(string(build("x", "y")), string(build("y", "x")))
	is.True(bytes.Contains(build("x"), []byte(`"fetches_per_minute": 30`)))
	is.Equal(readSchema(t).faults("", decode(t, build("x", "y"))), nil)
}
