package journal

import "time"

// recordState is the stage of a record on its way into the journal.
type recordState int

// Stages of a record.
const (
	recordQueued  recordState = iota
	recordWriting             // Part of a write that may take effect.
	recordSettled             // Its done function has been or is being called.
)

// pendingRecord is a record that waits to be committed. The journal's lock guards its state.
type pendingRecord struct {
	data   []byte
	done   func(error)
	queued time.Time // When the record was appended.
	state  recordState
}

// recordQueue holds records in the order of appending. The journal's lock guards it.
type recordQueue struct {
	records []*pendingRecord // Settled ones are skipped.
	live    int              // Records in state queued.
	bytes   int              // Their size.
}

func (q *recordQueue) push(r *pendingRecord) {
	q.records = append(q.records, r)
	q.live++
	q.bytes += len(r.data)
}

// takeBatch removes the first records that fit into one slot and marks them as being written.
func (q *recordQueue) takeBatch() []*pendingRecord {
	batch, taken := q.nextBatch()
	for _, r := range batch {
		r.state = recordWriting
		q.forget(r)
	}
	q.drop(taken)
	return batch
}

// nextBatch returns the first records that fit into one slot, and how many places of the queue they take.
func (q *recordQueue) nextBatch() (batch []*pendingRecord, taken int) {
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
		taken++
	}
	return batch, taken
}

// putBack returns a batch whose write had no effect to the front of the queue.
func (q *recordQueue) putBack(batch []*pendingRecord) {
	for _, r := range batch {
		r.state = recordQueued
		q.live++
		q.bytes += len(r.data)
	}
	q.records = append(batch[:len(batch):len(batch)], q.records...)
}

// settle marks a queued record as settled. It returns false if the record is no longer queued.
func (q *recordQueue) settle(r *pendingRecord) bool {
	if r.state != recordQueued {
		return false
	}
	r.state = recordSettled
	q.forget(r)
	return true
}

// expire settles and returns the records that were appended until then. Their times rise with the position in the
// queue.
func (q *recordQueue) expire(until time.Time) []*pendingRecord {
	var expired []*pendingRecord
	taken := 0
	for _, r := range q.records {
		if r.state == recordQueued && r.queued.After(until) {
			break
		}
		if q.settle(r) {
			expired = append(expired, r)
		}
		taken++
	}
	q.drop(taken)
	return expired
}

// demand describes the queue to a Pacer.
func (q *recordQueue) demand() demand {
	if q.live == 0 {
		return demand{oldest: time.Now()}
	}
	d := demand{records: q.live, newest: q.records[len(q.records)-1].queued}
	for _, r := range q.records {
		if r.state == recordQueued {
			d.oldest = r.queued
			break
		}
	}
	return d
}

func (q *recordQueue) forget(r *pendingRecord) {
	q.live--
	q.bytes -= len(r.data)
}

// drop removes the first n records and lets go of an emptied array.
func (q *recordQueue) drop(n int) {
	q.records = q.records[n:]
	if len(q.records) == 0 {
		q.records = nil
	}
}
