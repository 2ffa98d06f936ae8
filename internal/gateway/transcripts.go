package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transcript"
)

// transcripts stores the events of turns that may be taken up at another gateway, and finds them there.
type transcripts struct {
	access *storeAccess
	log    *slog.Logger
	ctx    context.Context // Ends with the process.

	writing sync.WaitGroup // Turns with events that are not stored yet.

	mu   sync.Mutex
	keys []writtenKey // Guarded by mu. Of parts that this process wrote, or has been asked to write, the oldest first.
}

// writtenKey is the key of a part.
type writtenKey struct {
	key string
	at  time.Time
}

func newTranscripts(ctx context.Context, access *storeAccess, log *slog.Logger) *transcripts {
	return &transcripts{access: access, log: log, ctx: ctx}
}

// Put implements transcript.Putter.
func (t *transcripts) Put(ctx context.Context, key string, value []byte) error {
	t.learn(key)
	return t.access.Put(ctx, key, value)
}

// learn records that a key is written, if it is that of a part.
func (t *transcripts) learn(key string) {
	if !strings.HasPrefix(key, transcriptPrefix) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, writtenKey{key: key, at: time.Now()})
}

// expire returns the keys of parts that no take-up uses any more, and forgets them.
func (t *transcripts) expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, _ := slices.BinarySearchFunc(t.keys, now.Add(-retentionFactor*transcript.Retention), func(k writtenKey, at time.Time) int { return k.at.Compare(at) })
	expired := make([]string, n)
	for i, k := range t.keys[:n] {
		expired[i] = k.key
	}
	t.keys = slices.Delete(t.keys, 0, n)
	return expired
}

// find returns the events that the caller of a request has when it takes a stream up. transcript.ErrIncomplete means that they are not all
// stored after announceTime. While the key-value service does not answer, it is asked again until the deadline.
func (t *transcripts) find(ctx context.Context, taker transcript.Request, deadline time.Time) ([]transcript.Event, error) {
	prefix := transcript.Prefix(transcriptPrefix, taker.Organisation, taker.Stream)
	incompleteAt := time.Now().Add(announceTime)
	for {
		var page ports.Page
		err := t.access.retryDuringOutage(ctx, deadline, func() (err error) {
			page, err = ports.ReadAll(ctx, t.access, prefix, ports.Linearizable)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("read events of the stream of call %q: %w", taker.Stream, err)
		}
		events, err := transcript.Assemble(page.Items, taker, time.Now())
		if err == nil || ctx.Err() != nil || !time.Now().Before(incompleteAt) {
			return events, err
		}
		pause.For(ctx, announcePollInterval)
	}
}

// flush waits until the events of all turns so far are stored, for at most flushTimeout, or until ctx ends.
func (t *transcripts) flush(ctx context.Context) { awaitGroup(ctx, &t.writing, flushTimeout) }

// isRecorded reports whether the turn's events are stored while it runs, so that a gateway that takes the turn up knows them.
func (s *stream) isRecorded() bool { return s.route.Stateful && s.route.Resumable }

// startTranscript begins to record the turn. If the call takes the turn up, it finds the events that the caller has, which become
// the beginning of the turn's output. It refuses the call if they are not all known: the next turn would run on a history with a hole.
func (s *stream) startTranscript(ctx context.Context) error {
	if s.route.Stateful && !s.route.Resumable && s.call.LastEvent != "" {
		return api.Errorf(api.CodeStreamUnknown, "turns of this route cannot be taken up")
	}
	if !s.isRecorded() {
		return nil
	}
	request := transcript.Request{Organisation: s.organisationName(), Stream: s.call.ID, ID: s.call.ID}
	if s.call.LastEvent != "" {
		request.Stream, request.After = s.call.Resumes, s.call.LastEvent
	}
	s.transcript = transcript.NewWriter(s.g.transcripts.ctx, s.g.transcripts, transcriptPrefix, request)
	if request.After == "" {
		return nil
	}
	events, err := s.g.transcripts.find(ctx, request, s.storeWaitDeadline())
	if errors.Is(err, transcript.ErrIncomplete) {
		return api.Errorf(api.CodeStreamUnknown, "%v", err)
	} else if err != nil {
		return storeError(ctx, err)
	}
	for _, e := range events {
		if err := s.buffers.TakeRequest(int64(len(e.Data)) + 1); err != nil {
			return api.Errorf(api.CodeOverloaded, "%v", err)
		}
		s.addText(e.Data)
	}
	limited, cancel := context.WithDeadline(ctx, s.storeWaitDeadline())
	defer cancel()
	if err := s.transcript.Start(limited); err != nil {
		return storeError(ctx, fmt.Errorf("the take-up cannot be recorded: %w", err))
	}
	s.g.log.Info("turn taken up", "request", s.call.ID, "resumes", s.call.Resumes, "last_event", s.call.LastEvent, "events", len(events))
	return nil
}

// endTranscript lets the events that are not stored yet be stored in the background: the caller may take the turn up at once.
func (s *stream) endTranscript() {
	if s.transcript == nil {
		return
	}
	t := s.g.transcripts
	t.writing.Add(1)
	go func() {
		defer t.writing.Done()
		if err := s.transcript.Flush(t.ctx); err != nil && t.ctx.Err() == nil {
			t.log.Warn("events of turn not stored", "request", s.call.ID, "error", err)
		}
	}()
}

const (
	// recordPatience is how long an event of a turn may wait until it is stored. While the key-value service is slow or away, streams go on
	// without it.
	recordPatience = 80 * time.Millisecond
	// recordQueue limits the events that are read from the server while earlier ones wait.
	recordQueue = 16
)

// recordedEvents reads the events of a turn from its server and returns them once they are stored.
type recordedEvents struct {
	stream  *stream
	server  *fleet.BackendServer
	source  func() ([]byte, error)
	ctx     context.Context
	queue   chan recordedEvent
	done    chan struct{}
	ended   atomic.Bool  // The error of the source was returned.
	arrived atomic.Int64 // When the event that next returned last had arrived, in Unix nanoseconds.
}

// recordedEvent is an event that waits, or the error after the last one.
type recordedEvent struct {
	data    []byte
	number  int // Number of the event in the transcript.
	arrived time.Time
	err     error
}

// record begins to read the server's events from the source, which must fail when ctx ends.
func (s *stream) record(ctx context.Context, server *fleet.BackendServer, source func() ([]byte, error)) *recordedEvents {
	r := &recordedEvents{
		stream: s, server: server, source: source, ctx: ctx, queue: make(chan recordedEvent, recordQueue), done: make(chan struct{}),
	}
	go r.read()
	return r
}

// read reads the source to its end.
func (r *recordedEvents) read() {
	defer close(r.done)
	for {
		var next recordedEvent
		if panicked := guard.Run(r.stream.g.log, "events of turn", func() { next = r.readOne() }); panicked != nil {
			next = recordedEvent{err: panicked}
		}
		select {
		case r.queue <- next:
		case <-r.ctx.Done():
			return
		}
		if next.err != nil {
			return
		}
	}
}

// readOne reads one event and adds it to the transcript. The origin of the stream, which a take-up needs as well, is on its way before.
func (r *recordedEvents) readOne() recordedEvent {
	event, err := r.source()
	if err != nil {
		return recordedEvent{err: err}
	}
	if err := r.stream.buffers.Take(int64(len(event))); err != nil {
		return recordedEvent{err: err}
	}
	r.stream.recordOrigin(r.server)
	data := slices.Clone(event)
	id, text := r.stream.g.codec.DecodeEvent(data)
	return recordedEvent{data: data, number: r.stream.transcript.Add(transcript.Event{ID: id, Data: text}), arrived: time.Now()}
}

// next returns the next event when it is stored. In a turn that its caller has begun, an event that is not stored in time is returned
// all the same: if the caller takes the turn up after it, it is refused. A take-up never goes beyond what is stored, so that the parts tell
// which of several requests delivered an event.
func (r *recordedEvents) next() ([]byte, error) {
	var e recordedEvent
	select {
	case e = <-r.queue:
	case <-r.ctx.Done():
		return nil, r.ctx.Err()
	}
	if e.err != nil {
		r.ended.Store(true)
		return nil, e.err
	}
	defer r.stream.buffers.Give(int64(len(e.data)))
	r.arrived.Store(e.arrived.UnixNano())
	ctx, cancel := r.ctx, func() {}
	if r.stream.call.LastEvent == "" {
		ctx, cancel = context.WithDeadline(ctx, e.arrived.Add(recordPatience))
	}
	defer cancel()
	if err := r.stream.transcript.Await(ctx, e.number); err != nil && r.stream.call.LastEvent != "" {
		return nil, fmt.Errorf("event not stored: %w", err)
	}
	return e.data, nil
}

// close ends the reading. abort must make a read of the source fail. It is not called if the source has ended: its connection may be kept.
func (r *recordedEvents) close(abort func()) {
	if !r.ended.Load() {
		abort()
	}
	<-r.done
}

// eventSource is where the events of an answer come from.
type eventSource struct {
	*buffers.ReadAhead
	recorded *recordedEvents // Nil if the turn is not recorded.
}

// Close ends the reading of events. abort must make a read that waits fail.
func (e eventSource) Close(abort func()) {
	e.ReadAhead.Close(abort)
	if e.recorded != nil {
		e.recorded.close(abort)
	}
}

// arrivedAt returns when the event that was returned last came from the server.
func (e eventSource) arrivedAt() time.Time {
	if e.recorded == nil {
		return time.Now()
	}
	return time.Unix(0, e.recorded.arrived.Load())
}
