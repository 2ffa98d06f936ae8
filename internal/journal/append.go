package journal

import (
	"context"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Append appends a record and returns when it is committed, together with records of other callers. A record may be
// committed before Append has returned to its caller, and a snapshot may count it as contained; a state machine that
// changes with the commit uses AppendThen or AppendAsync.
//
// Errors: ErrUnavailable means that the record is not in the journal and never will be; ErrPending that ctx ended while
// the record was in a write without an answer; ErrDeposed that the ownership is lost; ErrTooLarge that it never fits.
func (j *Journal) Append(ctx context.Context, record []byte) error {
	return j.AppendThen(ctx, record, func() {})
}

// AppendThen is Append with a function that runs when the record is committed: in commit order, before any later record
// is acknowledged or a snapshot counts the record, and also if the caller's wait has ended with ErrPending before.
func (j *Journal) AppendThen(ctx context.Context, record []byte, committed func()) error {
	if err := ctx.Err(); err != nil {
		return &UnavailableError{Journal: j.options.ID, Reason: "the caller had given up", Err: err}
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
		return j.abandon(r, result, ctx.Err())
	}
}

// abandon ends a caller's wait for a record.
func (j *Journal) abandon(r *pendingRecord, result <-chan error, cause error) error {
	j.mu.Lock()
	withdrawn := j.queue.settle(r)
	slot := j.next
	j.mu.Unlock()
	if withdrawn {
		return &UnavailableError{Journal: j.options.ID, Reason: "the wait ended before its write", Err: cause}
	}
	select {
	case err := <-result:
		return err
	default:
		return &PendingError{Journal: j.options.ID, Slot: slot, Err: cause}
	}
}

// AppendAsync appends a record and calls done exactly once with its outcome, nil when it is committed. Calls for
// committed records come in commit order, one at a time, and hold up the next commit. A record is never withdrawn once
// it is in a write: ErrPending is reported only when the journal is closed before the outcome is known.
func (j *Journal) AppendAsync(record []byte, done func(error)) {
	if _, err := j.enqueue(record, done); err != nil {
		go done(err)
	}
}

// enqueue puts a record into the queue, or refuses it.
func (j *Journal) enqueue(record []byte, done func(error)) (*pendingRecord, error) {
	if err := checkSize(record); err != nil {
		return nil, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &pendingRecord{data: record, done: done, queued: time.Now()}
	if j.failure != nil {
		return nil, j.refusal()
	}
	if j.closing {
		return nil, &UnavailableError{Journal: j.options.ID, Reason: "the journal is closed"}
	}
	if j.queue.live > 0 && j.queue.bytes+len(record) > j.options.QueueBytes {
		reason := fmt.Sprintf("%d bytes wait to be written", j.queue.bytes)
		return nil, &UnavailableError{Journal: j.options.ID, Reason: reason}
	}
	j.queue.push(r)
	j.signal()
	return r, nil
}

// checkSize refuses a record that does not fit into a slot.
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

// refusal returns the error of a record that is in no write after the committer has ended. Called with mu held.
func (j *Journal) refusal() error {
	if d, ok := j.failure.(*DeposedError); ok {
		return &DeposedError{Journal: d.Journal, Fence: d.Fence, By: d.By, NotCommitted: true}
	}
	return &UnavailableError{Journal: j.options.ID, Reason: "the journal has stopped", Err: j.failure}
}

// Fence returns the fencing number of this ownership.
func (j *Journal) Fence() api.Fence { return api.Fence{Journal: j.options.ID, Number: j.fence} }

// Deposed is closed when the ownership is known to be lost, or when the stored journal is found to be damaged.
func (j *Journal) Deposed() <-chan struct{} { return j.deposed }

// ReadChunk reads a chunk of this journal like the function of that name.
func (j *Journal) ReadChunk(ctx context.Context, id ChunkID) ([]byte, error) {
	return j.ring.readChunk(ctx, j.options.WriteTimeout, id)
}

// Verify asks the key-value service whether the ownership still stood when it answered. It returns a DeposedError if
// not, and any other error if that could not be found out. One read, more while records are being committed.
func (j *Journal) Verify(ctx context.Context) error {
	j.mu.Lock()
	failure, next := j.failure, j.next
	j.mu.Unlock()
	if failure != nil {
		return failure
	}
	for {
		found, err := j.ring.readAny(ctx, next)
		switch {
		case err != nil:
			return err
		case found.Slot < next:
			return nil
		case found.Fence != j.fence:
			return &DeposedError{Journal: j.options.ID, Fence: j.fence, By: found.Owner}
		}
		next = found.Slot + 1
	}
}

// Close refuses new records, commits those that wait, and hands the journal over with a closed record, after which a
// successor need not wait. When ctx ends first, records in a write are answered with ErrPending and the others as not
// committed, and the journal is left as after a crash; a ctx that has ended before stops it at once.
func (j *Journal) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	j.signal()
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
	j.tasks.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failure
}

// signal wakes the committer.
func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}
