package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/configcheck"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// Keys of the test. None occurs in a name of a field or in the text of a finding, so that one in an output comes from the file.
const (
	firstKey  = "Zq7vXw93"
	secondKey = `Jk"4/Wn<é`
)

// gatewayConfig returns a configuration of the process gateway with keys, also in places where they do not belong.
func gatewayConfig(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(standin.WithOrganisations(2,
		standin.Organisation{Name: firstKey, Keys: []string{firstKey, secondKey}},
		standin.Organisation{Name: "south", Keys: []string{firstKey}},
		standin.Organisation{Name: "of " + secondKey, Keys: []string{"other", secondKey}},
	))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(out.String())
}

// Guards against keys in reports, errors and JSON, for valid files, files that end early and files with wrong types.
func TestConfigCheckNeverPrintsKeys(t *testing.T) {
	is := is.New(t)
	config := gatewayConfig(t)
	dir := t.TempDir()
	file, base := filepath.Join(dir, "config.json"), filepath.Join(dir, "base.json")
	is.NoErr(os.WriteFile(base, []byte(strings.Replace(config, `"south"`, `"`+firstKey+`x"`, 1)), 0o600))
	files := []string{config}
	start := strings.Index(config, `"tenants"`)
	for i := start; i < len(config); i++ {
		files = append(files, config[:i], config[:i]+"?"+config[i:], config[:i]+config[i+1:])
	}
	for _, replacement := range []string{
		firstKey, `"` + firstKey + `"`, `{"` + firstKey + `":1,"` + firstKey + `":1}`, `[["` + firstKey + `"]]`, `[{"` + firstKey + `":{}}]`, `7`,
	} {
		files = append(files, strings.Replace(config, `["`+firstKey+`"]`, replacement, 1))
	}
	for _, place := range []string{`"h.example"`, `"/turns/"`, `"turns"`, `"llm"`, `"app"`, `"stream"`} { // A name that is a key.
		files = append(files, strings.Replace(config, place, `"`+firstKey+`"`, 1))
	}
	for _, field := range []string{`"name":"south"`, `"version"`, `"tenants"`} { // A key as the name of a field.
		files = append(files, strings.Replace(config, field, `"`+firstKey+`":1,`+field, 1))
	}
	secrets := []string{firstKey, `Jk"4/Wn<é`, `Jk\"4/Wn<é`, `Jk\\\"4/Wn<é`}
	for _, content := range files {
		is.NoErr(os.WriteFile(file, []byte(content), 0o600))
		for _, flags := range [][]string{{}, {"-json", "-against", base}, {"-format", "product"}, {"-format", "gateway", "-against", base}} {
			line := append(append([]string{"config", "check"}, flags...), file)
			code, out, message := runCommandLine(line...)
			if code > client.ExitUsage {
				t.Fatalf("%v: exit code %d: %s", flags, code, content)
			}
			for _, key := range secrets {
				if strings.Contains(strings.ToLower(out+message), strings.ToLower(key)) {
					t.Fatalf("%v prints the key %s: %s%s\n%s", flags, key, out, message, content)
				}
			}
		}
	}
}

// Guards against exit codes that do not tell findings from files that cannot be read, and against differing text and JSON.
func TestConfigCheckExitCodes(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(standin.Configuration(2))
	is.NoErr(err)
	valid := writeFile(t, string(data))
	next := writeFile(t, strings.Replace(string(data), `"version":2`, `"version":3`, 1))
	broken, wrong := writeFile(t, `{"routes":[}`), writeFile(t, strings.Replace(string(data), `"kv_capacity"`, `"kv"`, 1))
	for _, tc := range []struct {
		line []string
		code client.ExitCode
	}{
		{[]string{valid}, client.ExitSuccess},
		{[]string{"-servers", "app=2", "-servers", "llm=1", valid}, client.ExitSuccess},
		{[]string{"-servers", "app=1", valid}, client.ExitFailed},
		{[]string{"-servers", "app", valid}, client.ExitUsage},
		{[]string{"-format", "gateway", "-against", valid, next}, client.ExitSuccess},
		{[]string{"-against", next, valid}, client.ExitFailed},
		{[]string{"-format", "product", valid}, client.ExitFailed},
		{[]string{"-format", "yaml", valid}, client.ExitUsage},
		{[]string{wrong}, client.ExitFailed},
		{[]string{broken}, client.ExitUsage},
		{[]string{writeFile(t, string(data)+strings.Repeat(" ", policy.MaxConfigBytes))}, client.ExitUsage},
		{[]string{"-against", broken, valid}, client.ExitUsage},
		{[]string{"-against", wrong, valid}, client.ExitUsage},
	} {
		code, out, message := runCommandLine(append([]string{"config", "check"}, tc.line...)...)
		if code != tc.code {
			t.Errorf("%v: exit code %d, want %d: %s%s", tc.line, code, tc.code, out, message)
		}
	}
	_, text, _ := runCommandLine("config", "check", wrong)
	_, out, _ := runCommandLine("config", "check", "-json", wrong)
	var report configcheck.Report
	is.NoErr(json.Unmarshal([]byte(out), &report))
	var again strings.Builder
	is.NoErr(report.WriteText(&again))
	is.Equal(again.String(), text)
}

// Guards against findings on the examples.
func TestExamplesHaveNoFindings(t *testing.T) {
	is := is.New(t)
	for _, example := range []string{"andesmetra", "foras-foclo"} {
		data, err := exec.Command("go", "run", "../../examples/"+example).Output()
		is.NoErr(err)
		code, out, _ := runCommandLine("config", "check", writeFile(t, string(data)))
		is.Equal(code, client.ExitSuccess)
		is.True(strings.Contains(out, "valid"))
	}
}
