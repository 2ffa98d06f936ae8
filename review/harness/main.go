// Command harness plays the cases of the review that are scripts. It starts the project's gateways as processes and stands in for
// the platform's store, the workers and the requesters, on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// scene is what a case runs in.
type scene struct {
	trouble  bool
	folder   string // Temporary.
	record   *recorder
	store    *kvStore
	gateways []*gateway
	// storeAddress returns the address under which the next gateway reaches the store. nil: that of the store.
	storeAddress func() (string, error)
}

// cases holds the cases by their name.
var cases = map[string]func(s *scene) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(statusFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns its exit status.
func play(run func(*scene) error, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer file.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer os.RemoveAll(temporary)
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, record: &recorder{file: file, began: time.Now()}}
	s.record.add("case", "start", "trouble", s.trouble)
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- s.run(run) }()
	select {
	case err = <-result:
	case <-ends:
		err = errors.New("the case was stopped")
	case <-time.After(timeLimit):
		err = errors.New("the case took too long")
	}
	for _, g := range s.gateways {
		g.kill()
		if folder := os.Getenv("KEEP_LOGS"); folder != "" {
			if data, err := os.ReadFile(g.log); err == nil {
				_ = os.WriteFile(filepath.Join(folder, g.name+".log"), data, 0o600)
			}
		}
	}
	s.record.add("case", "end", "result", fmt.Sprint(err))
	fmt.Println("result:", err)
	switch {
	case err == nil:
		return statusHeld
	case errors.Is(err, errBroken):
		return statusBroken
	}
	return statusFailed
}

// run starts the store and plays the case.
func (s *scene) run(run func(*scene) error) error {
	var err error
	if s.store, err = newStore(s.record); err != nil {
		return err
	}
	return run(s)
}

// startGateways starts gateways and waits until they are ready.
func (s *scene) startGateways(n int) error {
	for i := range n {
		address := s.store.address
		if s.storeAddress != nil {
			var err error
			if address, err = s.storeAddress(); err != nil {
				return err
			}
		}
		g, err := newGateway(s.record, s.folder, fmt.Sprintf("front-z1-%d", i+1), address)
		if g != nil && g.cmd != nil && g.cmd.Process != nil {
			s.gateways = append(s.gateways, g)
		}
		if err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // Longer than contact_ms.
	return nil
}

// recorder writes what happens to a file.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File // Guarded by mu.
}

// add writes a line: who did what, with the names and values that follow.
func (r *recorder) add(who, what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s: %s", time.Since(r.began).Seconds(), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%q", pairs[i], fmt.Sprint(pairs[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line.String() + "\n")
}

// shorten returns a text that is short enough for a line.
func shorten(text string) string {
	const most = 300
	if len(text) <= most {
		return text
	}
	return text[:most] + "..."
}
