package ports

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// compactedError reports that the service has compacted the history at the requested revision, so a watch cannot start there.
type compactedError struct{ revision int64 }

// Error implements error.
func (e *compactedError) Error() string {
	return fmt.Sprintf("the history before revision %d is compacted", e.revision)
}

// Watch implements KV. If some of the history after afterRevision is compacted, it sends the current state of the keys that
// have changed since then. Deletions in the compacted history are not reported.
func (k *EtcdKV) Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan WatchEvent, error) {
	stream, err := k.openWatch(ctx, prefix, afterRevision)
	if err != nil {
		return nil, fmt.Errorf("watch prefix %q after revision %d: %w", prefix, afterRevision, err)
	}
	events := make(chan WatchEvent, watchBufferEvents)
	go func() {
		defer close(events)
		err := forwardEvents(ctx, stream, events)
		var compacted *compactedError
		if errors.As(err, &compacted) {
			k.watchCompacted(ctx, prefix, afterRevision, events)
		}
	}()
	return events, nil
}

// watchCompacted sends the current state of the keys that have changed after the revision, and then further changes. It
// returns when it fails or ctx ends.
func (k *EtcdKV) watchCompacted(ctx context.Context, prefix string, afterRevision int64, events chan<- WatchEvent) {
	kvs, revision, err := k.ListAt(ctx, prefix, 0, false)
	if err != nil {
		return
	}
	stream, err := k.openWatch(ctx, prefix, revision)
	if err != nil {
		return
	}
	for _, kv := range changedAfter(kvs, afterRevision) {
		if !sendEvent(ctx, events, WatchEvent{KeyValue: kv}) {
			stream.Close()
			return
		}
	}
	_ = forwardEvents(ctx, stream, events)
}

// changedAfter returns the keys whose modification revision is higher than the revision.
func changedAfter(kvs []KeyValue, revision int64) []KeyValue {
	var changed []KeyValue
	for _, kv := range kvs {
		if kv.Revision > revision {
			changed = append(changed, kv)
		}
	}
	return changed
}

// watchStream is the answer stream of an open watch.
type watchStream struct {
	*transport.Stream
	cancel context.CancelFunc // Ends the request's context, which closes the connection.
}

// Close ends the watch and closes its connection.
func (s *watchStream) Close() {
	s.cancel()
	s.Stream.Close()
}

// openWatch tries the endpoints in turn and opens a watch at the first one that confirms it.
func (k *EtcdKV) openWatch(ctx context.Context, prefix string, afterRevision int64) (*watchStream, error) {
	in := gateway.WatchRequest{Create: gateway.WatchCreate{
		Key:            rangeStart(prefix),
		RangeEnd:       gateway.PrefixEnd(prefix),
		StartRevision:  gateway.Int(afterRevision + 1),
		ProgressNotify: true,
	}}
	var lastErr error
	for i := range k.endpoints {
		address, index := k.endpoint(i)
		var stream *watchStream
		stream, lastErr = k.openWatchAt(ctx, address, in)
		if lastErr == nil {
			k.preferred.Store(index)
			k.count("watch", outcomeOK)
			return stream, nil
		}
		k.count("watch", outcomeUnavailable)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
}

// openWatchAt opens a watch at one endpoint. The endpoint has to confirm it within the request timeout.
func (k *EtcdKV) openWatchAt(ctx context.Context, address string, in gateway.WatchRequest) (*watchStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(k.timeout, cancel)
	stream, err := k.client.DedicatedStream(ctx, http.MethodPost, address, gateway.PathWatch, in, k.watchIdle)
	if err != nil {
		cancel()
		return nil, err
	}
	watch := &watchStream{Stream: stream, cancel: cancel}
	result, err := readWatchLine(watch)
	switch {
	case err == nil && !result.Created:
		err = errors.New("the first line of the answer does not confirm the watch")
	case err == nil && !limit.Stop():
		err = fmt.Errorf("the watch was not confirmed within %v", k.timeout)
	}
	if err != nil {
		watch.Close()
		return nil, err
	}
	return watch, nil
}

// readWatchLine reads the next line and returns its result. A cancelled watch is an error.
func readWatchLine(stream *watchStream) (*gateway.WatchResult, error) {
	data, err := stream.ReadLine()
	if err != nil {
		return nil, err
	}
	return decodeWatchLine(data)
}

// decodeWatchLine decodes a line and returns its result, or the error that it reports.
func decodeWatchLine(data []byte) (*gateway.WatchResult, error) {
	var line gateway.WatchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return nil, fmt.Errorf("decode watch line: %w", err)
	}
	switch {
	case line.Error != nil:
		return nil, fmt.Errorf("the watch failed with code %d: %s", line.Error.Code, line.Error.Message)
	case line.Result == nil:
		return nil, errors.New("watch line has neither result nor error")
	case line.Result.CompactRevision > 0:
		return nil, &compactedError{revision: int64(line.Result.CompactRevision)}
	case line.Result.Canceled:
		return nil, errors.New("the service cancelled the watch")
	}
	return line.Result, nil
}

// forwardEvents sends the changes from the stream to events until the stream fails or ctx ends. It closes the stream and
// returns the cause.
func forwardEvents(ctx context.Context, stream *watchStream, events chan<- WatchEvent) error {
	defer stream.Close()
	for {
		result, err := readWatchLine(stream)
		if err != nil {
			return err
		}
		for _, e := range result.Events {
			event := WatchEvent{KeyValue: fromWire(e.KV), Deleted: e.Type == gateway.EventDelete}
			if !sendEvent(ctx, events, event) {
				return ctx.Err()
			}
		}
	}
}

// sendEvent sends the event. It reports false if ctx ended before the event was received.
func sendEvent(ctx context.Context, events chan<- WatchEvent, event WatchEvent) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
