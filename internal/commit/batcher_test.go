package commit_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// fakeStore applies transactions in memory and can fail them.
type fakeStore struct {
	mu           sync.Mutex
	revision     int64
	items        map[string]ports.KeyValue
	calls        int
	nextErrors   []error // Errors of the next calls; nil applies the transaction.
	applyFailed  bool    // Whether failed calls are applied nevertheless.
	beforeCommit func(ports.Transaction)
}

// Commit implements commit.Committer.
func (f *fakeStore) Commit(_ context.Context, t ports.Transaction) (int64, error) {
	if f.beforeCommit != nil {
		f.beforeCommit(t)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var err error
	if len(f.nextErrors) > 0 {
		err, f.nextErrors = f.nextErrors[0], f.nextErrors[1:]
	}
	if err != nil && !f.applyFailed {
		return 0, err
	}
	for _, c := range t.Conditions {
		if f.items[c.Key].Revision != c.Revision {
			var items []ports.KeyValue
			for _, c := range t.Conditions {
				if item, ok := f.items[c.Key]; ok {
					items = append(items, item)
				}
			}
			return 0, &ports.ConflictError{Items: items}
		}
	}
	f.revision++
	for _, w := range t.Writes {
		f.items[w.Key] = ports.KeyValue{Key: w.Key, Value: w.Value, Revision: f.revision}
	}
	for _, key := range t.Deletes {
		delete(f.items, key)
	}
	return f.revision, err
}

func newStore() *fakeStore { return &fakeStore{items: make(map[string]ports.KeyValue)} }

func newBatcher(s commit.Committer) *commit.Batcher {
	return commit.NewBatcher(s, commit.Options{Window: 20 * time.Millisecond, InFlight: 2, Backoff: time.Millisecond})
}

func TestWritesOfOneWindowTakeOneCall(t *testing.T) {
	is := is.New(t)
	store := newStore()
	b := newBatcher(store)
	var group sync.WaitGroup
	for _, key := range []string{"a", "b", "c", "d"} {
		group.Go(func() {
			if err := b.Put(t.Context(), key, []byte(key)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	is.Equal(store.calls, 1)
	is.Equal(len(store.items), 4)
}

func TestConflictAffectsOnlyItsOwnWrite(t *testing.T) {
	is := is.New(t)
	store := newStore()
	store.items["taken"] = ports.KeyValue{Key: "taken", Value: []byte("theirs"), Revision: 9}
	store.revision = 9
	b := newBatcher(store)
	var group sync.WaitGroup
	group.Go(func() {
		if err := b.Put(t.Context(), "free", []byte("x")); err != nil {
			t.Error(err)
		}
	})
	_, conflict, err := b.CompareAndSwap(t.Context(), "taken", []byte("mine"), 0)
	group.Wait()
	is.NoErr(err)
	is.Equal(string(conflict.Value), "theirs")
	is.Equal(conflict.Revision, int64(9))
	is.Equal(string(store.items["free"].Value), "x")
}

// TestWriteWaitsForOneConflictOnly guards against a write being delayed by one conflict after another. It queues a further
// conflicting write while the first conflict is being handled, as with programs whose records a new process does not know.
func TestWriteWaitsForOneConflictOnly(t *testing.T) {
	is := is.New(t)
	store := newStore()
	store.items["taken"] = ports.KeyValue{Key: "taken", Revision: 9}
	store.items["taken too"] = ports.KeyValue{Key: "taken too", Revision: 9}
	b := newBatcher(store)
	var group sync.WaitGroup
	swap := func(key string) {
		group.Go(func() {
			if _, conflict, err := b.CompareAndSwap(t.Context(), key, nil, 0); err != nil || conflict == nil {
				t.Errorf("write of %q: conflict %v, error %v", key, conflict, err)
			}
		})
	}
	attempts := 0
	store.beforeCommit = func(transaction ports.Transaction) {
		if !slices.ContainsFunc(transaction.Writes, func(w ports.Write) bool { return w.Key == "free" }) {
			return
		}
		if attempts++; attempts == 1 {
			swap("taken too")
			time.Sleep(5 * time.Millisecond) // So that it is queued before the conflict is answered.
		}
	}
	swap("taken")
	is.NoErr(b.Put(t.Context(), "free", nil))
	group.Wait()
	is.Equal(attempts, 2)
}

func TestPutIsRepeatedUntilItSucceedsAndSwapIsNot(t *testing.T) {
	is := is.New(t)
	store := newStore()
	store.nextErrors = []error{ports.ErrAmbiguous, ports.ErrUnavailable}
	b := newBatcher(store)
	is.NoErr(b.Put(t.Context(), "a", []byte("x")))
	is.Equal(store.calls, 3)

	store.nextErrors = []error{ports.ErrAmbiguous}
	_, _, err := b.CompareAndSwap(t.Context(), "b", []byte("x"), 0)
	is.True(errors.Is(err, ports.ErrAmbiguous))
	is.Equal(store.calls, 4)
}

func TestDeletesAreSentWithPuts(t *testing.T) {
	is := is.New(t)
	store := newStore()
	store.items["old"] = ports.KeyValue{Key: "old", Revision: 1}
	b := newBatcher(store)
	b.Delete("old")
	is.NoErr(b.Put(t.Context(), "a", nil))
	is.Equal(store.calls, 1)
	_, ok := store.items["old"]
	is.True(!ok)
}

// countingStore counts the bytes of the values in the transactions under way.
type countingStore struct {
	mu               sync.Mutex
	inFlight, most   int // Guarded by mu. Bytes of all transactions.
	largest, applied int // Guarded by mu. largest is the bytes of one transaction with several writes.
}

func (s *countingStore) Commit(_ context.Context, t ports.Transaction) (int64, error) {
	size := 0
	for _, w := range t.Writes {
		size += len(w.Value)
	}
	s.mu.Lock()
	s.inFlight += size
	s.most = max(s.most, s.inFlight)
	if len(t.Writes) > 1 {
		s.largest = max(s.largest, size)
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight -= size
	s.applied += len(t.Writes)
	return 1, nil
}

// Guards against transactions that are bounded by their number of writes only, and then hold tens of megabytes.
func TestBytesOfTransactionsAreLimited(t *testing.T) {
	is := is.New(t)
	store := &countingStore{}
	b := commit.NewBatcher(store, commit.Options{Window: time.Millisecond, InFlight: 32, InFlightBytes: 2 << 20})
	var group errgroup.Group
	const writes = 300
	for n := range writes {
		group.Go(func() error {
			size := 100 << 10
			if n%10 == 0 {
				size = 900 << 10
			}
			return b.Put(t.Context(), fmt.Sprint(n), make([]byte, size))
		})
	}
	is.NoErr(group.Wait())
	is.Equal(store.applied, writes)
	is.True(store.most <= 2<<20)
	is.True(store.largest <= 1<<20)
	is.NoErr(b.Put(t.Context(), "huge", make([]byte, 3<<20))) // A value beyond the limit is sent alone.
}
