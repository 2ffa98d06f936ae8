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

// compactedError reports that the service no longer has the changes from the wanted revision on.
type compactedError struct{ revision int64 }

// Error implements error.
func (e *compactedError) Error() string {
	return fmt.Sprintf("the changes before revision %d are compacted", e.revision)
}

// Watch implements KV. When the changes after afterRevision are compacted, it sends the keys that have changed since
// as they stand now; deletions among the compacted changes are not reported.
func (k *GatewayKV) Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan WatchEvent, error) {
	stream, err := k.openWatch(ctx, prefix, afterRevision)
	if err != nil {
		return nil, fmt.Errorf("watch prefix %q after revision %d: %w", prefix, afterRevision, err)
	}
	events := make(chan WatchEvent, watchChannelEvents)
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

// watchCompacted sends the keys that changed after the revision as they stand now and goes on from there.
func (k *GatewayKV) watchCompacted(ctx context.Context, prefix string, afterRevision int64, events chan<- WatchEvent) {
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

func changedAfter(kvs []KeyValue, revision int64) []KeyValue {
	var changed []KeyValue
	for _, kv := range kvs {
		if kv.Revision > revision {
			changed = append(changed, kv)
		}
	}
	return changed
}

// watchStream is an open watch.
type watchStream struct {
	*transport.Stream
	cancel context.CancelFunc // Closes the connection.
}

// Close releases the watch.
func (s *watchStream) Close() {
	s.cancel()
	s.Stream.Close()
}

// openWatch opens a watch at the first endpoint that confirms it.
func (k *GatewayKV) openWatch(ctx context.Context, prefix string, afterRevision int64) (*watchStream, error) {
	in := gateway.WatchRequest{Create: gateway.WatchCreate{
		Key:            rangeStart(prefix),
		RangeEnd:       gateway.PrefixEnd(prefix),
		StartRevision:  gateway.Int(afterRevision + 1),
		ProgressNotify: true,
	}}
	var last error
	for i := range k.endpoints {
		address, index := k.endpoint(i)
		var stream *watchStream
		stream, last = k.openWatchAt(ctx, address, in)
		if last == nil {
			k.preferred.Store(index)
			k.count("watch", outcomeOK)
			return stream, nil
		}
		k.count("watch", outcomeUnavailable)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, last)
}

// openWatchAt opens a watch at one endpoint, which has to confirm it within the adapter's timeout.
func (k *GatewayKV) openWatchAt(ctx context.Context, address string, in gateway.WatchRequest) (*watchStream, error) {
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
		err = errors.New("the first line of a watch does not confirm it")
	case err == nil && !limit.Stop():
		err = fmt.Errorf("the watch was not confirmed within %v", k.timeout)
	}
	if err != nil {
		watch.Close()
		return nil, err
	}
	return watch, nil
}

// readWatchLine returns the next line's result. A cancelled watch is an error.
func readWatchLine(stream *watchStream) (*gateway.WatchResult, error) {
	data, err := stream.ReadLine()
	if err != nil {
		return nil, err
	}
	return decodeWatchLine(data)
}

func decodeWatchLine(data []byte) (*gateway.WatchResult, error) {
	var line gateway.WatchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return nil, fmt.Errorf("decode line of a watch: %w", err)
	}
	switch {
	case line.Error != nil:
		return nil, fmt.Errorf("the watch failed with code %d: %s", line.Error.Code, line.Error.Message)
	case line.Result == nil:
		return nil, errors.New("a line of the watch has neither result nor error")
	case line.Result.CompactRevision > 0:
		return nil, &compactedError{revision: int64(line.Result.CompactRevision)}
	case line.Result.Canceled:
		return nil, errors.New("the service cancelled the watch")
	}
	return line.Result, nil
}

// forwardEvents sends the stream's changes until it breaks or ctx ends, closes it and returns why.
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

// sendEvent reports whether the event was taken before ctx ended.
func sendEvent(ctx context.Context, events chan<- WatchEvent, event WatchEvent) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
