package transcript_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transcript"
)

const below = "t/"

// service is an in-memory key-value service.
type service struct {
	mu     sync.Mutex
	values map[string][]byte // Guarded by mu.
	away   bool              // Guarded by mu. Writes fail.
	block  chan struct{}     // Writes wait until it is closed; nil if they do not wait.
}

var errAway = errors.New("away")

// Put implements transcript.Putter.
func (s *service) Put(_ context.Context, key string, value []byte) error {
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	s.values[key] = value
	return nil
}

func (s *service) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *service) items(stream string) []ports.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ports.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if strings.HasPrefix(key, transcript.Prefix(below, "", stream)) {
			out = append(out, ports.KeyValue{Key: key, Value: s.values[key]})
		}
	}
	return out
}

// server is a request that serves a stream, with the events that its server still sends.
type server struct {
	id     string
	writer *transcript.Writer
	next   int // Number of the next event.
}

const lastEvent = 8

// send adds the next event of the server, and reports whether it is stored.
func (r *server) send(ctx context.Context) (event transcript.Event, stored bool) {
	event = transcript.Event{ID: fmt.Sprint(r.next), Data: fmt.Appendf(nil, "%s-%d", r.id, r.next)}
	r.next++
	return event, r.writer.Await(ctx, r.writer.Add(event)) == nil
}

func begin(s *service, id, after string) *server {
	r := &server{id: id, next: 1}
	if after != "" {
		_, _ = fmt.Sscan(after, &r.next)
		r.next++
	}
	r.writer = transcript.NewWriter(context.Background(), s, below, transcript.Request{Stream: "r0", ID: id, After: after})
	return r
}

// A caller takes its stream up again and again, while requests that it has left still store events and the service is away at times. What
// it has is found exactly, or not at all.
func TestEventsThatTheCallerHasAreFoundOrRefused(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := &service{values: make(map[string][]byte)}
		var has []transcript.Event
		var left []*server // Requests that the caller has left.
		unstored, tied := false, false
		starts := make(map[string]bool)
		current := begin(s, "r0", "")
		for n := 1; n < 6; n++ {
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				s.setAway(rapid.IntRange(0, 9).Draw(t, "away") == 0)
				event, stored := current.send(ctx)
				if current.id == "r0" || stored { // Take-ups deliver only what is stored.
					has = append(has, event)
					unstored = unstored || !stored
				}
				if !stored && current.id != "r0" {
					break
				}
			}
			s.setAway(false)
			left = append(left, current)
			for range rapid.IntRange(0, 4).Draw(t, "left behind") {
				rapid.SampledFrom(left).Draw(t, "request").send(ctx)
			}
			if len(has) == 0 || len(has) >= lastEvent {
				return
			}
			after := has[len(has)-1].ID
			taker := transcript.Request{Stream: "r0", ID: fmt.Sprintf("r%d", n), After: after}
			found, err := transcript.Assemble(s.items("r0"), taker, time.Now())
			if err != nil {
				if !errors.Is(err, transcript.ErrIncomplete) || !unstored && !tied {
					t.Fatalf("%v; the caller has %s", err, has)
				}
				return // The caller begins anew.
			}
			if !slices.EqualFunc(found, has, func(a, b transcript.Event) bool { return a.ID == b.ID && string(a.Data) == string(b.Data) }) {
				t.Fatalf("found %s, the caller has %s", found, has)
			}
			tied = tied || starts[after]
			starts[after] = true
			current = begin(s, taker.ID, after)
			if err := current.writer.Start(ctx); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// stored returns what is stored after a sequence of requests, each given as ID, event after which it starts, and its number of events.
func stored(t *testing.T, requests ...string) *service {
	t.Helper()
	s := &service{values: make(map[string][]byte)}
	for _, r := range requests {
		var id, after string
		var events int
		if _, err := fmt.Sscan(r, &id, &after, &events); err != nil {
			t.Fatal(err)
		}
		server := begin(s, id, strings.Trim(after, "-"))
		if after != "-" && server.writer.Start(t.Context()) != nil {
			t.Fatal("not started")
		}
		for range events {
			server.send(t.Context())
		}
	}
	return s
}

// Guards against a history that is guessed.
func TestUncertainEventsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		requests []string
		drop     string // Part of a key that is not stored.
		after    string
		want     string // Requests that the events come from; empty if they are not certain.
	}{
		"whole":                                  {requests: []string{"r0 - 4"}, after: "4", want: "r0 r0 r0 r0"},
		"left behind":                            {requests: []string{"r0 - 8"}, after: "4", want: "r0 r0 r0 r0"},
		"taken up":                               {requests: []string{"r0 - 8", "r1 2 2"}, after: "4", want: "r0 r0 r1 r1"},
		"taken up in vain":                       {requests: []string{"r0 - 2", "r1 2 0", "r2 2 2"}, after: "4", want: "r0 r0 r2 r2"},
		"last event missing":                     {requests: []string{"r0 - 3"}, after: "4"},
		"left behind beyond a take-up":           {requests: []string{"r0 - 8", "r1 2 1"}, after: "4"},
		"two take-ups with the last event":       {requests: []string{"r0 - 2", "r1 2 2", "r2 2 2"}, after: "4"},
		"nothing":                                {after: "4"},
		"start missing":                          {requests: []string{"r0 - 4"}, drop: "/000000", after: "4"},
		"part missing":                           {requests: []string{"r0 - 4"}, drop: "/000001", after: "4"},
		"start of a take-up missing":             {requests: []string{"r0 - 8", "r1 2 2"}, drop: "/000000", after: "4"},
		"another request under the stream's id":  {requests: []string{"r1 - 4"}, after: "4"},
		"id of the take-up used before":          {requests: []string{"r0 - 4", "taker 2 2"}, after: "4"},
		"take-up of the first request by itself": {requests: []string{"r0 - 4", "r0 2 2"}, after: "4"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			items := slices.DeleteFunc(stored(t, c.requests...).items("r0"), func(i ports.KeyValue) bool {
				return c.drop != "" && strings.HasSuffix(i.Key, c.drop)
			})
			taker := transcript.Request{Stream: "r0", ID: "taker", After: c.after}
			events, err := transcript.Assemble(items, taker, time.Now())
			is.Equal(errors.Is(err, transcript.ErrIncomplete), c.want == "")
			var from []string
			for i, e := range events {
				id, number, _ := strings.Cut(string(e.Data), "-")
				is.Equal(number, fmt.Sprint(i+1))
				from = append(from, id)
			}
			is.Equal(strings.Join(from, " "), c.want)
			_, err = transcript.Assemble(items, taker, time.Now().Add(transcript.Retention+time.Second))
			is.True(errors.Is(err, transcript.ErrIncomplete)) // parts may have been removed
			taker.Organisation = "other"
			_, err = transcript.Assemble(items, taker, time.Now())
			is.True(errors.Is(err, transcript.ErrIncomplete))
		})
	}
}

// Guards against a write for each event, and against events that pile up while the service is away.
func TestEventsGatherWhileOneWriteIsUnderWay(t *testing.T) {
	is := is.New(t)
	s := &service{values: make(map[string][]byte), block: make(chan struct{})}
	r := begin(s, "r0", "")
	w := r.writer
	number := 0
	for n := range 7 {
		number = w.Add(transcript.Event{ID: fmt.Sprint(n + 1), Data: []byte("x")})
	}
	limited, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(errors.Is(w.Await(limited, 1), context.DeadlineExceeded))
	close(s.block)
	is.NoErr(w.Await(t.Context(), number))
	is.Equal(len(s.items("r0")), 2)

	s.block = make(chan struct{})
	for range 80 {
		number = w.Add(transcript.Event{ID: "x", Data: make([]byte, 1<<10)})
	}
	is.True(w.Await(t.Context(), number) != nil)
	close(s.block)
	is.True(w.Flush(t.Context()) != nil)
	is.Equal(w.Add(transcript.Event{}), number+1) // later events are not kept
	is.Equal(len(s.items("r0")), 3)
}
