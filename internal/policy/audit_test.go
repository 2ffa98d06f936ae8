package policy

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAuditKeepsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		s := newTestStore(kv)
		kv.nextFault = func(write bool) fault {
			if rapid.Bool().Draw(t, "settle") {
				kv.applyDelayed()
			}
			return drawFault(t, write)
		}
		events := rapid.IntRange(1, 2*auditBlockEvents).Draw(t, "events")
		for i := range events {
			e := Event{ID: fmt.Sprint(i), Kind: EventDrain, Actor: "rosa", Target: "lm-1", TimeMS: int64(i + 1)}
			for s.Audit(context.Background(), e) != nil {
				continue
			}
		}
		kv.applyDelayed()
		kv.nextFault = func(bool) fault { return faultNone }
		got, err := s.AuditLog(context.Background(), 1000)
		if err != nil || len(got) != events {
			t.Fatalf("the audit log has %d of %d events, error %v", len(got), events, err)
		}
		for i, e := range got {
			if e.ID != fmt.Sprint(events-1-i) {
				t.Fatalf("event %d has ID %s", i, e.ID)
			}
		}
	})
}

func TestAuditListsConfigurationsAndIsBounded(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	s := newTestStore(kv)
	_, err := s.Submit(t.Context(), submission(0, "aoife", "key-of-aoife"))
	is.NoErr(err)
	full := auditBlock{Events: make([]Event, auditBlockEvents)}
	for full.Number = range uint64(auditKeptBlocks + 4) {
		for i := range full.Events {
			full.Events[i] = Event{ID: fmt.Sprint(full.Number, i), Kind: EventOrder, Actor: "rosa", TimeMS: 2_000}
		}
		is.NoErr(s.closeBlock(t.Context(), full))
	}
	open, err := json.Marshal(full)
	is.NoErr(err)
	kv.swap(keyAuditOpen, open, 0)
	is.NoErr(s.Audit(t.Context(), Event{ID: "last", Kind: EventDrain, Actor: "rosa", TimeMS: 3_000}))

	got, err := s.AuditLog(t.Context(), 1_000_000)
	is.NoErr(err)
	is.Equal(len(got), auditKeptBlocks*auditBlockEvents+2) // closed blocks, the last event and the configuration
	is.Equal(got[0].ID, "last")
	last := got[len(got)-1]
	is.Equal(last.Kind, EventConfig)
	is.Equal(last.Actor, "aoife")
	is.Equal(last.Reason, "more calls for aoife")
	is.Equal(last.Revision, uint64(1))
}
