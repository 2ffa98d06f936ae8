package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

// playReborn cuts two of fourteen workers off from the store. They crash behind the cut and start again under their ids, with the next
// version of their software. They crash once more while they serve streams, which then must not go on at workers of the old version.
func playReborn(s *scene) error {
	const (
		count   = 14
		reborn  = 2 // 0.143 of the workers.
		cutFor  = 5 * time.Second
		streams = 70
		allowed = 2 // Streams that may hold events of two versions.
	)
	s.putConfig(7, route("resume", "stream", "llm", 2, map[string]any{"sticky": true, "resumable": true, "gap_target_ms": 250}))
	workers := make([]*worker, count)
	for i := range workers {
		w, err := newWorker(s.record, s.store, fmt.Sprintf("i-%d", i+1), "llm", "v1", 16, 200*time.Millisecond)
		if err != nil {
			return err
		}
		workers[i] = w
	}
	if err := s.startGateways(3); err != nil {
		return err
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if s.trouble {
		for _, w := range workers[:reborn] {
			w.setCut(true)
			time.AfterFunc(cutFor, func() { w.setCut(false) })
		}
	}
	at(200 * time.Millisecond)
	for _, w := range workers[:reborn] {
		w.kill()
	}
	at(500 * time.Millisecond)
	for _, w := range workers[:reborn] {
		if err := w.start("v2"); err != nil {
			return err
		}
	}
	at(800 * time.Millisecond)
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		c := call{ID: newID(), Path: "/resume/2f", Body: fmt.Sprintf("question %d", i), MaxOutput: 80}
		group.Go(func() { answers[i] = send(s.record, s.gateways[i%len(s.gateways)].callers, c, nil) })
	}
	at(1800 * time.Millisecond)
	for _, w := range workers[:reborn] {
		w.kill()
	}
	group.Wait()
	at(cutFor + 500*time.Millisecond)
	mixed, begun := 0, 0
	for _, a := range answers {
		if len(a.Events) > 0 {
			begun++
		}
		if len(versionsOf(a.Events)) > 1 {
			mixed++
			s.record.add("case", "stream holds events of two versions", "request", a.Call, "events", fmt.Sprint(a.Events))
		}
	}
	s.record.add("case", "streams", "begun", begun, "mixed", mixed, "allowed", allowed)
	switch {
	case begun < streams/2:
		return errors.New("fewer than half of the streams have begun")
	case mixed > allowed:
		return fmt.Errorf("%w: %d of %d streams hold events of two software versions", errBroken, mixed, begun)
	}
	return nil
}

// versionsOf returns the versions of the workers that made the events.
func versionsOf(events []event) map[string]bool {
	versions := make(map[string]bool)
	for _, e := range events {
		if parts := strings.Split(e.Data, "-"); len(parts) == 4 {
			versions[parts[2]] = true
		}
	}
	return versions
}
