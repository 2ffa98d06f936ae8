package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
)

// configCommands returns the group of commands for the configuration.
func configCommands(out, errOut io.Writer) *commandGroup {
	return &commandGroup{
		name:     "config",
		synopsis: "check, submit and read the operators' configuration",
		errOut:   errOut,
		commands: []*operatorCommand{
			configCheck(out, errOut),
			configSubmit(out, errOut),
			configShow(out, errOut),
			configHistory(out, errOut),
			configDiff(out, errOut),
			configSchema(out, errOut),
		},
	}
}

// readConfig reads a configuration from a file, or from standard input if file is "-". From standard input it reads one
// byte more than a configuration may have, so that a configuration that is too large is detected.
func readConfig(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, policy.MaxConfigBytes+1))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &client.UsageError{Message: fmt.Sprintf("read configuration: %v", err)}
	}
	return data, nil
}

// parseConfig parses and checks a configuration. Its error lists each fault on a separate line.
func parseConfig(file string, data []byte) (*policy.Config, error) {
	config, err := policy.Parse(data)
	if err == nil {
		return config, nil
	}
	faults := strings.ReplaceAll(err.Error(), "; ", "\n  ")
	return nil, api.Errorf(api.CodeConfigInvalid, "%s is not a valid configuration:\n  %s", file, faults)
}

// submitCommand holds the flags of command config submit.
type submitCommand struct {
	client.Flags
	base   int64
	reason string
	author string
}

func configSubmit(out, errOut io.Writer) *operatorCommand {
	s := &submitCommand{}
	return &operatorCommand{
		name:     "submit",
		synopsis: "submit a configuration; running the same command again gives the same result",
		usage:    "-base REVISION -reason TEXT [-author NAME] FILE",
		args:     1,
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			s.Register(f)
			f.Int64Var(&s.base, "base", -1, "`REVISION` that the configuration is derived from; 0 if there is none yet")
			f.StringVar(&s.reason, "reason", "", "reason to record in the audit trail")
			f.StringVar(&s.author, "author", os.Getenv("USER"), "`NAME` of the author, recorded after the name of the token's operator")
		},
		run: func(ctx context.Context, args []string) error { return s.run(ctx, args[0], out) },
	}
}

func (s *submitCommand) run(ctx context.Context, file string, out io.Writer) error {
	if s.base < 0 || s.reason == "" {
		return &client.UsageError{Message: "flags -base and -reason are required; `config show` prints the newest revision"}
	}
	data, err := readConfig(file)
	if err != nil {
		return err
	}
	if _, err := parseConfig(file, data); err != nil {
		return err
	}
	req := httpapi.SubmitRequest{
		Config:         data,
		Base:           uint64(s.base),
		Author:         s.author,
		Reason:         s.reason,
		IdempotencyKey: s.idempotencyKey(data),
	}
	return s.send(ctx, req, out)
}

func (s *submitCommand) send(ctx context.Context, req httpapi.SubmitRequest, out io.Writer) error {
	submit := func(ctx context.Context, c *client.Client) (policy.Entry, error) { return c.Submit(ctx, req) }
	return runRequest(ctx, &s.Flags, out, submit, func(out io.Writer, entry policy.Entry) error {
		_, err := fmt.Fprintf(out, "accepted as revision %d\n", entry.Revision)
		return err
	})
}

// idempotencyKey derives the submission's idempotency key from its content, so that running the same command again sends
// the same submission.
func (s *submitCommand) idempotencyKey(data []byte) string {
	const keyBytes = 16
	h := sha256.New()
	fmt.Fprintf(h, "%d %q %q\n%s", s.base, s.author, s.reason, data)
	return hex.EncodeToString(h.Sum(nil)[:keyBytes])
}

func configShow(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	var revision uint64
	var raw bool
	return &operatorCommand{
		name:     "show",
		synopsis: "print the newest revision, or the one given by -revision",
		usage:    "[-revision N] [-raw]",
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.Uint64Var(&revision, "revision", 0, "`REVISION` to print; 0 means the newest")
			f.BoolVar(&raw, "raw", false, "print only the configuration, which can be edited and submitted")
		},
		run: func(ctx context.Context, _ []string) error {
			query := func(ctx context.Context, c *client.Client) (httpapi.ConfigResponse, error) {
				return c.Config(ctx, revision)
			}
			if raw {
				return runRequest(ctx, flags, out, query, printRawConfig)
			}
			return runRequest(ctx, flags, out, query, printConfig)
		},
	}
}

func printRawConfig(out io.Writer, response httpapi.ConfigResponse) error {
	if response.Entry.Revision == 0 {
		return api.Errorf(api.CodeNotFound, "no configuration was accepted yet")
	}
	return client.PrintJSON(out, response.Config)
}

func printConfig(out io.Writer, response httpapi.ConfigResponse) error {
	if !response.Confirmed {
		fmt.Fprintln(out, "the key-value service does not answer: a newer revision may exist")
	}
	fmt.Fprintf(out, "in force at the entry that answered: revision %d\n", response.InForce)
	if response.Entry.Revision == 0 {
		_, err := fmt.Fprintln(out, "no configuration was accepted yet")
		return err
	}
	if err := client.PrintHistory(out, []policy.Entry{response.Entry}); err != nil {
		return err
	}
	return client.PrintJSON(out, response.Config)
}

func configHistory(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	var limit int
	return &operatorCommand{
		name:     "history",
		synopsis: "list the newest revisions",
		usage:    "[-limit N]",
		errOut:   errOut,
		flags: func(f *flag.FlagSet) {
			flags.Register(f)
			f.IntVar(&limit, "limit", defaultListLimit, "maximum number of revisions")
		},
		run: func(ctx context.Context, _ []string) error {
			query := func(ctx context.Context, c *client.Client) ([]policy.Entry, error) { return c.History(ctx, limit) }
			return runRequest(ctx, flags, out, query, client.PrintHistory)
		},
	}
}

func configDiff(out, errOut io.Writer) *operatorCommand {
	flags := &client.Flags{}
	return &operatorCommand{
		name:     "diff",
		synopsis: "list the changes from revision A to revision B; 0 means the empty configuration",
		usage:    "A B",
		args:     2,
		errOut:   errOut,
		flags:    flags.Register,
		run: func(ctx context.Context, args []string) error {
			from, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			to, err := parseRevision(args[1])
			if err != nil {
				return err
			}
			query := func(ctx context.Context, c *client.Client) ([]policy.Change, error) { return c.Diff(ctx, from, to) }
			return runRequest(ctx, flags, out, query, client.PrintChanges)
		},
	}
}

func parseRevision(arg string) (uint64, error) {
	n, err := strconv.ParseUint(arg, 10, 63)
	if err != nil {
		return 0, &client.UsageError{Message: fmt.Sprintf("%q is not a revision number", arg)}
	}
	return n, nil
}

func configSchema(out, errOut io.Writer) *operatorCommand {
	return &operatorCommand{
		name:     "schema",
		synopsis: "print the JSON Schema of the configuration",
		errOut:   errOut,
		run: func(context.Context, []string) error {
			schema, err := policy.Schema()
			if err != nil {
				return err
			}
			_, err = out.Write(schema)
			return err
		},
	}
}
