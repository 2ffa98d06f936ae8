package ports_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
)

// next returns the next event, or false if the watch has ended.
func next(t *testing.T, events <-chan ports.WatchEvent) (ports.WatchEvent, bool) {
	t.Helper()
	select {
	case e, ok := <-events:
		return e, ok
	case <-time.After(20 * time.Second):
		t.Fatal("no event within 20 seconds")
		return ports.WatchEvent{}, false
	}
}

func TestWatchSendsChangesInOrderAndResumes(t *testing.T) {
	is := is.New(t)
	server := startKV(t, kv.Options{})
	client := newClient(t, server.Address())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(client.Put(ctx, "config/old", []byte("0"), 0))
	_, revision, err := client.ListAt(ctx, "config/", 0, false)
	is.NoErr(err)
	events, err := client.Watch(ctx, "config/", revision)
	is.NoErr(err)
	is.NoErr(client.Put(ctx, "other", []byte("x"), 0))
	is.NoErr(client.Put(ctx, "config/head", []byte("1"), 0))
	is.NoErr(client.Delete(ctx, "config/old"))
	event, _ := next(t, events)
	is.Equal(event.Key, "config/head")
	is.Equal(string(event.Value), "1")
	event, _ = next(t, events)
	is.Equal(event.Key, "config/old")
	is.True(event.Deleted)

	server.SetFaults(kv.Faults{OutageMS: 60000})
	_, open := next(t, events)
	is.True(!open) // an outage ends the watch
	server.SetFaults(kv.Faults{})
	is.NoErr(client.Put(ctx, "config/head", []byte("2"), 0)) // while there is no watch
	events, err = client.Watch(ctx, "config/", event.Revision)
	is.NoErr(err)
	event, _ = next(t, events)
	is.Equal(string(event.Value), "2")

	cancel()
	_, open = next(t, events)
	is.True(!open)
	eventually(t, "the service sees the watch end", func() bool {
		_ = client.Put(context.Background(), "config/wake", nil, 0)
		return server.Stats().Watches == 0
	})
	is.Equal(server.Stats().Calls["watch"], int64(2))
}

func TestWatchFromACompactedRevisionSendsTheCurrentKeys(t *testing.T) {
	is := is.New(t)
	server := startKV(t, kv.Options{HistoryLimit: 10})
	client := newClient(t, server.Address())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 50 {
		is.NoErr(client.Put(ctx, fmt.Sprintf("config/%d", i%3), fmt.Appendf(nil, "%d", i), 0))
	}
	events, err := client.Watch(ctx, "config/", 1)
	is.NoErr(err)
	for _, want := range []string{"48", "49", "47"} { // in key order
		event, _ := next(t, events)
		is.Equal(string(event.Value), want)
	}
	is.NoErr(client.Put(ctx, "config/0", []byte("new"), 0))
	event, _ := next(t, events)
	is.Equal(string(event.Value), "new")
}

func TestSilentWatchEnds(t *testing.T) {
	is := is.New(t)
	server := startKV(t, kv.Options{ProgressInterval: time.Hour})
	client, err := ports.NewKV([]string{server.Address()}, ports.KVOptions{WatchIdle: 50 * time.Millisecond})
	is.NoErr(err)
	events, err := client.Watch(context.Background(), "config/", 0)
	is.NoErr(err)
	_, open := next(t, events)
	is.True(!open)
}

func TestWatchSkipsSilentEndpoint(t *testing.T) {
	is := is.New(t)
	silent, live := startKV(t, kv.Options{}), startKV(t, kv.Options{})
	silent.SetFaults(kv.Faults{OutageMS: 60000, OutageMode: kv.OutageHang})
	client, err := ports.NewKV([]string{silent.Address(), live.Address()}, ports.KVOptions{
		RequestTimeout: 100 * time.Millisecond, WatchIdle: time.Hour, Metrics: metrics.NewSet(),
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events, err := client.Watch(ctx, "config/", 0)
	is.NoErr(err)
	is.NoErr(client.Put(ctx, "config/head", []byte("1"), 0)) // sent to the endpoint that answered last
	event, _ := next(t, events)
	is.Equal(string(event.Value), "1")
}
