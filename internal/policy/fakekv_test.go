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

// fault is what happens to one operation of a fakeKV.
type fault int

const (
	faultNone      fault = iota
	faultRefused         // No effect, and the caller knows.
	faultLost            // No effect, and the caller does not know.
	faultAnswer          // Took effect, and the caller does not know.
	faultLate            // Takes effect at the next settle, and the caller does not know.
	faultKinds           // How many there are.
	faultReadsOnly = faultRefused
)

// fakeKV is a key-value service in memory. decide is asked before every operation and may call back into the store:
// so other work runs between two operations, in an order that the test chooses.
type fakeKV struct {
	ports.KV
	decide   func(write bool) fault
	mu       sync.Mutex
	revision int64
	keys     map[string]ports.KeyValue
	late     []func()
	reads    int
	watchers []chan ports.WatchEvent
}

func newFakeKV() *fakeKV {
	return &fakeKV{keys: make(map[string]ports.KeyValue), decide: func(bool) fault { return faultNone }}
}

func (f *fakeKV) Get(_ context.Context, key string) (ports.KeyValue, error) {
	if f.decide(false) != faultNone {
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
	kind := f.decide(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case faultRefused:
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrUnavailable)
	case faultLost:
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	case faultLate:
		f.late = append(f.late, func() { f.swap(key, value, expected) })
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	case faultAnswer:
		f.swap(key, value, expected)
		return ports.KeyValue{}, false, fmt.Errorf("write %q: %w", key, ports.ErrAmbiguous)
	}
	ok := f.swap(key, value, expected)
	return f.keys[key], ok, nil
}

// swap requires mu.
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

// settle lets the late writes take effect.
func (f *fakeKV) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.late {
		write()
	}
	f.late = nil
}

func (f *fakeKV) Watch(ctx context.Context, prefix string, after int64) (<-chan ports.WatchEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys[prefix].Revision > after {
		return nil, errors.New("the fake does not replay")
	}
	out := make(chan ports.WatchEvent, 100)
	f.watchers = append(f.watchers, out)
	context.AfterFunc(ctx, func() { close(out) })
	return out, nil
}

// down makes every operation fail; writes do not say whether they took effect.
func (f *fakeKV) down() {
	f.decide = func(write bool) fault {
		if write {
			return faultLost
		}
		return faultRefused
	}
}

// drawFault draws what happens to an operation: about half of them succeed.
func drawFault(t *rapid.T, write bool) fault {
	kind := fault(rapid.IntRange(0, 2*int(faultKinds)).Draw(t, "fault"))
	if kind >= faultKinds || !write && kind > faultReadsOnly {
		return faultNone
	}
	return kind
}
