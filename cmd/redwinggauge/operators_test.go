package main

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// startOperatorsPort starts a server with an entry's operator interface and returns its address. It serves configurations
// from a simulated key-value service, one program and one backend server.
func startOperatorsPort(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	service, err := kv.Start(kv.Options{Listen: "127.0.0.1:0", WritesPerSecond: 1000, ReadsPerSecond: 5000})
	is.NoErr(err)
	store, err := ports.NewKV([]string{service.Address()}, ports.KVOptions{RequestTimeout: time.Second})
	is.NoErr(err)
	handler := &httpapi.Handler{
		Store:     policy.NewStore(store, time.Now),
		Tracker:   policy.NewTracker(&policy.Config{}, policy.DefaultMaxAge, time.Now),
		Operators: httpapi.Operators{{Name: "planners", Token: "token-of-the-test"}},
	}
	handler.Announce = func() { handler.Tracker.SetPeers(nil, time.Now()) } // The membership list contains no other entry.
	server, err := transport.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		if !handler.Serve(ctx) {
			serveProgramsAndBackends(ctx)
		}
	}, transport.ServerOptions{})
	is.NoErr(err)
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		_ = service.Close()
	})
	return server.Address()
}

func serveProgramsAndBackends(ctx *fasthttp.RequestCtx) {
	program := api.ProgramInfo{ID: "p-1", Class: "drafting", State: "active", Owner: "entry-1"}
	switch method, path := string(ctx.Method()), string(ctx.Path()); {
	case path == api.PathAdminPrograms:
		transport.WriteJSON(ctx, 200, api.ProgramList{Programs: []api.ProgramInfo{program}})
	case method == "GET" && path == api.PathAdminPrograms+"/p-1":
		transport.WriteJSON(ctx, 200, program)
	case method == "DELETE" && path == api.PathAdminPrograms+"/p-1" && string(ctx.QueryArgs().Peek("reason")) == "it loops":
		transport.WriteJSON(ctx, 200, struct{}{})
	case path == api.PathAdminBackends:
		transport.WriteJSON(ctx, 200, api.BackendList{Backends: []api.BackendInfo{{ID: "lm-1", ChecksFence: true}}})
	case method == "POST" && path == api.PathAdminBackends+"/lm-1/drain":
		transport.WriteJSON(ctx, 200, struct{}{})
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "%s does not exist", path))
	}
}

// runCommandLine runs an operators' command line and returns its exit code, standard output and standard error.
func runCommandLine(line ...string) (client.ExitCode, string, string) {
	var out, errOut bytes.Buffer
	set := flag.NewFlagSet("redwinggauge", flag.ContinueOnError)
	set.SetOutput(&errOut)
	commander := subcommands.NewCommander(set, "redwinggauge")
	commander.Error = &errOut
	for _, c := range operatorCommands(&out, &errOut) {
		commander.Register(c, "")
	}
	if err := set.Parse(line); err != nil {
		return client.ExitUsage, "", err.Error()
	}
	code := commander.Execute(context.Background())
	return client.ExitCode(code), out.String(), errOut.String()
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestConfigCommands(t *testing.T) {
	is := is.New(t)
	t.Setenv("REDWINGGAUGE_ENTRIES", startOperatorsPort(t))
	t.Setenv("REDWINGGAUGE_TOKEN", "token-of-the-test")
	t.Setenv("USER", "aoife")
	data, err := policy.Default().Encode()
	is.NoErr(err)
	file := writeFile(t, string(data))

	code, out, _ := runCommandLine("config", "check", file)
	is.Equal(code, client.ExitSuccess)
	is.True(strings.Contains(out, "valid"))
	for range 2 { // Repeating the command sends the same submission.
		code, out, _ = runCommandLine("config", "submit", "-base", "0", "-reason", "first", file)
		is.Equal(code, client.ExitSuccess)
		is.Equal(out, "accepted as revision 1\n")
	}
	code, _, message := runCommandLine("config", "submit", "-base", "0", "-reason", "second", file)
	is.Equal(code, client.ExitConflict)
	is.True(strings.Contains(message, "revision 1 was taken by planners/aoife"))
	is.Equal(strings.Count(message, "\n"), 1) // the error is a single line

	code, out, _ = runCommandLine("config", "show", "-raw")
	is.Equal(code, client.ExitSuccess)
	_, err = policy.Parse([]byte(out))
	is.NoErr(err)
	code, out, _ = runCommandLine("config", "history")
	is.Equal(code, client.ExitSuccess)
	is.True(strings.Contains(out, "planners/aoife  first"))
	code, out, _ = runCommandLine("config", "diff", "-json", "0", "1")
	is.Equal(code, client.ExitSuccess)
	is.True(strings.Contains(out, `"path": "classes[interactive].priority"`))
	code, out, _ = runCommandLine("audit")
	is.Equal(code, client.ExitSuccess)
	is.True(strings.Contains(out, "revision 1"))
	code, _, _ = runCommandLine("config", "show", "-revision", "7")
	is.Equal(code, client.ExitNotFound)
	code, _, _ = runCommandLine("config", "show", "-entries", "127.0.0.1:1")
	is.Equal(code, client.ExitUnreachable)
	t.Setenv("REDWINGGAUGE_TOKEN", "token-of-another")
	code, _, _ = runCommandLine("config", "show")
	is.Equal(code, client.ExitUnauthorized)
}

func TestConfigCheckListsFaults(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, `{"organisations": [{"name": "A"}], "classes": [{"name": "c"}]}`)
	code, out, message := runCommandLine("config", "check", file)
	is.Equal(code, client.ExitFailed)
	is.True(strings.Contains(out, "error: classes[0].priority: is missing\n"))
	is.Equal(message, "redwinggauge: check: 1 findings, 0 harmful changes\n")
	code, _, message = runCommandLine("config", "submit", "-base", "0", "-reason", "invalid", file)
	is.Equal(code, client.ExitInvalid)
	is.True(strings.Contains(message, "classes[0].priority: is missing"))
	for _, line := range [][]string{
		{"config", "check"},
		{"config", "check", filepath.Join(t.TempDir(), "absent.json")},
		{"config", "submit", "-reason", "no base", file},
		{"config", "diff", "1", "-json"},
		{"config", "diff", "one", "2"},
		{"program", "end", "p-1"},
		{"config", "unknown"},
	} {
		code, _, _ := runCommandLine(line...)
		is.Equal(code, client.ExitUsage)
	}
}

func TestProgramAndBackendCommands(t *testing.T) {
	t.Setenv("REDWINGGAUGE_ENTRIES", startOperatorsPort(t))
	t.Setenv("REDWINGGAUGE_TOKEN", "token-of-the-test")
	for _, tc := range []struct {
		line string
		code client.ExitCode
		want string
	}{
		{"program list", client.ExitSuccess, "p-1  -             drafting  active"},
		{"program show p-1", client.ExitSuccess, "entry-1"},
		{"program show -json p-1", client.ExitSuccess, `"state": "active"`},
		{"program show p-2", client.ExitNotFound, ""},
		{"program end -reason it~loops p-1", client.ExitSuccess, "program p-1 has ended"},
		{"program end -reason other p-1", client.ExitNotFound, ""},
		{"backend list", client.ExitSuccess, "unseen"},
		{"backend drain -reason repair lm-1", client.ExitSuccess, "backend server lm-1 drains"},
		{"backend drain -json -reason repair lm-1", client.ExitSuccess, `"done": true`},
		{"backend drain -reason repair lm-2", client.ExitNotFound, ""},
	} {
		words := strings.Fields(tc.line)
		for i := range words {
			words[i] = strings.ReplaceAll(words[i], "~", " ")
		}
		code, out, message := runCommandLine(words...)
		if code != tc.code || !strings.Contains(out, tc.want) {
			t.Errorf("%s: exit code %d, %q, %q", tc.line, code, out, message)
		}
	}
}
