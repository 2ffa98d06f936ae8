package policy

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAuditKeepsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		s := newTestStore(kv)
		kv.decide = func(write bool) fault {
			if rapid.Bool().Draw(t, "settle") {
				kv.settle()
			}
			kind := fault(rapid.IntRange(0, 2*int(faultKinds)).Draw(t, "fault"))
			if kind >= faultKinds || !write && kind > faultReadsOnly {
				return faultNone
			}
			return kind
		}
		events := rapid.IntRange(1, 3*auditBlockEvents).Draw(t, "events")
		for i := range events {
			e := Event{ID: fmt.Sprint(i), Kind: EventDrain, Actor: "rosa", Target: "lm-1", TimeMS: int64(i + 1)}
			for s.Audit(context.Background(), e) != nil {
				continue
			}
		}
		kv.settle()
		kv.decide = func(bool) fault { return faultNone }
		got, err := s.AuditLog(context.Background(), 1000)
		if err != nil || len(got) != events {
			t.Fatalf("%d events are kept of %d, %v", len(got), events, err)
		}
		for i, e := range got {
			if e.ID != fmt.Sprint(events-1-i) {
				t.Fatalf("event %d has the ID %s", i, e.ID)
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
	for i := range (auditKeptBlocks + 4) * auditBlockEvents {
		is.NoErr(s.Audit(t.Context(), Event{ID: fmt.Sprint(i), Kind: EventOrder, Actor: "rosa", TimeMS: 2_000}))
	}
	got, err := s.AuditLog(t.Context(), 1_000_000)
	is.NoErr(err)
	is.True(len(got) > auditKeptBlocks*auditBlockEvents)
	is.True(len(got) <= (auditKeptBlocks+1)*auditBlockEvents+1)
	last := got[len(got)-1]
	is.Equal(last.Kind, EventConfig)
	is.Equal(last.Actor, "aoife")
	is.Equal(last.Reason, "more calls for aoife")
	is.Equal(last.Revision, uint64(1))
}
