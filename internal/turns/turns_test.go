package turns_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/turns"
)

// fakeService is an in-memory key-value service whose stale reads can miss keys.
type fakeService struct {
	items map[string][]byte
	stale map[string]bool // Keys that stale reads miss.
	down  bool            // All calls fail.
	reads int             // Calls of Read.
}

// Put implements turns.Putter.
func (f *fakeService) Put(_ context.Context, key string, value []byte) error {
	if f.down {
		return ports.ErrUnavailable
	}
	f.items[key] = value
	return nil
}

// Read implements turns.Reader.
func (f *fakeService) Read(_ context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error) {
	f.reads++
	if f.down {
		return ports.KeyValue{}, ports.ErrUnavailable
	}
	value, ok := f.items[key]
	if !ok || fresh == ports.Stale && f.stale[key] {
		return ports.KeyValue{Key: key}, nil
	}
	return ports.KeyValue{Key: key, Value: value, Revision: 1}, nil
}

func newLog(f *fakeService) *turns.Log {
	return turns.NewLog(f, f, turns.Options{Prefix: "t/", CacheBytes: 1 << 20})
}

// text returns the concatenated texts of the turns.
func text(chain []*turns.Record) string {
	out := ""
	for _, r := range chain {
		out += string(r.Text)
	}
	return out
}

func TestAnotherProcessReadsChain(t *testing.T) {
	is := is.New(t)
	service := &fakeService{items: make(map[string][]byte), stale: map[string]bool{"t/2": true}}
	writer := newLog(service)
	is.NoErr(writer.Append(t.Context(), &turns.Record{ID: "1", Text: []byte("in1\nout1\n"), Ended: time.Now()}))
	is.NoErr(writer.Append(t.Context(), &turns.Record{ID: "2", Chain: []string{"1"}, Text: []byte("in2\x00out2\n"), Ended: time.Now()}))
	chain, err := newLog(service).Chain(t.Context(), "", "2")
	is.NoErr(err)
	is.Equal(text(chain), "in1\nout1\nin2\x00out2\n")
	before := service.reads
	_, err = writer.Chain(t.Context(), "", "2")
	is.NoErr(err)
	is.Equal(service.reads, before) // its own turns are cached
}

// TestTurnsBelongToAnOrganisation guards against another organisation's turn within a chain, and against another stored format where
// there are no organisations.
func TestTurnsBelongToAnOrganisation(t *testing.T) {
	is := is.New(t)
	service := &fakeService{items: make(map[string][]byte)}
	log := newLog(service)
	is.NoErr(log.Append(t.Context(), &turns.Record{ID: "1", Organisation: "a", Ended: time.UnixMilli(5)}))
	is.NoErr(log.Append(t.Context(), &turns.Record{ID: "2", Organisation: "b", Chain: []string{"1"}, Ended: time.UnixMilli(5)}))
	is.NoErr(log.Append(t.Context(), &turns.Record{ID: "3", Ended: time.UnixMilli(5)}))
	is.Equal(string(service.items["t/3"]), "{\"ended_ms\":5}\n")
	for _, log := range []*turns.Log{log, newLog(service)} {
		_, err := log.Chain(t.Context(), "b", "2")
		is.True(errors.Is(err, turns.ErrUnknown))
	}
}

func TestTurnIsUnknownOnlyIfServiceAnswers(t *testing.T) {
	is := is.New(t)
	service := &fakeService{items: make(map[string][]byte)}
	log := newLog(service)
	_, err := log.Chain(t.Context(), "", "none")
	is.True(errors.Is(err, turns.ErrUnknown))
	service.down = true
	_, err = log.Chain(t.Context(), "", "none")
	is.True(err != nil && !errors.Is(err, turns.ErrUnknown))
	is.True(log.Append(t.Context(), &turns.Record{ID: "x"}) != nil)
	_, cached := log.CachedValue("t/x")
	is.True(!cached) // a turn whose write failed is not cached
}
