package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Keys of the audit trail and its retention.
const (
	keyAuditOpen     = "audit/open"
	keyPrefixAudit   = "audit/closed/"
	auditBlockEvents = 64 // Events in one block.
	auditKeptBlocks  = 64 // Closed blocks that are kept.
	maxDetailBytes   = 1000
	auditTimeout     = 10 * time.Second
)

// EventKind names what an audit event records.
type EventKind string

// Kinds of audit events.
const (
	EventConfig     EventKind = "config"      // A configuration was accepted. Taken from the chain of revisions.
	EventOrder      EventKind = "order"       // An order was given to an engine.
	EventDrain      EventKind = "drain"       // A backend server was told to take no more work.
	EventProgramEnd EventKind = "program_end" // An operator ended a program.
)

// Event is one record of the audit trail.
type Event struct {
	ID       string    `json:"id"` // Unique; the same event written again is kept once.
	Kind     EventKind `json:"kind"`
	TimeMS   int64     `json:"time_ms"` // Unix time in milliseconds; 0 means now.
	Actor    string    `json:"actor"`
	Target   string    `json:"target"` // Program, backend server or configuration revision.
	Reason   string    `json:"reason,omitempty"`
	Detail   string    `json:"detail,omitempty"`   // What changed.
	Revision uint64    `json:"revision,omitempty"` // Of the configuration in force, or the accepted one.
	From     uint64    `json:"from,omitempty"`     // The revision before, of EventConfig.
}

// auditBlock is a run of events. The open block takes events until it is full; it is then copied to a key of its own
// and the next one begins.
type auditBlock struct {
	Number uint64  `json:"number"`
	Events []Event `json:"events"` // Oldest first.
}

func (b auditBlock) has(id string) bool {
	return slices.ContainsFunc(b.Events, func(e Event) bool { return e.ID == id })
}

func auditKey(number uint64) string { return fmt.Sprintf("%s%012d", keyPrefixAudit, number) }

// Audit appends an event to the trail. When its answer is lost it reads whether the event is there, so that it is kept
// once. Its error has CodeStoreUnavailable: the event may or may not be kept, and Audit may be called again with it.
func (s *Store) Audit(ctx context.Context, e Event) error {
	if e.ID == "" {
		return api.Errorf(api.CodeBadRequest, "an audit event of kind %q has no ID", e.Kind)
	}
	if e.TimeMS == 0 {
		e.TimeMS = s.now().UnixMilli()
	}
	e.Reason = truncate(e.Reason, maxReasonBytes)
	e.Detail = truncate(e.Detail, maxDetailBytes)
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	var since uint64 // Number of the block that was open at the first try, plus one.
	var last error
	for try := 0; try == 0 || s.pause(ctx, try-1); try++ {
		done, err := s.appendEvent(ctx, e, &since)
		if done {
			return nil
		}
		last = err
	}
	return api.Errorf(api.CodeStoreUnavailable, "append audit event %q: %v", e.ID, last)
}

// appendEvent tries once to append the event. An earlier write of it whose answer was lost is found in the open block
// or in one that was closed since.
func (s *Store) appendEvent(ctx context.Context, e Event, since *uint64) (bool, error) {
	open, revision, err := s.openBlock(ctx)
	if err != nil {
		return false, err
	}
	if *since == 0 {
		*since = open.Number + 1
	}
	kept, err := s.isKept(ctx, e.ID, open, *since-1)
	if kept || err != nil {
		return kept, err
	}
	if len(open.Events) >= auditBlockEvents {
		if err := s.closeBlock(ctx, open); err != nil {
			return false, err
		}
		open = auditBlock{Number: open.Number + 1}
	}
	open.Events = append(open.Events, e)
	value, err := json.Marshal(open)
	if err != nil {
		return false, fmt.Errorf("encode %s: %w", keyAuditOpen, err)
	}
	_, done, err := s.kv.CompareAndSwap(ctx, keyAuditOpen, value, revision, 0)
	if err != nil {
		return false, fmt.Errorf("write %s: %w", keyAuditOpen, err)
	}
	return done, nil
}

func (s *Store) isKept(ctx context.Context, id string, open auditBlock, first uint64) (bool, error) {
	if open.has(id) {
		return true, nil
	}
	for n := first; n < open.Number; n++ {
		closed, err := s.closedBlock(ctx, n)
		if err != nil {
			return false, err
		}
		if closed.has(id) {
			return true, nil
		}
	}
	return false, nil
}

func (s *Store) openBlock(ctx context.Context) (auditBlock, int64, error) {
	kv, err := s.kv.Get(ctx, keyAuditOpen)
	if err != nil {
		return auditBlock{}, 0, fmt.Errorf("read %s: %w", keyAuditOpen, err)
	}
	var b auditBlock
	if kv.Revision > 0 {
		err = json.Unmarshal(kv.Value, &b)
	}
	return b, kv.Revision, err
}

func (s *Store) closedBlock(ctx context.Context, number uint64) (auditBlock, error) {
	kv, err := s.kv.Get(ctx, auditKey(number))
	if err != nil {
		return auditBlock{}, fmt.Errorf("read %s: %w", auditKey(number), err)
	}
	var b auditBlock
	if kv.Revision > 0 {
		err = unpack(kv.Value, &b)
	}
	return b, err
}

// closeBlock copies a full block to its own key and deletes those that leave the retention. A full block does not
// change, so that all writers write the same.
func (s *Store) closeBlock(ctx context.Context, b auditBlock) error {
	value, err := pack(b)
	if err != nil {
		return err
	}
	if _, _, err := s.kv.CompareAndSwap(ctx, auditKey(b.Number), value, 0, 0); err != nil {
		return fmt.Errorf("write %s: %w", auditKey(b.Number), err)
	}
	s.trimPrefix(ctx, keyPrefixAudit, b.Number, auditKeptBlocks)
	return nil
}

// AuditLog returns the newest events together with accepted configurations, newest first, at most limit of them.
func (s *Store) AuditLog(ctx context.Context, limit int) ([]Event, error) {
	entries, err := s.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out, err := s.events(ctx, limit)
	if err != nil {
		return nil, unavailable(err)
	}
	for _, e := range entries {
		out = append(out, Event{
			ID: e.Submission, Kind: EventConfig, TimeMS: e.TimeMS, Actor: e.Author, Reason: e.Reason,
			Target: fmt.Sprintf("revision %d", e.Revision), Revision: e.Revision, From: e.Revision - 1,
		})
	}
	slices.SortStableFunc(out, func(a, b Event) int { return int(b.TimeMS - a.TimeMS) })
	return out[:min(limit, len(out))], nil
}

// events returns the newest events of the trail, newest first.
func (s *Store) events(ctx context.Context, limit int) ([]Event, error) {
	b, _, err := s.openBlock(ctx)
	if err != nil {
		return nil, err
	}
	var out []Event
	for {
		for _, e := range slices.Backward(b.Events) {
			if len(out) == limit {
				return out, nil
			}
			out = append(out, e)
		}
		if b.Number == 0 {
			return out, nil
		}
		number := b.Number - 1
		if b, err = s.closedBlock(ctx, number); err != nil {
			return nil, err
		}
		if len(b.Events) == 0 {
			return out, nil
		}
	}
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}
