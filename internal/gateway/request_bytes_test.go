package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// Guards against a server that gets further large requests although it holds many bytes of them, from this gateway or from others, and
// against bytes that stay counted after their calls have ended. A large request does not change where others go.
func TestLargeRequestsAvoidTheServerWithManyBytes(t *testing.T) {
	is := is.New(t)
	l := newLoads()
	var servers []*fleet.BackendServer
	for i := range 3 {
		servers = append(servers, &fleet.BackendServer{ID: fmt.Sprint(i), Slots: 6, Born: 1})
	}
	service := fleet.Service{Name: "app"}
	large := placeRequest{requestBytes: 1 << 20}
	l.setOtherLoads([]peers.ServerLoad{{Server: "0", Calls: 1, Bytes: 20 << 20}, {Server: "1", Calls: 5}, {Server: "2", Calls: 5}}, nil)
	var tickets []*ticket
	for range 20 {
		p, err := l.place(servers, service, large)
		is.NoErr(err)
		is.True(p.server.ID != "0") // although it has the fewest calls
		p.ticket.end(outcomeServed)
		l.byID[p.server.ID].slowness = 1
	}
	p, err := l.place(servers, service, placeRequest{})
	is.NoErr(err)
	is.Equal(p.server.ID, "0") // a small request goes by load alone
	p.ticket.end(outcomeServed)

	l.setOtherLoads(nil, nil)
	held := make(map[string]int64)
	for range 12 {
		p, err := l.place(servers, service, placeRequest{requestBytes: 1 << 20, allCallsKnown: true})
		is.NoErr(err)
		held[p.server.ID] += 1 << 20
		tickets = append(tickets, p.ticket)
	}
	is.Equal(held, map[string]int64{"0": 4 << 20, "1": 4 << 20, "2": 4 << 20})
	is.Equal(len(l.ownLoads()), 3)
	is.Equal(l.ownLoads()[0].Bytes, int64(4<<20))
	for _, ticket := range tickets {
		ticket.end(outcomeServed)
	}
	for _, s := range servers {
		is.Equal(l.load(s.ID).requestBytes, int64(0))
		is.Equal(l.load(s.ID).ownRequestBytes, int64(0))
	}
}

func TestBytesOfAllGatewaysAreSummed(t *testing.T) {
	is := is.New(t)
	var m memberLoads
	m.set("a", []peers.ServerLoad{{Server: "s", Calls: 1, Bytes: 100}})
	m.set("b", []peers.ServerLoad{{Server: "s", Calls: 1, Bytes: 20}})
	is.Equal(m.total("b", peers.ServerLoad{Server: "s", Calls: 1, Bytes: 3}), []peers.ServerLoad{{Server: "s", Calls: 2, Bytes: 103}})
}
