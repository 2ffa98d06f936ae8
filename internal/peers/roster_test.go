package peers_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// Guards against a hub whose traffic grows with the square of the number of gateways: a roster is sent only when it changes.
func TestRosterIsSentOnlyWhenItChanges(t *testing.T) {
	is := is.New(t)
	var members []peers.Member
	for i := range 300 {
		members = append(members, peers.Member{ID: fmt.Sprint("m", i), Incarnation: "a", Capacity: 0.8, StoreFresh: true})
	}
	var known peers.Roster
	exchange := func() int {
		var d peers.Digest
		d.SetRoster(members, peers.Report{Roster: known.Hash()})
		sent := len(d.Members)
		got := slices.Clone(known.Update(d))
		is.Equal(peers.RosterHash(got), peers.RosterHash(members))
		return sent
	}
	is.Equal(exchange(), 300)
	is.Equal(exchange(), 0)
	slices.Reverse(members)
	is.Equal(exchange(), 0) // the order does not matter
	for _, change := range []func(*peers.Member){
		func(m *peers.Member) { m.StoreFresh = false },
		func(m *peers.Member) { m.Leaving = true },
		func(m *peers.Member) { m.Incarnation = "b" },
		func(m *peers.Member) { m.Address = "x:1" },
		func(m *peers.Member) { m.StartMS++ },
	} {
		change(&members[7])
		is.Equal(exchange(), 300)
		is.Equal(exchange(), 0)
	}
	members = members[1:]
	is.Equal(exchange(), 299)
}
