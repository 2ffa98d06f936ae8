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
	auditBlockEvents = 64               // Events per block.
	auditKeptBlocks  = 64               // Number of closed blocks that are kept.
	maxDetailBytes   = 1000             // Longer details of an event are truncated.
	auditTimeout     = 10 * time.Second // Timeout of one call of Audit, with its retries.
)

// EventKind is the type of action that an audit event records.
type EventKind string

// Kinds of audit events.
const (
	EventConfig     EventKind = "config"      // A configuration was accepted. Derived from the chain of revisions.
	EventOrder      EventKind = "order"       // An order was sent to an engine.
	EventDrain      EventKind = "drain"       // A backend server was instructed to accept no new work.
	EventProgramEnd EventKind = "program_end" // An operator ended a program.
)

// Event is one record of the audit trail.
type Event struct {
	ID       string    `json:"id"` // Unique. An event that is written again under the same ID is kept once.
	Kind     EventKind `json:"kind"`
	TimeMS   int64     `json:"time_ms"` // Unix time in milliseconds; Audit replaces 0 by the current time.
	Actor    string    `json:"actor"`
	Target   string    `json:"target"` // Affected program, backend server or configuration revision.
	Reason   string    `json:"reason,omitempty"`
	Detail   string    `json:"detail,omitempty"`   // Details of the action.
	Revision uint64    `json:"revision,omitempty"` // Configuration revision in force; for EventConfig, the accepted one.
	From     uint64    `json:"from,omitempty"`     // For EventConfig, the previous revision.
}

// auditBlock is a sequence of consecutive events. New events are added to the open block. A full block is copied to a
// key of its own, and a new open block replaces it.
type auditBlock struct {
	Number uint64  `json:"number"`
	Events []Event `json:"events"` // Oldest first.
}

func (b auditBlock) contains(id string) bool {
	return slices.ContainsFunc(b.Events, func(e Event) bool { return e.ID == id })
}

func auditKey(number uint64) string { return fmt.Sprintf("%s%012d", keyPrefixAudit, number) }

// Audit appends an event to the audit trail. After a write with an unknown outcome it checks whether the event is
// stored before it writes again, so that each event is stored once. An error with CodeStoreUnavailable means that the
// event may or may not be stored; the caller can retry with the same event. An event without an ID is rejected with
// CodeBadRequest.
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
	var firstBlockPlusOne uint64 // Number of the block that was open at the first try, plus one; 0 before the block was read.
	var lastErr error
	for try := 0; try == 0 || s.backoff(ctx, try-1); try++ {
		stored, err := s.appendEvent(ctx, e, &firstBlockPlusOne)
		if stored {
			return nil
		}
		lastErr = err
	}
	return api.Errorf(api.CodeStoreUnavailable, "append audit event %q: %v", e.ID, lastErr)
}

// appendEvent makes one attempt to append the event and reports whether the event is stored. The result of an earlier
// write whose response was lost is in the open block or in one that was closed since the first attempt.
func (s *Store) appendEvent(ctx context.Context, e Event, firstBlockPlusOne *uint64) (bool, error) {
	open, revision, err := s.openBlock(ctx)
	if err != nil {
		return false, err
	}
	if *firstBlockPlusOne == 0 {
		*firstBlockPlusOne = open.Number + 1
	}
	recorded, err := s.isRecorded(ctx, e.ID, open, *firstBlockPlusOne-1)
	if recorded || err != nil {
		return recorded, err
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
	_, stored, err := s.kv.CompareAndSwap(ctx, keyAuditOpen, value, revision, 0)
	if err != nil {
		return false, fmt.Errorf("write %s: %w", keyAuditOpen, err)
	}
	return stored, nil
}

// isRecorded reports whether the event is in the open block or in a closed block from number first on.
func (s *Store) isRecorded(ctx context.Context, id string, open auditBlock, first uint64) (bool, error) {
	if open.contains(id) {
		return true, nil
	}
	for n := first; n < open.Number; n++ {
		closed, err := s.closedBlock(ctx, n)
		if err != nil {
			return false, err
		}
		if closed.contains(id) {
			return true, nil
		}
	}
	return false, nil
}

// openBlock returns the open block and the revision of its key, which is 0 if the key does not exist.
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

// closedBlock returns an empty block if the block does not exist or is no longer stored.
func (s *Store) closedBlock(ctx context.Context, number uint64) (auditBlock, error) {
	kv, err := s.kv.Get(ctx, auditKey(number))
	if err != nil {
		return auditBlock{}, fmt.Errorf("read %s: %w", auditKey(number), err)
	}
	var b auditBlock
	if kv.Revision > 0 {
		err = decompressJSON(kv.Value, &b)
	}
	return b, err
}

// closeBlock copies a full block to its own key and deletes closed blocks that exceed the retention limit. A full block
// never changes, so concurrent writers write the same bytes.
func (s *Store) closeBlock(ctx context.Context, b auditBlock) error {
	value, err := compressJSON(b)
	if err != nil {
		return err
	}
	if _, _, err := s.kv.CompareAndSwap(ctx, auditKey(b.Number), value, 0, 0); err != nil {
		return fmt.Errorf("write %s: %w", auditKey(b.Number), err)
	}
	s.trimPrefix(ctx, keyPrefixAudit, b.Number, auditKeptBlocks)
	return nil
}

// AuditLog returns up to limit of the newest audit events, newest first. Accepted configurations are included as events
// of kind EventConfig.
func (s *Store) AuditLog(ctx context.Context, limit int) ([]Event, error) {
	entries, err := s.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out, err := s.newestEvents(ctx, limit)
	if err != nil {
		return nil, asUnavailable(err)
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

// newestEvents returns up to limit of the newest stored events, newest first.
func (s *Store) newestEvents(ctx context.Context, limit int) ([]Event, error) {
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

// truncate shortens s to at most limit bytes, without a partial UTF-8 character at the end.
func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}
