package policy_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/policy"
)

func TestCommittedSchemaMatchesTheTypes(t *testing.T) {
	is := is.New(t)
	want, err := policy.Schema()
	is.NoErr(err)
	got, err := os.ReadFile("../../docs/config.schema.json")
	is.NoErr(err)
	if string(got) != string(want) {
		t.Error("docs/config.schema.json is out of date: regenerate it with `redwinggauge config schema`")
	}
}
