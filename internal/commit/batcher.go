// Package commit groups writes of many calls into few transactions of the key-value service, whose calls are limited in
// rate and cost the operators money each.
package commit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Options tune a Batcher.
type Options struct {
	Window   time.Duration // How long the first write of a batch waits for others.
	InFlight int           // Most transactions under way.
	Backoff  time.Duration // Wait before a transaction that failed is sent again.
}

// DefaultOptions returns the options in force when the settings give none.
func DefaultOptions() Options {
	return Options{Window: 25 * time.Millisecond, InFlight: 4, Backoff: 100 * time.Millisecond}
}

// Committer applies transactions; ports.Store is one.
type Committer interface {
	Commit(ctx context.Context, t ports.Transaction) (int64, error)
}

// Batcher groups writes. It is safe for concurrent use.
type Batcher struct {
	options Options
	store   Committer
	slots   chan struct{} // One token for each transaction under way.

	mu      sync.Mutex
	queue   []*operation // Guarded by mu. In order of entry.
	waiting bool         // Guarded by mu. A flush is due.
	deletes []string     // Guarded by mu. Ride along where a transaction has room.
}

// operation is one write that waits for its transaction.
type operation struct {
	ctx         context.Context
	write       ports.Write
	conditional bool
	expected    int64 // Modification revision that the key must have, if conditional.
	done        chan result
}

// size returns the entries that the operation takes in a transaction.
func (op *operation) size() int {
	if op.conditional {
		return 2
	}
	return 1
}

func (op *operation) addTo(t *ports.Transaction) {
	t.Writes = append(t.Writes, op.write)
	if op.conditional {
		t.Conditions = append(t.Conditions, ports.Condition{Key: op.write.Key, Revision: op.expected})
	}
}

type result struct {
	revision int64
	conflict *ports.KeyValue // The key as it stands, when the condition does not hold.
	err      error
}

// NewBatcher returns a Batcher that writes to the store.
func NewBatcher(store Committer, options Options) *Batcher {
	return &Batcher{options: options, store: store, slots: make(chan struct{}, options.InFlight)}
}

// Put writes a key that nobody else writes. It repeats the write until it succeeds or ctx ends.
func (b *Batcher) Put(ctx context.Context, key string, value []byte) error {
	return b.run(&operation{ctx: ctx, write: ports.Write{Key: key, Value: value}}).err
}

// CompareAndSwap writes a key whose modification revision is expected (0: it does not exist). It returns the new revision,
// or the key as it stands when the condition does not hold. It is sent once: ports.ErrAmbiguous means that the write may
// have taken effect.
func (b *Batcher) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected int64,
) (revision int64, conflict *ports.KeyValue, err error) {
	r := b.run(&operation{ctx: ctx, write: ports.Write{Key: key, Value: value}, conditional: true, expected: expected})
	return r.revision, r.conflict, r.err
}

// maxPendingDeletes bounds the keys that wait for room in a transaction; later ones are left to the next sweep.
const maxPendingDeletes = 4096

// Delete removes keys some time later, when a transaction has room.
func (b *Batcher) Delete(keys ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if room := maxPendingDeletes - len(b.deletes); len(keys) > room {
		keys = keys[:max(room, 0)]
	}
	b.deletes = append(b.deletes, keys...)
}

func (b *Batcher) run(op *operation) result {
	op.done = make(chan result, 1)
	b.enqueue(op)
	select {
	case r := <-op.done:
		return r
	case <-op.ctx.Done():
		return result{err: errors.Join(ports.ErrAmbiguous, op.ctx.Err())}
	}
}

func (b *Batcher) enqueue(ops ...*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, ops...)
	if !b.waiting && len(b.queue) > 0 {
		b.waiting = true
		time.AfterFunc(b.options.Window, b.flush)
	}
}

// flush sends what is queued, in as many transactions as it takes.
func (b *Batcher) flush() {
	for {
		b.slots <- struct{}{}
		batch, transaction := b.collect()
		if len(batch) == 0 {
			<-b.slots
			return
		}
		go func() {
			b.send(batch, transaction)
			<-b.slots
		}()
	}
}

// collect takes operations off the queue that fit into one transaction, one for each key.
func (b *Batcher) collect() ([]*operation, ports.Transaction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var t ports.Transaction
	var batch, rest []*operation
	keys := make(map[string]bool)
	for i, op := range b.queue {
		if t.Size()+op.size() > ports.MaxTransactionEntries {
			rest = append(rest, b.queue[i:]...)
			break
		}
		if op.ctx.Err() != nil {
			continue
		}
		if keys[op.write.Key] {
			rest = append(rest, op)
			continue
		}
		keys[op.write.Key] = true
		op.addTo(&t)
		batch = append(batch, op)
	}
	b.queue = rest
	if len(batch) == 0 {
		b.waiting = len(rest) > 0
		return nil, t
	}
	if room := min(ports.MaxTransactionEntries-t.Size(), len(b.deletes)); room > 0 {
		t.Deletes = append(t.Deletes, b.deletes[:room]...)
		b.deletes = b.deletes[room:]
	}
	return batch, t
}

// send sends a batch. Operations beside one whose condition does not hold are sent again at once and without the operations
// queued since, whose conditions may not hold either: a process that has just started meets many conflicts.
func (b *Batcher) send(batch []*operation, t ports.Transaction) {
	for len(batch) > 0 {
		revision, err := b.store.Commit(latest(batch), t)
		if err == nil {
			for _, op := range batch {
				op.done <- result{revision: revision}
			}
			return
		}
		b.Delete(t.Deletes...)
		var conflict *ports.ConflictError
		if !errors.As(err, &conflict) {
			b.fail(batch, err)
			return
		}
		batch = b.answerConflicts(batch, conflict)
		t = ports.Transaction{}
		for _, op := range batch {
			op.addTo(&t)
		}
	}
}

// answerConflicts answers the operations whose condition does not hold and returns the others.
func (b *Batcher) answerConflicts(batch []*operation, conflict *ports.ConflictError) []*operation {
	current := make(map[string]ports.KeyValue, len(conflict.Items))
	for _, item := range conflict.Items {
		current[item.Key] = item
	}
	var others []*operation
	for _, op := range batch {
		item := current[op.write.Key]
		if op.conditional && item.Revision != op.expected {
			item.Key = op.write.Key
			op.done <- result{conflict: &item}
			continue
		}
		others = append(others, op)
	}
	if len(others) < len(batch) {
		return others
	}
	// The service names no key that differs: nothing to learn from, so nobody can go on.
	b.fail(batch, errors.Join(ports.ErrUnavailable, conflict))
	return nil
}

// fail answers the conditional operations and sends the others again after a wait.
func (b *Batcher) fail(batch []*operation, err error) {
	var again []*operation
	for _, op := range batch {
		if op.conditional {
			op.done <- result{err: err}
		} else {
			again = append(again, op)
		}
	}
	if len(again) > 0 {
		time.AfterFunc(b.options.Backoff, func() { b.enqueue(again...) })
	}
}

// latest returns the context of a batch that lives longest, so that one caller's end does not fail the others.
func latest(batch []*operation) context.Context {
	ctx := batch[0].ctx
	best, ok := ctx.Deadline()
	for _, op := range batch[1:] {
		deadline, limited := op.ctx.Deadline()
		if !limited || ok && deadline.After(best) {
			ctx, best, ok = op.ctx, deadline, limited
		}
	}
	return context.WithoutCancel(ctx)
}
