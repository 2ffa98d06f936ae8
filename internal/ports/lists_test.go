package ports_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/members"
	"github.com/redwinggauge/redwinggauge/internal/standin/weights"
)

func TestMembershipLagsAndOutlivesAnOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	first := ports.Member{ID: "vm-1", Role: ports.RoleEntry, Address: "10.0.0.1:1", FailureDomain: "corcaigh"}
	server, err := members.Start(members.Options{Listen: "127.0.0.1:0", Members: []ports.Member{first}})
	is.NoErr(err)
	defer server.Close()
	client := ports.NewMembership(server.Address())
	_, _, ok := client.Cached()
	is.True(!ok)

	list, err := client.Members(ctx)
	is.NoErr(err)
	is.Equal(list, []ports.Member{first})
	server.SetFaults(members.Faults{LagMS: 50})
	server.MarkLeaving("vm-1")
	list, err = client.Members(ctx)
	is.NoErr(err)
	is.True(!list[0].Leaving)
	eventually(t, "the change appears", func() bool {
		list, err := client.Members(ctx)
		return err == nil && list[0].Leaving
	})
	server.SetFaults(members.Faults{OutageMS: 60000})
	_, err = client.Members(ctx)
	is.True(err != nil)
	time.Sleep(5 * time.Millisecond)
	list, age, ok := client.Cached()
	is.True(ok)
	is.True(list[0].Leaving)
	is.True(age >= 5*time.Millisecond)
}

func TestWeightStoreRefusesBeyondItsRate(t *testing.T) {
	is := is.New(t)
	server, err := weights.Start(weights.Options{Listen: "127.0.0.1:0", FetchesPerSecond: 0.01, Bytes: 7})
	is.NoErr(err)
	defer server.Close()
	store := ports.NewWeightStore(server.Address())
	got, err := store.Fetch(context.Background(), "org/focal lm")
	is.NoErr(err)
	is.Equal(got, ports.Weights{Model: "org/focal lm", Version: "1", Bytes: 7})
	_, err = store.Fetch(context.Background(), "org/focal lm")
	is.True(errors.Is(err, ports.ErrWeightsRateLimited))
	is.Equal(server.Stats(), weights.Stats{Fetches: map[string]int{"org/focal lm": 1}, Refused: 1})
}
