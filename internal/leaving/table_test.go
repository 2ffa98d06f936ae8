package leaving_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/leaving"
)

const drain = 2 * time.Second

func entry(born int64, address string, revision int64) *fleet.BackendServer {
	return &fleet.BackendServer{ID: "a", Service: "s", Address: address, Born: born, Revision: revision}
}

func announced(born int64, address string, at time.Time) leaving.Announcement {
	return leaving.Announcement{Server: "a", Born: born, Address: address, At: at}
}

// Guards against calls at a leaving server because the store says something else, and against a new start that gets no calls.
func TestAnnouncementEndsOnlyWithANewStart(t *testing.T) {
	type step func(table *leaving.Table) // What is seen after the announcement at revision 5.
	written := func(s *fleet.BackendServer) step { return func(t *leaving.Table) { t.ObserveEntry(s) } }
	deleted := func(revision int64) step { return func(t *leaving.Table) { t.ObserveDeletion("a", revision) } }
	list := func(revision int64, unreadable bool, entries ...*fleet.BackendServer) step {
		return func(t *leaving.Table) {
			listed := map[string]bool{"a": unreadable || len(entries) > 0}
			t.ObserveList(entries, listed, revision)
		}
	}
	cases := []struct {
		name  string
		born  int64
		steps []step
		after *fleet.BackendServer // The entry whose state is asked.
		want  fleet.Departure
	}{
		{"ready again", 7, []step{written(entry(7, "x", 6))}, entry(7, "x", 6), fleet.Leaving},
		{"deleted and written anew", 7, []step{deleted(6), written(entry(7, "y", 7))}, entry(7, "y", 7), fleet.Leaving},
		{"start missing", 7, []step{deleted(6), written(entry(0, "y", 7))}, entry(0, "y", 7), fleet.Leaving},
		{"earlier start", 7, []step{written(entry(6, "x", 6))}, entry(6, "x", 6), fleet.Leaving},
		{"later start", 7, []step{written(entry(8, "x", 6))}, entry(8, "x", 6), fleet.Staying},
		{"later start, not yet noted", 7, nil, entry(8, "x", 6), fleet.Staying},
		{"later start in a list", 7, []step{list(6, false, entry(8, "x", 6))}, entry(8, "x", 6), fleet.Staying},
		{"no start: ready again", 0, []step{written(entry(0, "x", 6))}, entry(0, "x", 6), fleet.Leaving},
		{"no start: other address without deletion", 0, []step{written(entry(0, "y", 6))}, entry(0, "y", 6), fleet.Leaving},
		{"no start: same address after deletion", 0, []step{deleted(6), written(entry(0, "x", 7))}, entry(0, "x", 7), fleet.Leaving},
		{"no start: other address after deletion", 0, []step{deleted(6), written(entry(0, "y", 7))}, entry(0, "y", 7), fleet.Staying},
		{"no start: start after deletion", 0, []step{deleted(6), written(entry(9, "x", 7))}, entry(9, "x", 7), fleet.Staying},
		{"no start: deletion from before", 0, []step{deleted(4), written(entry(0, "y", 7))}, entry(0, "y", 7), fleet.Leaving},
		{"no start: missing in a list", 0, []step{list(6, false), written(entry(0, "y", 7))}, entry(0, "y", 7), fleet.Staying},
		{"no start: unreadable in a list", 0, []step{list(6, true), written(entry(0, "y", 7))}, entry(0, "y", 7), fleet.Leaving},
		{"no start: other address in a list", 0, []step{list(6, false, entry(0, "y", 6))}, entry(0, "y", 6), fleet.Staying},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, now := leaving.NewTable(drain), time.Now()
			is.True(table.Add(announced(c.born, "x", now), entry(c.born, "x", 5)))
			is.Equal(table.State(entry(c.born, "x", 5), now), fleet.Leaving)
			for _, step := range c.steps {
				step(table)
			}
			is.Equal(table.State(c.after, now.Add(drain)), c.want)
			if c.want == fleet.Leaving {
				is.Equal(table.State(c.after, now.Add(drain+1)), fleet.Left)
			}
		})
	}
}

// Guards against a restarted server that is hidden because an answer of its earlier run, or another gateway's message, came late.
func TestLateAnnouncementConcernsTheEarlierRunOnly(t *testing.T) {
	is := is.New(t)
	table, now := leaving.NewTable(drain), time.Now()
	is.True(!table.Add(announced(7, "x", now), entry(8, "x", 6)))
	is.True(!table.Add(announced(0, "x", now), entry(0, "y", 6)))
	is.Equal(table.State(entry(8, "x", 6), now), fleet.Staying)
	is.True(table.Add(announced(9, "x", now), entry(8, "x", 6))) // heard by a gateway that knows the new start already
	is.True(!table.Add(announced(8, "x", now), entry(8, "x", 6)))
	is.Equal(table.State(entry(8, "x", 6), now), fleet.Leaving)
	is.Equal(table.State(entry(9, "x", 7), now), fleet.Leaving)
	is.Equal(table.State(entry(10, "x", 8), now), fleet.Staying)
}

// Guards against drain times that begin again with each answer or message, and against ended ones that nobody notices.
func TestDrainTimeCountsFromTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	table, now := leaving.NewTable(drain), time.Now()
	table.Add(announced(7, "x", now), nil)
	is.True(!table.Add(announced(7, "x", now.Add(time.Second)), nil))
	is.True(!table.TakeEnded(now.Add(drain)))
	is.True(table.TakeEnded(now.Add(drain + 1)))
	is.True(!table.TakeEnded(now.Add(drain + 1)))
	table.Add(announced(7, "x", now.Add(-drain)), nil) // another gateway heard it before
	is.Equal(table.State(entry(7, "x", 5), now.Add(1)), fleet.Left)
}

func TestTableIsBoundedAndHashTellsDifferences(t *testing.T) {
	is := is.New(t)
	a, b, now := leaving.NewTable(drain), leaving.NewTable(drain), time.Now()
	for i := range 2100 {
		a.Add(leaving.Announcement{Server: fmt.Sprint(i), Born: 1, At: now.Add(time.Duration(i))}, nil)
	}
	is.Equal(a.Len(), 2000)
	is.Equal(a.State(&fleet.BackendServer{ID: "2099", Born: 1}, now), fleet.Leaving)
	is.True(a.Hash() != b.Hash())
	for _, announcement := range a.All() {
		announcement.At = now.Add(time.Hour)
		b.Add(announcement, nil)
	}
	is.Equal(a.Hash(), b.Hash())
}
