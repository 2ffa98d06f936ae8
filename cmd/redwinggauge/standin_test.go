package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

// standinArgsEnv is the environment variable with the arguments, one on each line, with which TestStandinProcess runs the
// subcommand.
const standinArgsEnv = "REDWINGGAUGE_TEST_STANDIN_ARGS"

// TestStandinProcess is not a test. It is the main function of the processes that startStandin starts, and does nothing in
// the process that runs the tests.
func TestStandinProcess(*testing.T) {
	args := os.Getenv(standinArgsEnv)
	if args == "" {
		return
	}
	command := &standinCommand{}
	flags := flag.NewFlagSet("standin", flag.ExitOnError)
	command.SetFlags(flags)
	_ = flags.Parse(strings.Split(args, "\n"))
	os.Exit(int(command.Execute(context.Background(), flags)))
}

// startStandin starts a stand-in as a separate process and returns the process and the address it listens on.
func startStandin(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	process := exec.Command(os.Args[0], "-test.run=^TestStandinProcess$")
	process.Env = append(os.Environ(), standinArgsEnv+"="+strings.Join(args, "\n"))
	stdout, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Process.Kill() })
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatalf("stand-in %q printed %q: %v", args, line, err)
	}
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("stand-in %q printed %q", args, line)
	}
	return process, address
}

func TestEachStandinRunsAsAProcess(t *testing.T) {
	paths := map[string]string{
		"kv": "/stats", "engine": "/v1/load", "service": "/stats", "members": "/v1/members", "weights": "/v1/weights/m",
	}
	for kind, path := range paths {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			process, address := startStandin(t, "-kind", kind, "-listen", "127.0.0.1:0")
			resp, err := http.Get("http://" + address + path)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
			is.NoErr(process.Process.Signal(syscall.SIGTERM))
			is.NoErr(process.Wait())
		})
	}
}

func TestCrashedEngineProcessExits(t *testing.T) {
	is := is.New(t)
	process, address := startStandin(t, "-kind", "engine")
	body := strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"[[crash]]"}]}`)
	_, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", body)
	is.True(err != nil)
	var exit *exec.ExitError
	is.True(errors.As(process.Wait(), &exit))
	is.Equal(exit.ExitCode(), engineCrashStatus)
}

func TestUnknownStandinKindFails(t *testing.T) {
	is := is.New(t)
	command := &standinCommand{kind: "other"}
	is.Equal(command.Execute(context.Background(), nil), subcommands.ExitFailure)
}
