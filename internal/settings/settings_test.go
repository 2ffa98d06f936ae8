package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/settings"
)

type testSettings struct {
	Address string        `yaml:"address" validate:"required,hostname_port"`
	Slots   int           `yaml:"slots" validate:"min=1,max=100"`
	Wait    time.Duration `yaml:"wait"`
	Inner   struct {
		Kind string `yaml:"kind" validate:"oneof=engine service"`
	} `yaml:"inner"`
}

func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s := testSettings{Slots: 7}
	err := settings.Parse("f.yaml", []byte("address: 127.0.0.1:80\nwait: 2s\ninner: {kind: engine}\n"), &s)
	is.NoErr(err)
	is.Equal(s.Slots, 7)
	is.Equal(s.Wait, 2*time.Second)
}

func TestErrorNamesFileLineAndField(t *testing.T) {
	cases := []struct{ name, text, field string }{
		{"unknown field", "address: 127.0.0.1:80\nslotz: 3\n", "slotz"},
		{"rule", "address: 127.0.0.1:80\nslots: 300\ninner: {kind: engine}\n", "slots"},
		{"nested rule", "slots: 3\naddress: 127.0.0.1:80\n", "inner.kind"},
		{"missing", "\nslots: 3\ninner: {kind: engine}", "address"},
		{"wrong type", "address: 127.0.0.1:80\nslots: many\n", "many"},
		{"syntax", "address: 1\n  slots: [\n", ""},
	}
	lines := map[string]int{"unknown field": 2, "rule": 2, "wrong type": 2}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := testSettings{Slots: 1}
			err := settings.Parse("f.yaml", []byte(c.text), &s)
			var e *settings.Error
			is.True(errors.As(err, &e))
			is.Equal(e.File, "f.yaml")
			if want, ok := lines[c.name]; ok {
				is.Equal(e.Line, want)
			}
			if c.field != "" {
				is.Equal(e.Field, c.field)
			}
		})
	}
}
