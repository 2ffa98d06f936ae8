package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	is := is.New(t)
	routes := []fleet.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}
	c := fleet.NewConfig(1, routes, nil, fleet.Limits{})
	is.Equal(c.Match("a.example", "/x/y/z").Name, "long")
	is.Equal(c.Match("A.example:80", "/x/yy").Name, "short")
	is.Equal(c.Match("a.example", "/x"), nil) // a prefix ends with a slash
	is.Equal(c.Match("c.example", "/x/"), nil)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	is.True(d.Configure(fleet.NewConfig(7, nil, nil, fleet.Limits{})))
	is.True(!d.Configure(fleet.NewConfig(6, nil, nil, fleet.Limits{})))
	is.Equal(d.View().Config.Version, int64(7))
}

func server(id string, revision int64) *fleet.BackendServer {
	return &fleet.BackendServer{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1, Revision: revision}
}

func TestOlderServerStateIsIgnored(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Upsert(server("a", 5))
	is.True(!d.Upsert(server("a", 4)))
	is.True(!d.Remove("a", 3, time.Time{}))
	d.Replace(nil, 4, time.Time{}) // a list that is older than the server
	is.Equal(len(d.View().Usable("s")), 1)
	is.True(d.Remove("a", 6, time.Time{}))
	is.Equal(d.View().Len(), 0)
}

func TestServersThatLapsedInOutageStayUntilGraceEnds(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Upsert(server("back", 1))
	d.Upsert(server("gone", 1))
	grace := time.Now().Add(time.Hour)
	is.True(!d.Remove("back", 2, grace))
	_, left := d.Replace(nil, 3, grace)
	is.Equal(len(left), 0)
	is.Equal(len(d.View().Usable("s")), 2)
	is.True(d.Upsert(server("back", 4)))
	is.Equal(d.Expire(grace.Add(time.Second)), []string{"gone"})
	is.True(d.View().Server("back") != nil)
}

func TestDrainingServersGetNoNewCalls(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Upsert(server("a", 1))
	leaving := server("a", 2)
	leaving.Draining = true
	d.Upsert(leaving)
	is.Equal(len(d.View().Usable("s")), 0)
	is.True(d.View().HasAddress("10.0.0.1:1")) // its address is known until its calls have ended
}

// Guards against calls at servers that leave while others stay, and against a service that loses its only server too soon.
func TestLeavingServersAreUsedOnlyWhileTheyAreTheOnlyOnes(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	departures := map[string]fleet.Departure{"a": fleet.Leaving}
	d.SetDepartures(func(s *fleet.BackendServer) fleet.Departure { return departures[s.ID] })
	d.Upsert(server("a", 1))
	is.Equal(len(d.View().Usable("s")), 1)
	d.Upsert(server("b", 1))
	is.Equal(d.View().Usable("s")[0].ID, "b")
	is.Equal(len(d.View().Usable("s")), 1)
	is.True(d.View().Server("a") != nil)
	departures["a"], departures["b"] = fleet.Left, fleet.Left
	d.Refresh()
	is.Equal(len(d.View().Usable("s")), 0)
}

// Guards against a list of servers that have left which grows, and is copied into each view, with every server that comes and goes.
func TestServersThatHaveLeftAreForgottenAtSomeNumber(t *testing.T) {
	is := is.New(t)
	d := fleet.NewDirectory()
	d.Upsert(&fleet.BackendServer{ID: "draining", Service: "s", Revision: 1, Draining: true})
	const count = 4000
	for n := range int64(count) {
		id := fmt.Sprint(n)
		d.Upsert(&fleet.BackendServer{ID: id, Service: "s", Revision: 2*n + 2})
		d.Remove(id, 2*n+3, time.Time{})
	}
	known := 0
	for n := range count {
		if _, ok := d.View().Withdrawal(fmt.Sprint(n)); ok {
			known++
		}
	}
	is.True(known >= 500 && known <= 1001)
	_, ok := d.View().Withdrawal(fmt.Sprint(count - 1))
	is.True(ok) // the newest are kept
	_, ok = d.View().Withdrawal("draining")
	is.True(ok) // as are those in the list
}
