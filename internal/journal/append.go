package journal

import (
	"context"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Append appends a record and returns when it is committed. Concurrent callers share one write. A snapshot may already
// count the record as contained before Append returns, so a state machine that changes on commit must use AppendThen or
// AppendAsync.
//
// Errors:
//   - ErrUnavailable: the record is not in the journal and never will be.
//   - ErrPending: ctx ended while a write that contains the record was unanswered.
//   - ErrDeposed: the ownership is lost.
//   - ErrTooLarge: the record does not fit into a slot.
func (j *Journal) Append(ctx context.Context, record []byte) error {
	return j.AppendThen(ctx, record, func() {})
}

// AppendThen is like Append and calls committed once the record is committed. The calls are made in commit order,
// before any later record is acknowledged and before a snapshot counts the record as contained. The call is also made
// if AppendThen has already returned ErrPending.
func (j *Journal) AppendThen(ctx context.Context, record []byte, committed func()) error {
	if err := ctx.Err(); err != nil {
		return &UnavailableError{Journal: j.options.ID, Reason: "the context had ended before the append", Err: err}
	}
	result := make(chan error, 1)
	r, err := j.enqueue(record, func(err error) {
		if err == nil {
			committed()
		}
		result <- err
	})
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return j.cancelWait(r, result, ctx.Err())
	}
}

// cancelWait ends a caller's wait for a record. It withdraws the record if no write has started, and otherwise returns
// the outcome if it is known by now, or a PendingError.
func (j *Journal) cancelWait(r *pendingRecord, result <-chan error, cause error) error {
	j.mu.Lock()
	withdrawn := j.queue.complete(r)
	slot := j.nextSlot
	j.mu.Unlock()
	if withdrawn {
		return &UnavailableError{Journal: j.options.ID, Reason: "the context ended before a write started", Err: cause}
	}
	select {
	case err := <-result:
		return err
	default:
		return &PendingError{Journal: j.options.ID, Slot: slot, Err: cause}
	}
}

// AppendAsync appends a record and calls done exactly once with its outcome; nil means committed. Calls for committed
// records are made one at a time, in commit order, and block the next commit. A record that is part of a started write
// is never withdrawn. done receives ErrPending only if the journal stops before the outcome is known. If the record is
// rejected immediately, done is called on a goroutine of its own.
func (j *Journal) AppendAsync(record []byte, done func(error)) {
	if _, err := j.enqueue(record, done); err != nil {
		go done(err)
	}
}

// enqueue adds a record to the queue, or returns the error with which it is rejected.
func (j *Journal) enqueue(record []byte, done func(error)) (*pendingRecord, error) {
	if err := checkSize(record); err != nil {
		return nil, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &pendingRecord{data: record, done: done, queuedAt: time.Now()}
	if j.stopCause != nil {
		return nil, j.stoppedError()
	}
	if j.closing {
		return nil, &UnavailableError{Journal: j.options.ID, Reason: "the journal is closed"}
	}
	if j.queue.queuedCount > 0 && j.queue.queuedBytes+len(record) > j.options.QueueBytes {
		reason := fmt.Sprintf("the queue is full: %d bytes are waiting to be written", j.queue.queuedBytes)
		return nil, &UnavailableError{Journal: j.options.ID, Reason: reason}
	}
	j.queue.push(r)
	j.wakeCommitter()
	return r, nil
}

// checkSize returns a TooLargeError for a record that does not fit into a slot even when compressed.
func checkSize(record []byte) error {
	if len(record)+recordOverhead <= maxBatchBytes {
		return nil
	}
	if len(record) > maxRecordBytes {
		return &TooLargeError{Bytes: len(record), Limit: maxRecordBytes}
	}
	if n := len(encoder.EncodeAll(record, nil)); n > maxBatchBytes {
		return &TooLargeError{Bytes: n, Limit: maxBatchBytes}
	}
	return nil
}

// stoppedError returns the error for a record that no write contained when the committer ended. The caller must hold
// mu.
func (j *Journal) stoppedError() error {
	if d, ok := j.stopCause.(*DeposedError); ok {
		return &DeposedError{Journal: d.Journal, Fence: d.Fence, NewOwner: d.NewOwner, NotCommitted: true}
	}
	return &UnavailableError{Journal: j.options.ID, Reason: "the journal has stopped", Err: j.stopCause}
}

// Fence returns the fencing token of this ownership: the journal and the slot number of the owner's open record.
func (j *Journal) Fence() api.Fence { return api.Fence{Journal: j.options.ID, Number: j.fence} }

// Deposed returns a channel that is closed when another owner is known to have opened the journal, or when its stored
// data is found to be corrupt.
func (j *Journal) Deposed() <-chan struct{} { return j.deposed }

// ReadChunk reads a chunk of this journal, like the package function ReadChunk.
func (j *Journal) ReadChunk(ctx context.Context, id ChunkID) ([]byte, error) {
	return j.ring.readChunk(ctx, j.options.WriteTimeout, id)
}

// Verify asks the key-value service whether this owner still owned the journal at the time of the read. It returns a
// DeposedError if not, and any other error if the answer could not be obtained. It costs one read, or more while
// records are being committed.
func (j *Journal) Verify(ctx context.Context) error {
	j.mu.Lock()
	stopCause, next := j.stopCause, j.nextSlot
	j.mu.Unlock()
	if stopCause != nil {
		return stopCause
	}
	for {
		found, err := j.ring.readKeyOf(ctx, next)
		switch {
		case err != nil:
			return err
		case found.Slot < next:
			return nil
		case found.Fence != j.fence:
			return &DeposedError{Journal: j.options.ID, Fence: j.fence, NewOwner: found.Owner}
		}
		next = found.Slot + 1
	}
}

// Close rejects new records, commits the queued ones and writes a closed record, which tells a successor that it need
// not wait for this owner. If ctx ends first, records in a started write end with ErrPending and the others with
// ErrUnavailable, and the journal is left as after a crash. A ctx that has already ended stops the journal immediately.
func (j *Journal) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	j.wakeCommitter()
	j.mu.Unlock()
	if ctx.Err() != nil {
		j.cancel()
	}
	select {
	case <-j.stopped:
	case <-ctx.Done():
		j.cancel()
		<-j.stopped
	}
	j.background.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stopCause
}

// wakeCommitter wakes the committer if it is waiting for work.
func (j *Journal) wakeCommitter() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}
