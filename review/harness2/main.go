// Program harness2 plays the scripted cases of the second review: it starts gateways as processes, with stand-ins of the platform's
// store, of workers and of requesters.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// bench is what a case works with.
type bench struct {
	ctx      context.Context
	dir      string // Temporary folder of the run.
	trouble  bool
	store    *store
	workers  []*worker
	gateways []*gateway

	start time.Time
	mu    sync.Mutex
	out   *os.File // Guarded by mu. The record.
}

// record writes a line to the record.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.out, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// addGateway starts a gateway. env is added to its environment.
func (b *bench) addGateway(env ...string) (*gateway, error) {
	g, err := newGateway(b.dir, fmt.Sprintf("front-z1-%d", len(b.gateways)+1), b.store.addr)
	if err != nil {
		return nil, err
	}
	g.env = env
	b.gateways = append(b.gateways, g)
	return g, g.start()
}

// addWorkers starts workers of a service.
func (b *bench) addWorkers(service string, engine bool, n int) error {
	for i := range n {
		w, err := startWorker(b.ctx, b.store, fmt.Sprintf("i-%s-%d", service, i+1), service, engine)
		if err != nil {
			return err
		}
		b.workers = append(b.workers, w)
	}
	return nil
}

// runs returns how often the workers have run each request.
func (b *bench) runs() map[string]int {
	runs := make(map[string]int)
	for _, w := range b.workers {
		for _, r := range w.ran() {
			runs[r.id]++
		}
	}
	return runs
}

// awaitReady waits until all gateways are ready and know each other.
func (b *bench) awaitReady() error {
	for _, g := range b.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// judge records the figures of a case and returns errBroken if the rule was broken.
func (b *bench) judge(broken bool, format string, args ...any) error {
	b.record(format, args...)
	fmt.Printf(format+"\n", args...)
	if broken {
		return errBroken
	}
	return nil
}

// caseLimit is below the time that a case may take.
const caseLimit = 115 * time.Second

// cases are the scripted cases by name.
var cases = map[string]func(*bench) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(run func(*bench) error, folder string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{ctx: ctx, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if b.out, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return 2
	}
	defer func() { _ = b.out.Close() }()
	if b.store, err = startStore(); err != nil {
		return 2
	}
	defer b.store.close()
	defer func() {
		for _, g := range b.gateways {
			g.kill()
		}
	}()
	b.record("trouble=%v", b.trouble)
	limit := caseLimit
	if os.Args[1] == "retain" { // No case.
		limit = conversationTime + caseLimit
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- run(b) }()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(limit):
		err = errors.New("took too long")
	}
	for _, g := range b.gateways {
		b.record("%s used %.0f MB at most (0: it has ended)", g.id, g.peakMB())
		if g.hasEnded() && !g.isStopped {
			data, _ := os.ReadFile(g.log.Name())
			b.record("%s has ended by itself: %v\n%s", g.id, g.cmd.ProcessState, data[max(0, len(data)-4096):])
			err = errors.Join(errors.New("a gateway has ended by itself"), err)
			if errors.Is(err, errBroken) {
				err = errors.New(err.Error()) // The case did not run as it should.
			}
		}
	}
	b.record("result: %v", err)
	fmt.Println(err)
	if os.Getenv("KEEP") != "" {
		_ = os.CopyFS(os.Getenv("KEEP"), os.DirFS(dir))
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		return 1
	}
	return 2
}
