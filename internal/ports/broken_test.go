package ports_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// Guards against a value, a write or a list of members that is taken from an answer which is none. Watches and the weight store are read
// by the same client; its own tests play every way of reading.
func TestBrokenAnswerOfThePlatformIsNone(t *testing.T) {
	const body = `{"header":{"revision":"9"},"succeeded":true,"kvs":[{"key":"aw==","value":"dg==","mod_revision":"9"}],` +
		`"members":[{"id":"m","kind":"entry","address":"a:1","state":"active"}]}`
	var answer rawanswers.Answer
	address := rawanswers.Serve(t, func() string { return answer.Bytes("Connection: close\r\n", body) })
	kv, err := ports.NewKV([]string{address}, ports.KVOptions{Metrics: metrics.NewSet()})
	if err != nil {
		t.Fatal(err)
	}
	list := ports.NewMembership(address, slog.New(slog.DiscardHandler))
	for _, answer = range append(rawanswers.Broken(), rawanswers.Valid[0]) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			isBroken := answer.Reason != ""
			_, err := kv.Get(context.Background(), "k")
			is.Equal(err != nil, isBroken)
			_, written, err := kv.CompareAndSwap(context.Background(), "k", []byte("v"), 0, 0)
			is.Equal(err != nil, isBroken)
			is.Equal(written, !isBroken)
			is.Equal(errors.Is(err, ports.ErrAmbiguous), isBroken) // It may have taken effect.
			members, err := list.Members(context.Background())
			is.Equal(err != nil, isBroken)
			is.True(!isBroken || len(members) == 0)
		})
	}
}
