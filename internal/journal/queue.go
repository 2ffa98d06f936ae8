package journal

import "time"

// recordState is the state of a pending record.
type recordState int

// States of a pending record.
const (
	recordQueued    recordState = iota
	recordWriting               // Part of a started write.
	recordCompleted             // Its done function has been or is being called.
)

// pendingRecord is a record from its append until its outcome is reported. The journal's lock guards its state.
type pendingRecord struct {
	data     []byte
	done     func(error)
	queuedAt time.Time // When the record was appended.
	state    recordState
}

// recordQueue holds pending records in the order in which they were appended. The journal's lock guards it.
type recordQueue struct {
	records     []*pendingRecord // May include completed records, which are skipped.
	queuedCount int              // Number of records in state recordQueued.
	queuedBytes int              // Total size of those records.
}

func (q *recordQueue) push(r *pendingRecord) {
	q.records = append(q.records, r)
	q.queuedCount++
	q.queuedBytes += len(r.data)
}

// takeBatch removes the records for the next slot and marks them as being written.
func (q *recordQueue) takeBatch() []*pendingRecord {
	batch, span := q.nextBatch()
	for _, r := range batch {
		r.state = recordWriting
		q.subtractFromTotals(r)
	}
	q.dropFirst(span)
	return batch
}

// nextBatch returns the first queued records that fit into one slot, and the length of the queue's prefix that they
// span, including completed records.
func (q *recordQueue) nextBatch() (batch []*pendingRecord, span int) {
	size := 0
	for _, r := range q.records {
		if r.state == recordQueued {
			next := size + len(r.data) + recordOverhead
			if len(batch) > 0 && next > maxBatchBytes {
				break
			}
			size = next
			batch = append(batch, r)
		}
		span++
	}
	return batch, span
}

// putBack returns the records of a write that had no effect to the front of the queue.
func (q *recordQueue) putBack(batch []*pendingRecord) {
	for _, r := range batch {
		r.state = recordQueued
		q.queuedCount++
		q.queuedBytes += len(r.data)
	}
	q.records = append(batch[:len(batch):len(batch)], q.records...)
}

// complete marks a queued record as completed. It returns false if the record is no longer queued.
func (q *recordQueue) complete(r *pendingRecord) bool {
	if r.state != recordQueued {
		return false
	}
	r.state = recordCompleted
	q.subtractFromTotals(r)
	return true
}

// expire completes and returns the queued records that were appended no later than until. It stops at the first younger
// record, as the times of appending increase along the queue.
func (q *recordQueue) expire(until time.Time) []*pendingRecord {
	var expired []*pendingRecord
	span := 0
	for _, r := range q.records {
		if r.state == recordQueued && r.queuedAt.After(until) {
			break
		}
		if q.complete(r) {
			expired = append(expired, r)
		}
		span++
	}
	q.dropFirst(span)
	return expired
}

// demand describes the queued records to a Pacer.
func (q *recordQueue) demand() demand {
	if q.queuedCount == 0 {
		return demand{oldest: time.Now()}
	}
	d := demand{records: q.queuedCount, newest: q.records[len(q.records)-1].queuedAt}
	for _, r := range q.records {
		if r.state == recordQueued {
			d.oldest = r.queuedAt
			break
		}
	}
	return d
}

// uncount subtracts a record that is no longer queued from the totals.
func (q *recordQueue) subtractFromTotals(r *pendingRecord) {
	q.queuedCount--
	q.queuedBytes -= len(r.data)
}

// dropFirst removes the first n records. It releases the backing array when the queue is empty.
func (q *recordQueue) dropFirst(n int) {
	q.records = q.records[n:]
	if len(q.records) == 0 {
		q.records = nil
	}
}
