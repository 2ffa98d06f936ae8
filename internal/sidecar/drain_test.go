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

// openAndReset sends a call and resets its connection once it is taken.
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

// taken waits until the sidecar has taken n calls.
func taken(t *testing.T, s *sidecar.Sidecar, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d calls are taken", n), func() bool {
		var answer api.ExchangeResponse
		post(t, s, api.PathExchange, api.ExchangeRequest{}, &answer)
		return answer.Load.Running+answer.Load.Queued == n
	})
}

// staysOpen fails when the drain ends although it must not; a drain that would end does so well within the pause.
func staysOpen(t *testing.T, s *sidecar.Sidecar) {
	t.Helper()
	select {
	case <-s.Drained():
		t.Fatal("the drain has ended too early")
	case <-time.After(time.Second):
	}
}

func TestDrainCutsNothing(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := newFake(t)
	f.on(pathChat, answerWith(gate, "a", "b"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), func(c *sidecar.Settings) {
		c.Slots, c.DrainTimeout, c.LingerTimeout = 1, 20*time.Second, 0
	})
	running, _ := open(t, s, modelCall("p1/1"))
	defer running.Close()
	queued, _ := open(t, s, modelCall("p2/1"))
	defer queued.Close()
	taken(t, s, 2)
	is.Equal(post(t, s, api.PathDrain, struct{}{}, nil), api.CodeOK)
	is.Equal(call(t, s, modelCall("p4/1")).code, api.CodeDraining)
	var answer api.ExchangeResponse
	is.Equal(post(t, s, api.PathExchange, api.ExchangeRequest{}, &answer), api.CodeOK)
	is.True(answer.Load.Draining)
	staysOpen(t, s)
	close(gate)
	is.Equal(finish(t, running).text, "ab")
	is.Equal(finish(t, queued).text, "ab")
	<-s.Drained()
}

func TestDrainWaitsForAnAnswerWhoseConnectionBroke(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFake(t)
	f.on("/stamp", func(*requestCtx) { <-release })
	s := startSidecar(t, sidecar.KindService, f.Address(), func(c *sidecar.Settings) { c.LingerTimeout = 20 * time.Second })
	openAndReset(t, s, serviceCall("p1/1", false))
	taken(t, s, 1)
	is.Equal(post(t, s, api.PathDrain, struct{}{}, nil), api.CodeOK)
	close(release)
	staysOpen(t, s)
	is.Equal(call(t, s, serviceCall("p1/1", false)).code, api.CodeOK)
	<-s.Drained()
	is.Equal(f.count("/stamp"), 1)
}

func TestDrainIsBoundedAndSaysWhatItCut(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	f := newFake(t)
	f.on("/stamp", func(*requestCtx) { <-release })
	s := startSidecar(t, sidecar.KindService, f.Address(), func(c *sidecar.Settings) { c.DrainTimeout = 50 * time.Millisecond })
	stream, _ := open(t, s, serviceCall("p1/1", false))
	defer stream.Close()
	taken(t, s, 1)
	err := s.Shutdown(context.Background())
	is.True(err != nil)
	is.Equal(err.Error(), "drain sidecar s1: 1 calls have not finished within 50ms")
}
