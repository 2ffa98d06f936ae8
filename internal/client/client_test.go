package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const testToken = "token-of-the-test"

// testEntry is a server with an entry's operator interface, backed by a simulated key-value service.
type testEntry struct {
	address string
	store   *policy.Store
	tracker *policy.Tracker
}

func startEntry(t *testing.T) testEntry {
	t.Helper()
	is := is.New(t)
	service, err := kv.Start(kv.Options{Listen: "127.0.0.1:0", WritesPerSecond: 1000, ReadsPerSecond: 5000})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(service.Close()) })
	store, err := ports.NewKV([]string{service.Address()}, ports.KVOptions{RequestTimeout: time.Second})
	is.NoErr(err)
	e := testEntry{store: policy.NewStore(store, time.Now)}
	e.tracker = policy.NewTracker(&policy.Config{}, policy.DefaultMaxAge, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.tracker.Follow(ctx, e.store, e.store)
	}()
	handler := &httpapi.Handler{Store: e.store, Tracker: e.tracker, Operators: httpapi.Operators{
		{Name: "nobody", Token: "another-token-here"}, {Name: "planners", Token: testToken},
	}}
	handler.Announce = func() { e.tracker.SetPeers(nil, time.Now()) } // The membership list contains no other entry.
	server, err := transport.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == api.PathConfig {
			httpapi.ServePeer(ctx, e.tracker)
		} else if !handler.Serve(ctx) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}, transport.ServerOptions{})
	is.NoErr(err)
	e.address = server.Address()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = server.Shutdown(context.Background())
	})
	return e
}

func newSubmission(is *is.I, base uint64, key string) httpapi.SubmitRequest {
	config, err := json.Marshal(policy.Default())
	is.NoErr(err)
	return httpapi.SubmitRequest{Config: config, Base: base, Author: "aoife", Reason: "first", IdempotencyKey: key}
}

func resultCode(err error) api.Code { return api.AsError(err, 0).Code }

func TestSubmittedConfigurationComesIntoForce(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(unused.Close())
	c := client.New([]string{unused.Addr().String(), e.address}, testToken) // the first entry is down
	entry, err := c.Submit(t.Context(), newSubmission(is, 0, "key-number-1"))
	is.NoErr(err)
	is.Equal(entry.Revision, uint64(1))
	is.Equal(entry.Author, "planners/aoife") // the name of the token's operator precedes the author
	resubmitted, err := c.Submit(t.Context(), newSubmission(is, 0, "key-number-1"))
	is.NoErr(err)
	is.Equal(resubmitted, entry)
	_, err = c.Submit(t.Context(), newSubmission(is, 0, "key-number-2"))
	is.Equal(resultCode(err), api.CodeConfigConflict)

	snapshot, err := e.tracker.AwaitFresh(t.Context()) // waits until the tracker has the newest revision
	is.NoErr(err)
	is.Equal(snapshot.Entry.Revision, uint64(1))
	current, err := c.Config(t.Context(), 0)
	is.NoErr(err)
	is.Equal(current.InForce, uint64(1))
	is.True(current.Confirmed)
	_, err = policy.Parse(current.Config)
	is.NoErr(err)
	history, err := c.History(t.Context(), 10)
	is.NoErr(err)
	is.Equal(history, []policy.Entry{entry})
	changes, err := c.Diff(t.Context(), 0, 1)
	is.NoErr(err)
	is.True(len(changes) > 0)
	events, err := c.Audit(t.Context(), 10)
	is.NoErr(err)
	is.Equal(events[0].Actor, "planners/aoife")

	fetcher := httpapi.PeerFetcher{Client: transport.NewClient(transport.ClientOptions{}), Addresses: func() []string { return []string{e.address} }}
	fetched, err := fetcher.Fetch(t.Context(), 1)
	is.NoErr(err)
	is.Equal(fetched.Entry, entry)
	_, err = fetcher.Fetch(t.Context(), 2)
	is.Equal(resultCode(err), api.CodeNotFound)
}

func TestOperatorsRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	for _, token := range []string{"", "token-of-the-tesT", "token-of-the-test-and-more"} {
		_, err := client.New([]string{e.address}, token).Config(t.Context(), 0)
		is.Equal(resultCode(err), api.CodeUnauthorized)
	}
	c := client.New([]string{e.address}, testToken)
	bad := newSubmission(is, 0, "key-number-1")
	bad.Config = json.RawMessage(`{"organisations": [{"name": "A"}], "classes": []}`)
	_, err := c.Submit(t.Context(), bad)
	is.Equal(resultCode(err), api.CodeConfigInvalid)
	_, err = c.Config(t.Context(), 9)
	is.Equal(resultCode(err), api.CodeNotFound)
	_, err = c.Audit(t.Context(), -1)
	is.Equal(resultCode(err), api.CodeBadRequest)
	current, err := c.Config(t.Context(), 0)
	is.NoErr(err)
	is.Equal(current.Entry.Revision, uint64(0)) // nothing was accepted
}

func TestSubmissionWithoutAnswerIsUncertain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadAtLeast(conn, make([]byte, 64), 64)
			_ = conn.Close() // The request has arrived; the response is lost.
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = client.New([]string{listener.Addr().String()}, testToken).Submit(ctx, newSubmission(is, 0, "key-number-1"))
	is.Equal(resultCode(err), api.CodeConfigUncertain)

	is.NoErr(listener.Close())
	ctx, cancel = context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = client.New([]string{listener.Addr().String()}, testToken).Submit(ctx, newSubmission(is, 0, "key-number-1"))
	var unreachable *client.UnreachableError
	is.True(errors.As(err, &unreachable)) // no request was sent, so the submission was not accepted
	is.True(unreachable.NotSent)
}
