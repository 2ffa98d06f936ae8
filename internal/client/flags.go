package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Names of the environment variables that give the defaults of Flags.
const (
	envEntries = "REDWINGGAUGE_ENTRIES"
	envToken   = "REDWINGGAUGE_TOKEN"
)

const defaultTimeout = 30 * time.Second

// Flags are the command-line flags with which a command finds and reaches the entries.
type Flags struct {
	entries   string
	tokenFile string
	timeout   time.Duration
	JSON      bool // Print JSON for scripts in place of a table.
}

// Register adds the flags to a set.
func (f *Flags) Register(set *flag.FlagSet) {
	set.StringVar(&f.entries, "entries", os.Getenv(envEntries), "`ADDRESSES` of the entries' operator ports, host:port separated by commas")
	set.StringVar(&f.tokenFile, "token-file", "", "`FILE` with the operator's token; without it the environment gives "+envToken)
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "longest time for the whole command")
	set.BoolVar(&f.JSON, "json", false, "print JSON for scripts")
}

// Connect returns a client and a context that ends with the command's timeout. Its error is a *UsageError.
func (f *Flags) Connect(ctx context.Context) (*Client, context.Context, context.CancelFunc, error) {
	if f.entries == "" {
		return nil, nil, nil, &UsageError{Message: "no entry is given: set -entries or " + envEntries}
	}
	token := os.Getenv(envToken)
	if f.tokenFile != "" {
		data, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, nil, nil, &UsageError{Message: fmt.Sprintf("read the operator's token: %v", err)}
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, nil, nil, &UsageError{Message: "no operator's token is given: set -token-file or " + envToken}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	return New(strings.Split(f.entries, ","), token), ctx, cancel, nil
}

// UsageError says that a command was called wrongly.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ExitCode is the exit code of an operators' command.
type ExitCode int

// Exit codes of operators' commands.
const (
	ExitDone         ExitCode = 0 // Done.
	ExitFailed       ExitCode = 1 // Refused or failed for another reason than those below.
	ExitUsage        ExitCode = 2 // Wrong flags or arguments; nothing was sent.
	ExitConflict     ExitCode = 3 // Another configuration revision won.
	ExitInvalid      ExitCode = 4 // The configuration is invalid.
	ExitUncertain    ExitCode = 5 // It is not known whether it was done; run the same command again.
	ExitUnreachable  ExitCode = 6 // No entry answered.
	ExitUnauthorized ExitCode = 7 // The token is missing or wrong.
	ExitNotFound     ExitCode = 8 // What the command names does not exist.
)

// ExitCodeOf returns the exit code for an error.
func ExitCodeOf(err error) ExitCode {
	var usage *UsageError
	var unreachable *UnreachableError
	var answered *api.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &answered):
		return exitCodeOf(answered.Code)
	default:
		return ExitFailed
	}
}

func exitCodeOf(code api.Code) ExitCode {
	switch code {
	case api.CodeConfigConflict, api.CodeBodyMismatch:
		return ExitConflict
	case api.CodeConfigInvalid:
		return ExitInvalid
	case api.CodeConfigUncertain:
		return ExitUncertain
	case api.CodeUnauthorized:
		return ExitUnauthorized
	case api.CodeNotFound, api.CodeUnknownProgram, api.CodeProgramEnded:
		return ExitNotFound
	default:
		return ExitFailed
	}
}
