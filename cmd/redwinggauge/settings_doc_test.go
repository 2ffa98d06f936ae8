package main

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/entry"
	"github.com/redwinggauge/redwinggauge/internal/gateway"
	"github.com/redwinggauge/redwinggauge/internal/retire"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

func TestSettingsPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	for section, typ := range map[string]reflect.Type{
		"entry":   reflect.TypeFor[entry.Settings](),
		"sidecar": reflect.TypeFor[sidecar.Settings](),
		"gateway": reflect.TypeFor[gateway.Settings](),
		"storage": reflect.TypeFor[retire.Settings](),
	} {
		_, text, found := strings.Cut(string(page), "\n## "+section+"\n")
		is.True(found)
		text, _, _ = strings.Cut(text, "\n## ")
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
			if !strings.Contains(text, "\n| `"+name+"` | ") {
				t.Errorf("docs/SETTINGS.md lacks the setting %q of the %s", name, section)
			}
		}
		is.Equal(strings.Count(text, "\n| `"), typ.NumField()) // every row belongs to a setting
	}
}
