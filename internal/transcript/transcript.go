// Package transcript keeps the events of streams in the key-value service, so that the turn of a caller that takes its stream up with
// another request is stored with all its events.
//
// The events of each request are stored in numbered parts, which never change. A request that takes a stream up stores an empty first part
// with the event that it starts from before it is sent to a server, and delivers no event that is not stored. The parts therefore tell
// which events the caller has, also if several requests, at several gateways, still work on the stream.
package transcript

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// ErrIncomplete means that not all events up to the one that the caller has are stored, or that it is not certain which they are.
var ErrIncomplete = errors.New("the events that the caller has are not all known")

// Retention is how long the parts of a stream are used. It is longer than any caller goes on to take its stream up.
const Retention = time.Minute

// Request identifies one request that serves a stream.
type Request struct {
	Organisation string `json:"organisation,omitempty"` // Name of the organisation to which the stream belongs; empty if none.
	Stream       string `json:"stream"`                 // Id of the request that began the stream.
	ID           string `json:"request"`                // Equal to Stream for the request that began it.
	After        string `json:"after,omitempty"`        // Id of the event after which the request takes the stream up; empty if it began it.
}

// Event is one event of a stream.
type Event struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// part is some of the events of a request, as stored.
type part struct {
	Request
	Number int     `json:"number"` // Counts the request's parts from 0.
	Events []Event `json:"events,omitempty"`
	AtMS   int64   `json:"at_ms"` // Time of writing in Unix milliseconds.
}

// Prefix returns the prefix of the keys of a stream's parts below the given one. Ids are hashed, as their length is not limited.
func Prefix(below, organisation, stream string) string {
	return below + digest(organisation+"\x00"+stream) + "/"
}

// key returns the key of a part below the prefix.
func (p *part) key(below string) string {
	return fmt.Sprintf("%s%s/%06d", Prefix(below, p.Organisation, p.Stream), digest(p.ID), p.Number)
}

func digest(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:16])
}

func decode(value []byte) (part, error) {
	var p part
	if err := json.Unmarshal(value, &p); err != nil {
		return p, fmt.Errorf("decode part of a stream: %w", err)
	}
	return p, nil
}

// Written returns when a stored part was written.
func Written(value []byte) (time.Time, error) {
	p, err := decode(value)
	return time.UnixMilli(p.AtMS), err
}

// run is what is stored of one request.
type run struct {
	Request
	events []Event
}

// Assemble returns the events that the caller of a request has when it takes a stream up, from the parts stored under Prefix. The error is
// ErrIncomplete if that is not certain.
func Assemble(items []ports.KeyValue, taker Request, now time.Time) ([]Event, error) {
	runs, err := collect(items, taker, now)
	if err != nil {
		return nil, err
	}
	var events []Event
	passed := make(map[string]bool) // Events from which a request went on.
	for from := ""; ; {
		passed[from] = true
		section, err := sectionAfter(runs, from, taker.After)
		if err != nil {
			return nil, err
		}
		events = append(events, section...)
		from = section[len(section)-1].ID
		if from == taker.After {
			return events, nil
		}
		if passed[from] {
			return nil, fmt.Errorf("event %q comes twice: %w", from, ErrIncomplete)
		}
	}
}

// collect returns what is stored of the requests that served the stream before, by the event from which they went on.
func collect(items []ports.KeyValue, taker Request, now time.Time) (map[string][]*run, error) {
	parts := make(map[string][]part)
	for _, item := range items {
		p, err := decode(item.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if p.Organisation != taker.Organisation || p.Stream != taker.Stream {
			continue
		}
		if p.ID == taker.ID { // What it stored before would be overwritten.
			return nil, fmt.Errorf("the id of request %q was used before: %w", p.ID, ErrIncomplete)
		}
		parts[p.ID] = append(parts[p.ID], p)
	}
	runs := make(map[string][]*run)
	for id, list := range parts {
		slices.SortFunc(list, func(a, b part) int { return a.Number - b.Number })
		first := list[0]
		switch {
		case first.Number != 0:
			return nil, fmt.Errorf("the start of request %q is not stored: %w", id, ErrIncomplete)
		case (first.ID == first.Stream) != (first.After == ""):
			return nil, fmt.Errorf("request %q starts after event %q: %w", id, first.After, ErrIncomplete)
		case now.Sub(time.UnixMilli(first.AtMS)) > Retention:
			return nil, fmt.Errorf("the parts of request %q are no longer all kept: %w", id, ErrIncomplete)
		}
		r := &run{Request: first.Request}
		for number, p := range list {
			if p.Number != number {
				break // The events behind a missing part are of no use.
			}
			r.events = append(r.events, p.Events...)
		}
		runs[r.After] = append(runs[r.After], r)
	}
	return runs, nil
}

// sectionAfter returns the events that the caller got after the event from, up to the next one from which a request went on, or up to the
// last one that it has. Requests that went on from the same event and did not store as much delivered nothing; the others must agree.
func sectionAfter(runs map[string][]*run, from, last string) ([]Event, error) {
	var section []Event
	for _, r := range runs[from] {
		end := slices.IndexFunc(r.events, func(e Event) bool { return e.ID == last || e.ID != "" && e.ID != from && len(runs[e.ID]) > 0 })
		if end < 0 {
			continue
		}
		events := r.events[:end+1]
		if section != nil && !slices.EqualFunc(section, events, equal) {
			return nil, fmt.Errorf("requests that went on after event %q differ: %w", from, ErrIncomplete)
		}
		section = events
	}
	if section == nil {
		return nil, fmt.Errorf("what follows event %q is not stored up to event %q: %w", from, last, ErrIncomplete)
	}
	return section, nil
}

func equal(a, b Event) bool { return a.ID == b.ID && string(a.Data) == string(b.Data) }
