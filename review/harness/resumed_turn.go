package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["resumed-turn"] = playResumedTurn }

// playResumedTurn kills the gateway that forwards a turn. The requester takes the stream up at the other gateway, and then continues
// from the turn that it has whole.
func playResumedTurn(s *scene) error {
	s.putConfig(7, route("turns", "stream", "llm", 2, map[string]any{
		"stateful": true, "retain_s": 60.0, "sticky": true, "resumable": true, "gap_target_ms": 250,
	}))
	var workers []*worker
	for i := range 2 {
		w, err := newWorker(s.record, s.store, fmt.Sprintf("i-%d", i+1), "llm", "v1", 10, 60*time.Millisecond)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	// The killed gateway is 0.143 of them.
	if err := s.startGateways(7); err != nil {
		return err
	}
	program := "3fa81c"
	first := call{ID: newID(), Path: "/turns/4b", Body: "first input.", Program: program, MaxOutput: 50}
	a := send(s.record, s.gateways[0].callers, first, func(n int) {
		if n == 4 && s.trouble {
			s.gateways[0].kill()
		}
	})
	events, last := a.Events, first.ID
	if !a.Complete {
		if len(events) == 0 {
			return errors.New("the first turn brought no event")
		}
		time.Sleep(300 * time.Millisecond)
		again := first
		again.ID, again.Resumes, again.LastEvent = newID(), first.ID, events[len(events)-1].ID
		if a = send(s.record, s.gateways[1].callers, again, nil); !a.Complete || a.Status != 200 {
			s.record.add("case", "the stream was not taken up, so nothing can be continued")
			return nil
		}
		events, last = append(events, a.Events...), again.ID
	}
	second := call{ID: newID(), Path: "/turns/4b", Body: "second input.", Program: program, MaxOutput: 50, Previous: last}
	send(s.record, s.gateways[1].callers, second, nil)

	var expected strings.Builder
	expected.WriteString(first.Body)
	for _, e := range events {
		expected.WriteString(e.Data + "\n")
	}
	expected.WriteString(second.Body)
	s.record.add("case", "expected body of the second turn", "body", expected.String())
	for _, w := range workers {
		for _, r := range w.allRuns() {
			if r.ID == second.ID && r.Body != expected.String() {
				s.record.add("case", "worker ran the turn with another body", "worker", w.id, "body", r.Body)
				return fmt.Errorf("%w: worker %s ran turn %s with a body that lacks events of the turn before", errBroken, w.id, r.ID)
			}
		}
	}
	return nil
}
