package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

// playSilent makes the open channels to the store silent for good, while new ones work. Then the operator moves a route to another
// service. Requests that are sent later than config_apply_ms after that, at machines that are in touch again, must not run at the old one.
func playSilent(s *scene) error {
	const (
		apply   = 2 * time.Second // config_apply_ms.
		contact = 3 * time.Second // contact_ms.
		every   = 20 * time.Millisecond
		total   = 12 * time.Second
	)
	var proxies []*proxy
	s.storeAddress = func() (string, error) {
		p, err := newProxy(s.store.address)
		if err != nil {
			return "", err
		}
		proxies = append(proxies, p)
		return p.address, nil
	}
	lookup := func(service string) any { return route("lookup", "idempotent", service, 2, nil) }
	s.putConfig(7, lookup("app"))
	var old, next []*worker
	for i := range 4 {
		w, err := newWorker(s.record, s.store, fmt.Sprintf("i-%d", i+1), []string{"app", "app2"}[i%2], "v1", 0, 5*time.Millisecond)
		if err != nil {
			return err
		}
		if i%2 == 0 {
			old = append(old, w)
		} else {
			next = append(next, w)
		}
	}
	if err := s.startGateways(5); err != nil {
		return err
	}
	s.putConfig(8, lookup("app")) // Answers the watches, so that new ones begin.
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	if s.trouble {
		for i, p := range proxies {
			s.record.add("network", "channels to the store go silent", "machine", s.gateways[i].name, "channels", p.silence())
		}
	}
	silentAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	s.putConfig(12, lookup("app2"))
	confirmed := time.Now()
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := 0; time.Since(began) < total; n++ {
		c := call{ID: newID(), Path: "/lookup/2f", Body: fmt.Sprintf("q%d", n), DeadlineMS: 2000}
		mu.Lock()
		sent[c.ID] = time.Now()
		mu.Unlock()
		group.Go(func() { send(s.record, s.gateways[n%len(s.gateways)].callers, c, nil) })
		time.Sleep(every)
	}
	group.Wait()
	late, last := 0, time.Duration(0)
	for _, w := range old {
		for _, r := range w.allRuns() {
			at := sent[r.ID]
			last = max(last, at.Sub(silentAt))
			if at.After(confirmed.Add(apply)) && at.After(silentAt.Add(contact)) {
				late++
				s.record.add("case", "request ran at the old service", "request", r.ID, "after_ms", at.Sub(confirmed).Milliseconds())
			}
		}
	}
	served := 0
	for _, w := range next {
		served += len(w.allRuns())
	}
	s.record.add("case", "requests", "late", late, "last_ms", last.Milliseconds(), "served_by_new", served)
	fmt.Println("last at the old service", last, "late", late, "served by the new", served)
	switch {
	case served == 0:
		return errors.New("the new service has served nothing")
	case late > 0:
		return fmt.Errorf("%w: %d requests ran at the old service", errBroken, late)
	}
	return nil
}
