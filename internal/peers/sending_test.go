package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// largeUpdate returns an update with one incompressible value.
func largeUpdate(bytes int) []peers.Update {
	value := make([]byte, bytes)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(value) // It never fails.
	return []peers.Update{{Revision: 7, Events: []ports.WatchEvent{{KeyValue: ports.KeyValue{Key: "config", Value: value, Revision: 7}}}}}
}

// Guards against a hub that outgrows its memory by sending a large change to all followers at the same time.
func TestLargeUpdatesOnTheWayAreLimited(t *testing.T) {
	is := is.New(t)
	limit := peers.NewSendingLimit(8 << 20)
	update := largeUpdate(1 << 20)
	first, ok := limit.Reserve(t.Context(), update)
	is.True(ok)
	_, ok = limit.Reserve(t.Context(), update)
	is.True(!ok) // the first is being encoded
	_, ok = limit.Reserve(t.Context(), largeUpdate(1<<10))
	is.True(ok) // small updates always pass
	first.Encoded(100 << 10)
	second, ok := limit.Reserve(t.Context(), update)
	is.True(ok)
	second.Encoded(100 << 10)
	first.Sent()
	second.Sent()
	huge, ok := limit.Reserve(t.Context(), largeUpdate(16<<20)) // An update beyond the limit is sent alone.
	is.True(ok)
	_, ok = limit.Reserve(t.Context(), update)
	is.True(!ok)
	huge.Sent()
}

// updateService answers each report by a large update, if it may be sent.
type updateService struct {
	peers.Service
	limit  *peers.SendingLimit
	update []peers.Update
}

func (s updateService) Report(ctx context.Context, _ peers.Report) peers.Digest {
	sending, ok := s.limit.Reserve(ctx, s.update)
	if !ok {
		return peers.Digest{}
	}
	return peers.Digest{Updates: s.update, Sending: sending}
}

// Guards against followers that stand still and keep the hub's memory for updates which they do not read.
func TestFollowersThatStandStillDoNotKeepOthersFromUpdates(t *testing.T) {
	is := is.New(t)
	service := updateService{limit: peers.NewSendingLimit(16 << 20), update: largeUpdate(2 << 20)}
	server, err := peers.Listen("127.0.0.1:0", service, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	defer func() { _ = server.Shutdown(ctx) }()
	for range 8 { // Each takes a part of the limit, and reads nothing.
		conn, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
		body := `{"from":{"id":"still"}}`
		_, err = fmt.Fprintf(conn, "POST /peers/report HTTP/1.1\r\nHost: hub\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		is.NoErr(err)
	}
	client := peers.NewClient(nil)
	got := 0
	for ctx.Err() == nil && got < 20 {
		digest, err := client.Report(ctx, peers.Member{Address: server.Address()}, peers.Report{}, 250*time.Millisecond)
		if err == nil && len(digest.Updates) == 1 && strings.HasPrefix(digest.Updates[0].Events[0].Key, "config") {
			got++
		}
	}
	is.Equal(got, 20)
}
