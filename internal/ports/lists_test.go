package ports_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/members"
	"github.com/redwinggauge/redwinggauge/internal/standin/weights"
	"github.com/redwinggauge/redwinggauge/test/output"
)

func TestMembershipLagsAndOutlivesAnOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	first := ports.Member{ID: "vm-1", Role: ports.RoleEntry, Address: "10.0.0.1:1", FailureDomain: "corcaigh"}
	server, err := members.Start(members.Options{Listen: "127.0.0.1:0", Members: []ports.Member{first}})
	is.NoErr(err)
	defer server.Close()
	client := ports.NewMembership(server.Address(), slog.New(slog.DiscardHandler))
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

// Guards against one odd entry of the membership list that hides the others.
func TestOddMemberIsLeftOut(t *testing.T) {
	is := is.New(t)
	const good = `{"id":"vm-1","role":"entry","address":"10.0.0.1:1","failure_domain":"a \\\"],}{","leaving":false}`
	odd := []string{
		"null", "7", `"vm"`, "[]", "{}", `{"id":1}`, `{"id":"vm-2","address":"10.0.0.2:65536"}`, `{"id":"vm-2","address":"10.0.0.2:0"}`,
		`{"id":"vm-2","address":"10.0.0.2:-1"}`, `{"id":"vm-2","address":"10.0.0.2"}`, `{"id":"vm-2","address":":80"}`,
		`{"id":"vm-2","address":"10.0.0.2:1","leaving":"yes"}`, `{"id":"vm-2","address":"10.0.0.2:1","kind":1e999}`,
		`{"id":"vm-2","address":"10.0.0.2:1","more":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "}", "\xff",
	}
	var body atomic.Pointer[string]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, *body.Load()) }))
	defer server.Close()
	var lines output.Buffer
	client := ports.NewMembership(strings.TrimPrefix(server.URL, "http://"), slog.New(slog.NewTextHandler(&lines, nil)))
	for _, entry := range odd {
		text := `{"members": [ ` + good + " , " + entry + `,` + strings.Replace(good, "vm-1", "vm-3", 1) + "]}"
		body.Store(&text)
		for range 2 {
			list, err := client.Members(t.Context())
			is.NoErr(err)
			is.Equal(len(list), 2)
			is.Equal(list[0].FailureDomain, `a \"],}{`)
			is.Equal(list[1].ID, "vm-3")
		}
	}
	is.Equal(strings.Count(lines.String(), "ignored"), len(odd))
	for _, text := range []string{"", "[]", "{}", `{"more":1}`, `{"members":{}}`, `{"members":[` + good, `{"members":["`} {
		body.Store(&text)
		_, err := client.Members(t.Context())
		is.True(err != nil)
	}
	list, _, ok := client.Cached()
	is.True(ok && len(list) == 2)
	for _, text := range []string{`{"members":null}`, `{"revision":{"a":[1]}, "members":[]}`} {
		body.Store(&text)
		list, err := client.Members(t.Context())
		is.NoErr(err)
		is.Equal(len(list), 0)
	}
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
