// Package guard keeps a panic in one call or loop from ending the whole process.
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/pause"
)

// A PanicError reports a panic that was caught.
type PanicError struct {
	Where string // Name of the call or loop.
	Value any    // Value of the panic.
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Where, e.Value) }

// Run calls f. A panic is logged with its stack and returned as a *PanicError.
func Run(log *slog.Logger, where string, f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Where: where, Value: v}
			log.Error("panic", "where", where, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
	}()
	f()
	return nil
}

// restartPause is the time after which a loop that panicked runs again.
const restartPause = 200 * time.Millisecond

// Loop calls f, and calls it again after a pause whenever it has panicked, until f returns or ctx ends.
func Loop(ctx context.Context, log *slog.Logger, where string, f func(context.Context)) {
	for ctx.Err() == nil && Run(log, where, func() { f(ctx) }) != nil {
		pause.For(ctx, restartPause)
	}
}
