package ports_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
)

// lateApplyDelay is the delay with which the service applies a write under the fault "applied late".
const lateApplyDelay = 30 * time.Millisecond

func startKV(t *testing.T, o kv.Options) *kv.Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	server, err := kv.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func newClient(t *testing.T, endpoints ...string) *ports.EtcdKV {
	t.Helper()
	client, err := ports.NewKV(endpoints, ports.KVOptions{Metrics: metrics.NewSet()})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// eventually waits up to 20 seconds until the condition holds. what describes the condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client := newClient(t, startKV(t, kv.Options{}).Address())

	first, ok, err := client.CompareAndSwap(ctx, "slot", []byte("a"), 0, 0)
	is.NoErr(err)
	is.True(ok)
	current, ok, err := client.CompareAndSwap(ctx, "slot", []byte("b"), 0, 0)
	is.NoErr(err)
	is.True(!ok)
	is.Equal(current, first)
	second, ok, err := client.CompareAndSwap(ctx, "slot", []byte("b"), first.Revision, 0)
	is.NoErr(err)
	is.True(ok)
	is.True(second.Revision > first.Revision)
	got, err := client.Get(ctx, "slot")
	is.NoErr(err)
	is.Equal(got, second)

	is.NoErr(client.Delete(ctx, "slot"))
	current, ok, err = client.CompareAndSwap(ctx, "slot", []byte("c"), second.Revision, 0)
	is.NoErr(err)
	is.True(!ok)
	is.Equal(current.Revision, int64(0)) // a missing key never has the expected revision
}

func TestListAndDeleteManyKeys(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client := newClient(t, startKV(t, kv.Options{}).Address())
	var keys []string
	for i := range 300 {
		keys = append(keys, fmt.Sprintf("ring/%03d", i))
		is.NoErr(client.Put(ctx, keys[i], []byte("v"), 0))
	}
	is.NoErr(client.Put(ctx, "rings", []byte("other"), 0))
	found, err := client.List(ctx, "ring/", 0, true)
	is.NoErr(err)
	is.Equal(len(found), 300)
	is.Equal(found[299].Key, "ring/299")
	is.Equal(len(found[0].Value), 0)
	found, err = client.List(ctx, "ring/", 5, false)
	is.NoErr(err)
	is.Equal(len(found), 5)
	is.NoErr(client.Delete(ctx, keys...))
	found, err = client.List(ctx, "", 0, true)
	is.NoErr(err)
	is.Equal(len(found), 1)
}

// TestWriteErrorsReportWhetherWriteIsAmbiguous checks for each fault of the service that a write reported as without effect
// has none, now or later, and that any other failed write is reported as ambiguous.
func TestWriteErrorsReportWhetherWriteIsAmbiguous(t *testing.T) {
	server := startKV(t, kv.Options{})
	client := newClient(t, server.Address())
	ctx := context.Background()
	faults := map[string]kv.Faults{
		"none":          {},
		"answer lost":   {LoseAnswers: 1},
		"request lost":  {LoseBeforeEffect: 1},
		"applied late":  {LateApplies: 1, LateApplyMS: lateApplyDelay.Milliseconds()},
		"outage":        {OutageMS: 60000, OutageMode: kv.OutageClose},
		"refusal":       {OutageMS: 60000, OutageMode: kv.OutageRefuse},
		"frozen answer": {DelayMS: 20, LoseAnswers: 1},
	}
	names := []string{"none", "answer lost", "request lost", "applied late", "outage", "refusal", "frozen answer"}
	run := 0
	rapid.Check(t, func(r *rapid.T) {
		run++
		key := fmt.Sprintf("key/%d", run)
		before, _, err := client.CompareAndSwap(ctx, key, []byte("before"), 0, 0)
		if err != nil {
			r.Fatal(err)
		}
		name := rapid.SampledFrom(names).Draw(r, "fault")
		server.SetFaults(faults[name])
		_, ok, err := client.CompareAndSwap(ctx, key, []byte("after"), before.Revision, 0)
		server.SetFaults(kv.Faults{})
		if name == "applied late" {
			time.Sleep(2 * lateApplyDelay)
		}
		current, getErr := client.Get(ctx, key)
		if getErr != nil {
			r.Fatal(getErr)
		}
		changed := string(current.Value) == "after"
		ambiguous := errors.Is(err, ports.ErrAmbiguous)
		unavailable := errors.Is(err, ports.ErrUnavailable)
		switch {
		case err == nil && (!ok || !changed):
			r.Fatalf("%s: the write is reported as done, but the key holds %q", name, current.Value)
		case unavailable && (changed || ambiguous):
			r.Fatalf("%s: reported as without effect, but it changed the key or is also reported as ambiguous: %v", name, err)
		case err != nil && ambiguous == unavailable:
			r.Fatalf("%s: the error is not exactly one of ambiguous and unavailable: %v", name, err)
		case name == "refusal" && !unavailable:
			r.Fatalf("a refusal that proves that the write had no effect gave %v", err)
		case changed && name != "none" && !ambiguous:
			r.Fatalf("%s: the write took effect, but is not reported as ambiguous: %v", name, err)
		}
	})
}

func TestWriteIsSentToOneEndpointOnly(t *testing.T) {
	is := is.New(t)
	a, b := startKV(t, kv.Options{}), startKV(t, kv.Options{})
	a.SetFaults(kv.Faults{LoseAnswers: 1})
	client := newClient(t, a.Address(), b.Address())
	err := client.Put(context.Background(), "key", []byte("v"), 0)
	is.True(errors.Is(err, ports.ErrAmbiguous))
	is.Equal(b.Stats().Calls["put"], int64(0))
}

func TestEndpointThatRefusesConnectionsIsSkipped(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := listener.Addr().String()
	is.NoErr(listener.Close())
	client := newClient(t, closed, startKV(t, kv.Options{}).Address())
	is.NoErr(client.Put(ctx, "key", []byte("v"), 0)) // nothing was sent to the closed endpoint
	got, err := client.Get(ctx, "key")
	is.NoErr(err)
	is.Equal(string(got.Value), "v")
	onlyClosed := newClient(t, closed)
	is.True(errors.Is(onlyClosed.Put(ctx, "key", nil, 0), ports.ErrUnavailable))
}

func TestReadsMoveToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	a, b := startKV(t, kv.Options{}), startKV(t, kv.Options{})
	is.NoErr(newClient(t, b.Address()).Put(context.Background(), "key", []byte("b"), 0))
	a.SetFaults(kv.Faults{OutageMS: 60000})
	got, err := newClient(t, a.Address(), b.Address()).Get(context.Background(), "key")
	is.NoErr(err)
	is.Equal(string(got.Value), "b")
}

func TestRateAndSizeLimits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server := startKV(t, kv.Options{WritesPerSecond: 1, MaxValueBytes: 100})
	client := newClient(t, server.Address())
	is.True(errors.Is(client.Put(ctx, "big", make([]byte, ports.MaxValueBytes+1), 0), ports.ErrTooLarge))
	is.Equal(len(server.Stats().Calls), 0) // not sent at all
	is.True(errors.Is(client.Put(ctx, "big", make([]byte, 101), 0), ports.ErrTooLarge))
	err := client.Put(ctx, "key", []byte("v"), 0)
	is.True(errors.Is(err, ports.ErrUnavailable)) // the rate of one write per second is exceeded
	is.True(!errors.Is(err, ports.ErrAmbiguous))
	got, err := client.Get(ctx, "key")
	is.NoErr(err)
	is.Equal(got.Revision, int64(0))
	is.Equal(server.Stats().Refused, int64(1))
}

func TestLeaseLapses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client := newClient(t, startKV(t, kv.Options{}).Address())
	lease, err := client.Grant(ctx, 1)
	is.NoErr(err)
	is.NoErr(client.Put(ctx, "leased", []byte("v"), lease))
	alive, err := client.Renew(ctx, lease)
	is.NoErr(err)
	is.True(alive)
	eventually(t, "the leased key disappears", func() bool {
		got, err := client.Get(ctx, "leased")
		return err == nil && got.Revision == 0
	})
	alive, err = client.Renew(ctx, lease)
	is.NoErr(err)
	is.True(!alive)
	err = client.Put(ctx, "leased", []byte("v"), lease)
	is.True(errors.Is(err, ports.ErrLeaseExpired))
	is.True(errors.Is(err, ports.ErrUnavailable))
}

func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	server := startKV(t, kv.Options{})
	client, err := ports.NewKV([]string{server.Address()}, ports.KVOptions{Metrics: set})
	is.NoErr(err)
	_, err = client.Get(context.Background(), "key")
	is.NoErr(err)
	var out bytes.Buffer
	set.WritePrometheus(&out)
	is.Equal(out.String(), "redwinggauge_kv_calls_total{kind=\"range\",outcome=\"ok\"} 1\n")
}

func BenchmarkCompareAndSwap(b *testing.B) {
	server, err := kv.Start(kv.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client, err := ports.NewKV([]string{server.Address()}, ports.KVOptions{Metrics: metrics.NewSet()})
	if err != nil {
		b.Fatal(err)
	}
	value := bytes.Repeat([]byte("v"), 4<<10)
	b.ReportAllocs()
	var revision int64
	for b.Loop() {
		kv, ok, err := client.CompareAndSwap(context.Background(), "slot", value, revision, 0)
		if err != nil || !ok {
			b.Fatal(kv, ok, err)
		}
		revision = kv.Revision
	}
}
