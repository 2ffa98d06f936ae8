package guard_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/guard"
)

func TestLoopRunsAgainAfterAPanicAndLogsIt(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	runs := 0
	guard.Loop(t.Context(), log, "test loop", func(context.Context) {
		runs++
		if runs == 1 {
			panic("first run")
		}
	})
	is.Equal(runs, 2)
	is.True(strings.Contains(out.String(), "first run") && strings.Contains(out.String(), "guard_test.go"))
	err := guard.Run(log, "call", func() { panic("again") })
	var panicked *guard.PanicError
	is.True(errors.As(err, &panicked))
	is.Equal(panicked.Where, "call")
}
