// Command harness3 plays the cases 11 to 15 of the review: it starts gateways as processes, with stand-ins of the platform, of backend
// servers and of callers, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannotDo = 2
)

// scenario plays a case and returns how often the rule was broken beyond what it allows, with a sentence on it.
type scenario func(p *play) (broken bool, verdict string)

var scenarios = map[string]scenario{
	"configuration-changes": playConfigurationChanges,
	"upgrade-in-place":      playUpgradeInPlace,
	"lost-budgets":          playLostBudgets,
	"common-input":          playCommonInput,
	"forgotten-limits":      playForgottenLimits,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(exitCannotDo)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// cannotRun is the panic value of a play that could not be set up.
type cannotRun struct{ reason string }

// run plays a case and returns the exit code.
func run(s scenario, recordFile string) (code int) {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotDo
	}
	defer func() { _ = file.Close() }()
	p := &play{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.end()
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case cannotRun:
			p.record.add("cannot run: %s", failure.reason)
			fmt.Println("cannot run:", failure.reason)
			code = exitCannotDo
		default: // A fault of the play, which must not pass for a rule that held.
			p.record.add("cannot run: %v", failure)
			fmt.Printf("cannot run: %v\n%s", failure, debug.Stack())
			code = exitCannotDo
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		p.end()
		os.Exit(exitCannotDo)
	}()
	broken, verdict := s(p)
	p.record.add("%s", verdict)
	fmt.Println(verdict)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File // Guarded by mu.
	began time.Time
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), line)
}
