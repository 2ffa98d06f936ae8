package policy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// fault is the failure of one operation of a fakeKV.
type fault int

const (
	faultNone         fault = iota
	faultRefused            // The operation has no effect, and the caller knows it.
	faultRequestLost        // The operation has no effect, and the caller does not know it.
	faultResponseLost       // The operation takes effect, and the caller does not know it.
	faultDelayed            // The operation takes effect at the next applyDelayed, and the caller does not know it.
	numFaults               // Number of values, faultNone included.
	maxReadFault      = faultRefused
)

// fakeKV is a key-value service in memory. It calls nextFault before every read of a key and every write. nextFault may
// call the store under test, so that a test can run other operations between two operations in an order that it
// chooses.
type fakeKV struct {
	ports.KV
	nextFault     func(write bool) fault
	mu            sync.Mutex
	revision      int64
	keys          map[string]ports.KeyValue
	delayedWrites []func()
	reads         int
	watchers      []chan ports.WatchEvent
}

func newFakeKV() *fakeKV {
	return &fakeKV{keys: make(map[string]ports.KeyValue), nextFault: func(bool) fault { return faultNone }}
}

func (f *fakeKV) Get(_ context.Context, key string) (ports.KeyValue, error) {
	if f.nextFault(false) != faultNone {
		return ports.KeyValue{}, fmt.Errorf("read %q: %w", key, ports.ErrUnavailable)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.keys[key], nil
}

func (f *fakeKV) List(_ context.Context, prefix string, limit int, _ bool) ([]ports.KeyValue, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ports.KeyValue
	for key, kv := range f.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b ports.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 {
		out = out[:min(limit, len(out))]
	}
	return out, nil
}

func (f *fakeKV) Delete(_ context.Context, keys ...string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		delete(f.keys, key)
	}
	return nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, expected, _ int64) (ports.KeyValue, bool, error) {
	kind := f.nextFault(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case faultRefused:
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrUnavailable)
	case faultRequestLost:
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	case faultDelayed:
		f.delayedWrites = append(f.delayedWrites, func() { f.swap(key, value, expected) })
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	case faultResponseLost:
		f.swap(key, value, expected)
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	}
	ok := f.swap(key, value, expected)
	return f.keys[key], ok, nil
}

// swap writes the key if its revision is the expected one. It requires mu.
func (f *fakeKV) swap(key string, value []byte, expected int64) bool {
	if f.keys[key].Revision != expected {
		return false
	}
	f.revision++
	f.keys[key] = ports.KeyValue{Key: key, Value: slices.Clone(value), Revision: f.revision}
	for _, w := range f.watchers {
		w <- ports.WatchEvent{KeyValue: f.keys[key]}
	}
	return true
}

func (f *fakeKV) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// applyDelayed lets the delayed writes take effect.
func (f *fakeKV) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.delayedWrites {
		write()
	}
	f.delayedWrites = nil
}

func (f *fakeKV) Watch(ctx context.Context, prefix string, after int64) (<-chan ports.WatchEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys[prefix].Revision > after {
		return nil, errors.New("fakeKV does not replay past events")
	}
	out := make(chan ports.WatchEvent, 100)
	f.watchers = append(f.watchers, out)
	context.AfterFunc(ctx, func() { close(out) })
	return out, nil
}

// makeUnavailable makes every read of a key and every write fail. Errors of writes leave open whether they took effect.
func (f *fakeKV) makeUnavailable() {
	f.nextFault = func(write bool) fault {
		if write {
			return faultRequestLost
		}
		return faultRefused
	}
}

// drawFault draws the fault of an operation. More than half of the numbers that it draws from mean faultNone for a write,
// and all but one for a read.
func drawFault(t *rapid.T, write bool) fault {
	kind := fault(rapid.IntRange(0, 2*int(numFaults)).Draw(t, "fault"))
	if kind >= numFaults || !write && kind > maxReadFault {
		return faultNone
	}
	return kind
}
