package gateway

import (
	"errors"

	"github.com/redwinggauge/redwinggauge/internal/guard"
)

// guarded returns the error of f. A panic becomes a *guard.PanicError, so that the call still gives back what it holds, leaves its log line
// and gets an answer.
func (x *exchange) guarded(f func() error) (err error) {
	panicked := guard.Run(x.g.log, "call "+x.call.ID, func() { err = f() })
	if panicked == nil {
		return err
	}
	if x.unsettled { // The server may run the call.
		x.unsettled = false
		x.sends++
		x.runs++
	}
	if !x.started {
		clear(x.w.Header()) // Of an answer that is not sent.
		x.w.Header().Set("Connection", "close")
	}
	return panicked
}

// isPanic reports whether a panic of this process, which says nothing about a server, is the reason for the error.
func isPanic(err error) bool {
	var panicked *guard.PanicError
	return errors.As(err, &panicked)
}
