// Package commit groups writes of many calls into few transactions of the key-value service, because the rate of calls to
// the service is limited and the operators pay for each of them.
package commit

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Options configure a Batcher.
type Options struct {
	Window   time.Duration // Time for which the first write of a batch waits for further ones.
	InFlight int           // Maximum number of concurrent transactions.
	// InFlightBytes limits the values in concurrent transactions. A transaction beyond it is sent alone.
	InFlightBytes int64
	Backoff       time.Duration // Wait before the writes of a failed transaction are sent again.
}

// DefaultOptions returns the options that apply unless the settings give others. InFlight suffices for a service that takes a
// quarter of a second: ten windows pass in that time, with up to three transactions each in a large deployment.
func DefaultOptions() Options {
	return Options{Window: 25 * time.Millisecond, InFlight: 32, InFlightBytes: 4 << 20, Backoff: 100 * time.Millisecond}
}

// maxBatchBytes limits the values of a transaction with several writes. Encoded, it takes several times as much memory.
const maxBatchBytes = 1 << 20

// Committer applies transactions; ports.Store implements it.
type Committer interface {
	Commit(ctx context.Context, t ports.Transaction) (int64, error)
}

// Batcher groups writes. It is safe for concurrent use.
type Batcher struct {
	options Options
	store   Committer
	slots   chan struct{}       // Semaphore: one element for each transaction under way.
	room    *semaphore.Weighted // For the values of transactions under way.

	mu             sync.Mutex
	queue          []*operation  // Guarded by mu. In FIFO order.
	flushScheduled bool          // Guarded by mu. Whether a flush is scheduled or running.
	deletes        []string      // Guarded by mu. Keys to delete in the next transactions that have free entries.
	latency        time.Duration // Guarded by mu. Moving average of a transaction.
}

// operation is one write that waits for its transaction.
type operation struct {
	ctx         context.Context
	write       ports.Write
	conditional bool
	expected    int64 // Modification revision that the key must have, if conditional.
	done        chan result
}

// size returns the number of transaction entries that the operation needs.
func (op *operation) size() int {
	if op.conditional {
		return 2
	}
	return 1
}

// addTo adds the operation's write, and its condition if it has one, to the transaction.
func (op *operation) addTo(t *ports.Transaction) {
	t.Writes = append(t.Writes, op.write)
	if op.conditional {
		t.Conditions = append(t.Conditions, ports.Condition{Key: op.write.Key, Revision: op.expected})
	}
}

// result is the outcome of an operation.
type result struct {
	revision int64           // Revision of the transaction that applied the write.
	conflict *ports.KeyValue // The key's current state if the condition does not hold.
	err      error
}

// NewBatcher returns a Batcher that writes to the store.
func NewBatcher(store Committer, options Options) *Batcher {
	if options.InFlightBytes == 0 {
		options.InFlightBytes = DefaultOptions().InFlightBytes
	}
	return &Batcher{
		options: options, store: store, slots: make(chan struct{}, options.InFlight), room: semaphore.NewWeighted(options.InFlightBytes),
	}
}

// Put writes a key that has no other writer. It repeats the write until it succeeds or ctx ends.
func (b *Batcher) Put(ctx context.Context, key string, value []byte) error {
	return b.submit(&operation{ctx: ctx, write: ports.Write{Key: key, Value: value}}).err
}

// CompareAndSwap writes a key if its modification revision equals expected (0: the key must not exist). It returns the new
// revision, or the key's current state if the condition does not hold. A failed write is not repeated: ports.ErrAmbiguous
// means that it may have taken effect.
func (b *Batcher) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected int64,
) (revision int64, conflict *ports.KeyValue, err error) {
	r := b.submit(&operation{ctx: ctx, write: ports.Write{Key: key, Value: value}, conditional: true, expected: expected})
	return r.revision, r.conflict, r.err
}

// maxPendingDeletes bounds the keys that wait to be deleted. Further ones are dropped; the next sweep finds them again.
const maxPendingDeletes = 4096

// Delete deletes keys asynchronously, as part of later transactions that have free entries.
func (b *Batcher) Delete(keys ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if available := maxPendingDeletes - len(b.deletes); len(keys) > available {
		keys = keys[:max(available, 0)]
	}
	b.deletes = append(b.deletes, keys...)
}

// submit enqueues the operation and waits for its result. If the operation's context ends first, the write may still take
// effect.
func (b *Batcher) submit(op *operation) result {
	op.done = make(chan result, 1)
	b.enqueue(op)
	select {
	case r := <-op.done:
		return r
	case <-op.ctx.Done():
		return result{err: errors.Join(ports.ErrAmbiguous, op.ctx.Err())}
	}
}

// enqueue adds operations to the queue and schedules a flush after the window unless one is scheduled or running.
func (b *Batcher) enqueue(ops ...*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, ops...)
	if !b.flushScheduled && len(b.queue) > 0 {
		b.flushScheduled = true
		time.AfterFunc(b.options.Window, b.flush)
	}
}

// flush sends all queued operations, in as many transactions as needed.
func (b *Batcher) flush() {
	for {
		b.slots <- struct{}{}
		batch, transaction := b.collect()
		if len(batch) == 0 {
			<-b.slots
			return
		}
		size := min(valueBytes(batch), b.options.InFlightBytes)
		_ = b.room.Acquire(context.Background(), size) // It cannot fail: the context does not end.
		go func() {
			b.send(batch, transaction)
			b.room.Release(size)
			<-b.slots
		}()
	}
}

// valueBytes returns the size of the values that the operations write.
func valueBytes(batch []*operation) int64 {
	size := int64(0)
	for _, op := range batch {
		size += int64(len(op.write.Value))
	}
	return size
}

const (
	slowLatency   = 50 * time.Millisecond // Average latency from which conditional writes have transactions of their own.
	latencyWeight = 0.2                   // Weight of one transaction in the average.
)

// recordLatency adds the time of a transaction to the average.
func (b *Batcher) recordLatency(elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latency += time.Duration(float64(elapsed-b.latency) * latencyWeight)
}

// collect dequeues the operations of the next transaction, at most one for each key. It drops operations whose context has
// ended. A conflict makes the other operations of its transaction wait for a second answer, which takes long while the service
// is slow: then conditional writes have transactions of their own.
func (b *Batcher) collect() ([]*operation, ports.Transaction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apart := b.latency >= slowLatency
	var t ports.Transaction
	var batch, rest []*operation
	keys := make(map[string]bool)
	bytes := 0
	for i, op := range b.queue {
		if t.Size()+op.size() > ports.MaxTransactionEntries || len(batch) > 0 && bytes+len(op.write.Value) > maxBatchBytes {
			rest = append(rest, b.queue[i:]...)
			break
		}
		if op.ctx.Err() != nil {
			continue
		}
		if keys[op.write.Key] || apart && len(batch) > 0 && op.conditional != batch[0].conditional {
			rest = append(rest, op)
			continue
		}
		keys[op.write.Key] = true
		bytes += len(op.write.Value)
		op.addTo(&t)
		batch = append(batch, op)
	}
	b.queue = rest
	if len(batch) == 0 {
		b.flushScheduled = len(rest) > 0
		return nil, t
	}
	if available := min(ports.MaxTransactionEntries-t.Size(), len(b.deletes)); available > 0 {
		t.Deletes = append(t.Deletes, b.deletes[:available]...)
		b.deletes = b.deletes[available:]
	}
	return batch, t
}

// send sends a batch. If the condition of one operation does not hold, the others are sent again immediately. Operations
// that were queued in the meantime do not join them, as their conditions may not hold either: a process that has just
// started meets many conflicts. The deletes of a transaction that failed are queued again.
func (b *Batcher) send(batch []*operation, t ports.Transaction) {
	for len(batch) > 0 {
		start := time.Now()
		revision, err := b.store.Commit(latestDeadline(batch), t)
		b.recordLatency(time.Since(start))
		if err == nil {
			for _, op := range batch {
				op.done <- result{revision: revision}
			}
			return
		}
		b.Delete(t.Deletes...)
		var conflict *ports.ConflictError
		if !errors.As(err, &conflict) {
			b.failOrRetry(batch, err)
			return
		}
		batch = b.answerConflicts(batch, conflict)
		t = ports.Transaction{}
		for _, op := range batch {
			op.addTo(&t)
		}
	}
}

// answerConflicts completes the operations whose condition does not hold and returns the others.
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
	// The service reported a conflict but returned no key whose revision differs, so it is unknown which operations may
	// proceed.
	b.failOrRetry(batch, errors.Join(ports.ErrUnavailable, conflict))
	return nil
}

// failOrRetry completes the conditional operations with the error and enqueues the others again after the backoff.
func (b *Batcher) failOrRetry(batch []*operation, err error) {
	var retries []*operation
	for _, op := range batch {
		if op.conditional {
			op.done <- result{err: err}
		} else {
			retries = append(retries, op)
		}
	}
	if len(retries) > 0 {
		time.AfterFunc(b.options.Backoff, func() { b.enqueue(retries...) })
	}
}

// latestDeadline returns a context for the batch, derived from the one with the latest deadline. The returned context is
// never cancelled and has no deadline itself, so that a caller that ends does not fail the others.
func latestDeadline(batch []*operation) context.Context {
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
