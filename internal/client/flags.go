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

// Environment variables that contain the defaults of Flags.
const (
	envEntries = "REDWINGGAUGE_ENTRIES"
	envToken   = "REDWINGGAUGE_TOKEN"
)

// defaultTimeout is the default time limit of a command.
const defaultTimeout = 30 * time.Second

// Flags are the command-line flags of all operators' commands. They say how to reach the entries.
type Flags struct {
	entries   string
	tokenFile string
	timeout   time.Duration
	JSON      bool // Print the result as JSON instead of a table.
}

// Register defines the flags in set.
func (f *Flags) Register(set *flag.FlagSet) {
	set.StringVar(&f.entries, "entries", os.Getenv(envEntries), "`ADDRESSES` of the entries' operator ports, host:port, comma-separated")
	set.StringVar(&f.tokenFile, "token-file", "", "`FILE` that contains the operator's token; if empty, the token is read from environment variable "+envToken)
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit of the whole command")
	set.BoolVar(&f.JSON, "json", false, "print the result as JSON, for scripts")
}

// Connect returns a client of the entries and a context with the command's timeout. It sends nothing yet. Its error is a
// *UsageError.
func (f *Flags) Connect(ctx context.Context) (*Client, context.Context, context.CancelFunc, error) {
	if f.entries == "" {
		return nil, nil, nil, &UsageError{Message: "no entry address is given: set flag -entries or environment variable " + envEntries}
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
		return nil, nil, nil, &UsageError{Message: "no operator's token is given: set flag -token-file or environment variable " + envToken}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	return New(strings.Split(f.entries, ","), token), ctx, cancel, nil
}

// UsageError reports wrong flags or arguments of a command.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ExitCode is the exit code of an operators' command.
type ExitCode int

// Exit codes of operators' commands.
const (
	ExitSuccess      ExitCode = 0 // Done.
	ExitFailed       ExitCode = 1 // Refused or failed for another reason than those below.
	ExitUsage        ExitCode = 2 // Wrong flags or arguments; nothing was sent.
	ExitConflict     ExitCode = 3 // Another configuration revision won.
	ExitInvalid      ExitCode = 4 // The configuration is invalid.
	ExitUncertain    ExitCode = 5 // It is not known whether it was done; run the same command again.
	ExitUnreachable  ExitCode = 6 // No entry answered.
	ExitUnauthorized ExitCode = 7 // The token is missing or wrong.
	ExitNotFound     ExitCode = 8 // What the command names does not exist.
)

// ExitCodeOf returns the exit code of a command that ended with err.
func ExitCodeOf(err error) ExitCode {
	var usage *UsageError
	var unreachable *UnreachableError
	var apiErr *api.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &apiErr):
		return exitCodeOfResult(apiErr.Code)
	default:
		return ExitFailed
	}
}

// exitCodeOfResult returns the exit code of a command that received an error with the result code.
func exitCodeOfResult(code api.Code) ExitCode {
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
