package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

// openAndReset sends a call and resets its connection after the first bytes of the answer.
func openAndReset(t *testing.T, s *sidecar.Sidecar, req *api.CallRequest) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(req)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s", api.PathCalls, len(body), body)
	if _, err := conn.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// waitForCalls waits until n calls are queued or running in the sidecar.
func waitForCalls(t *testing.T, s *sidecar.Sidecar, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d calls are queued or running", n), func() bool {
		var answer api.ExchangeResponse
		post(t, s, api.PathExchange, api.ExchangeRequest{}, &answer)
		return answer.Load.Running+answer.Load.Queued == n
	})
}

// requireNotDrained fails the test if the drain ends within a second. A drain that does not wait ends much earlier.
func requireNotDrained(t *testing.T, s *sidecar.Sidecar) {
	t.Helper()
	select {
	case <-s.Drained():
		t.Fatal("the drain has ended too early")
	case <-time.After(time.Second):
	}
}

func TestDrainCompletesCalls(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler(pathChat, streamCompletion(gate, "a", "b"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) {
		c.Slots, c.DrainTimeout, c.LingerTimeout = 1, 20*time.Second, 0
	})
	running, _ := openCall(t, s, modelCall("p1/1"))
	defer running.Close()
	queued, _ := openCall(t, s, modelCall("p2/1"))
	defer queued.Close()
	waitForCalls(t, s, 2)
	is.Equal(post(t, s, api.PathDrain, struct{}{}, nil), api.CodeOK)
	is.Equal(runCall(t, s, modelCall("p4/1")).code, api.CodeDraining)
	var answer api.ExchangeResponse
	is.Equal(post(t, s, api.PathExchange, api.ExchangeRequest{}, &answer), api.CodeOK)
	is.True(answer.Load.Draining)
	requireNotDrained(t, s)
	close(gate)
	is.Equal(readToEnd(t, running).text, "ab")
	is.Equal(readToEnd(t, queued).text, "ab")
	<-s.Drained()
}

func TestDrainWaitsForAnAnswerWhoseConnectionBroke(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFakeServer(t)
	f.setHandler("/stamp", func(*requestCtx) { <-release })
	s := startSidecar(t, sidecar.KindService, f.Address(), func(c *sidecar.Settings) { c.LingerTimeout = 20 * time.Second })
	openAndReset(t, s, serviceCall("p1/1", false))
	waitForCalls(t, s, 1)
	is.Equal(post(t, s, api.PathDrain, struct{}{}, nil), api.CodeOK)
	close(release)
	requireNotDrained(t, s)
	is.Equal(runCall(t, s, serviceCall("p1/1", false)).code, api.CodeOK)
	<-s.Drained()
	is.Equal(f.count("/stamp"), 1)
}

func TestDrainIsBoundedAndReportsInterruptedCalls(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	f := newFakeServer(t)
	f.setHandler("/stamp", func(*requestCtx) { <-release })
	s := startSidecar(t, sidecar.KindService, f.Address(), func(c *sidecar.Settings) { c.DrainTimeout = 50 * time.Millisecond })
	stream, _ := openCall(t, s, serviceCall("p1/1", false))
	defer stream.Close()
	waitForCalls(t, s, 1)
	err := s.Shutdown(context.Background())
	is.True(err != nil)
	is.Equal(err.Error(), "drain sidecar s1: 1 calls have not finished within 50ms")
}
