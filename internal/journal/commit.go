package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Thresholds of the ring and the queue.
const (
	snapshotDivisor        = 2 // A snapshot starts when 1/snapshotDivisor of the ring's slots are not in the last one.
	reserveDivisor         = 8 // 1/reserveDivisor of the ring is kept free for open, snapshot and closed records.
	minReservedSlots       = 2 // Lower bound on the slots that are kept free.
	expiryChecksPerTimeout = 4 // Checks for expired records per queue timeout.
)

// committer is the state of the goroutine that writes slots.
type committer struct {
	revisions          []int64       // Last known revision of each key of the ring.
	cover              uint64        // The current snapshot contains the slots up to this one.
	snapshot           uint64        // Slot of the current snapshot's manifest; 0 means none.
	carried            []carriedSlot // Overwritten slots that the current snapshot does not contain.
	bytesSinceSnapshot int           // Stored bytes of the slots written since the current snapshot started.
	sizes              ringSizes
	retryDelays        backoff.BackOff
	failedAttempts     int // Failed attempts that the next write starts from, so that its timeout suits a slow service.
}

// newJournal returns an owned journal after recovery and starts its goroutines.
func newJournal(o Options, r ring, opened openRecord, recovered recoveryResult) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	h := opened.header
	j := &Journal{
		options: o,
		ring:    r,
		fence:   h.Fence,
		log:     o.Logger.With("journal", o.ID, "fence", h.Fence),
		cancel:  cancel,
		stopped: make(chan struct{}),
		deposed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		committer: committer{
			revisions:          opened.revisions,
			cover:              h.Cover,
			snapshot:           h.Snapshot,
			carried:            h.Carried,
			bytesSinceSnapshot: recovered.appliedBytes,
			sizes:              recovered.sizes,
			retryDelays:        newRetryDelays(),
		},
		storedChunks: recovered.chunks,
	}
	j.setNextSlot(h.Slot + 1)
	j.background.Go(func() { j.expireRecords(ctx) })
	referenced := maps.Clone(recovered.chunks)
	j.background.Go(func() { j.collectOrphans(ctx, referenced) })
	go j.run(ctx)
	return j
}

// run commits records until the journal is closed or stopped or its ownership is lost.
func (j *Journal) run(ctx context.Context) {
	err := j.commitAll(ctx)
	j.cancel()
	j.mu.Lock()
	j.stopCause = err
	j.closing = true
	rejected := j.queue.expire(time.Now())
	rejection := j.stoppedError()
	j.mu.Unlock()
	if errors.Is(err, ErrDeposed) || errors.Is(err, ErrCorrupt) {
		j.log.Warn("journal ownership lost", "error", err)
		ownershipsLost.Inc()
		close(j.deposed)
	}
	rejectRecords(rejected, rejection)
	close(j.stopped)
}

// work is the kind of the committer's next step.
type work int

// Kinds of work.
const (
	workNone work = iota
	workCapture
	workBatch
	workSnapshot
	workClose
)

// commitAll runs the committer's loop. It returns nil after the closed record has been written.
func (j *Journal) commitAll(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return fmt.Errorf("journal %d was stopped: %w", j.options.ID, ctx.Err())
		}
		j.startSnapshot(ctx)
		var err error
		switch j.nextWork() {
		case workNone:
			j.waitForWork(ctx)
		case workCapture:
			j.runCaptures()
		case workBatch:
			err = j.commitBatch(ctx)
		case workSnapshot:
			err = j.commitSnapshot(ctx)
		case workClose:
			return j.commitClosed(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// nextWork returns the next step. Captures and finished snapshots go before records, and the closed record is written
// only when the queue is empty.
func (j *Journal) nextWork() work {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case len(j.captures) > 0:
		return workCapture
	case j.readySnapshot != nil:
		return workSnapshot
	case j.queue.queuedCount > 0 && j.freeSlots() > j.reservedSlots():
		return workBatch
	case j.queue.queuedCount == 0 && j.closing:
		return workClose
	default:
		return workNone
	}
}

// waitForWork returns when the committer is woken or ctx ends.
func (j *Journal) waitForWork(ctx context.Context) {
	select {
	case <-j.wake:
	case <-ctx.Done():
	}
}

// freeSlots returns how many slots can be written without overwriting one that the current snapshot does not contain.
func (j *Journal) freeSlots() int {
	used := int(j.nextSlot - 1 - j.committer.cover)
	return max(0, j.options.RingSlots-used)
}

// reservedSlots returns how many free slots batches must leave for open, snapshot and closed records.
func (j *Journal) reservedSlots() int {
	return max(minReservedSlots, j.options.RingSlots/reserveDivisor)
}

// setNextSlot sets the number of the next slot.
func (j *Journal) setNextSlot(next uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nextSlot = next
}

// commitBatch writes the queued records that fit into one slot. It takes them from the queue after the pacer's wait, so
// that records which arrive meanwhile share the slot.
func (j *Journal) commitBatch(ctx context.Context) error {
	if err := j.options.Pacer.wait(ctx, j.demand); err != nil {
		return nil // commitAll checks ctx.
	}
	batch := j.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	records := make([][]byte, len(batch))
	for i, r := range batch {
		records[i] = r.data
	}
	return j.finishBatch(ctx, batch, j.writeSlot(ctx, j.header(kindBatch), records))
}

// finishBatch completes the records of a batch, or returns them to the queue, depending on the outcome of the slot's
// write.
func (j *Journal) finishBatch(ctx context.Context, batch []*pendingRecord, result writeResult) error {
	switch result.outcome {
	case writeCommitted:
		j.completeBatch(batch, nil)
		return nil
	case writeLost:
		err := j.deposedError(result.winner)
		j.completeBatch(batch, err)
		return err
	case writeNoEffect:
		if isPermanent(result.err) {
			j.completeBatch(batch, &UnavailableError{Journal: j.options.ID, Reason: "the write was rejected", Err: result.err})
			return nil
		}
		j.putBack(batch)
		return j.backOff(ctx, result.err)
	default:
		err := &PendingError{Journal: j.options.ID, Slot: j.nextSlot, Err: result.err}
		j.completeBatch(batch, err)
		return err
	}
}

func (j *Journal) takeBatch() []*pendingRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.queue.takeBatch()
}

// putBack returns the records of a write that had no effect to the queue.
func (j *Journal) putBack(batch []*pendingRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queue.putBack(batch)
}

// demand describes the queued records to the Pacer.
func (j *Journal) demand() demand {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.queue.demand()
}

// completeBatch reports the outcome to the records of a batch, in their order. It is called by the committer only.
func (j *Journal) completeBatch(batch []*pendingRecord, err error) {
	j.mu.Lock()
	for _, r := range batch {
		r.state = recordCompleted
	}
	j.mu.Unlock()
	for _, r := range batch {
		if err == nil {
			recordsCommitted.Inc()
			commitSeconds.UpdateDuration(r.queuedAt)
		}
		r.done(err)
	}
}

// backOff waits after a write that had no effect.
func (j *Journal) backOff(ctx context.Context, err error) error {
	j.log.Warn("write had no effect", "slot", j.nextSlot, "error", err)
	_ = sleep(ctx, j.committer.retryDelays.NextBackOff()) // commitAll checks ctx.
	return nil
}

// deposedError returns the error after a write lost against another owner's slot. The write is known not to be
// committed only if the winner has the same slot number. A higher number means that the ring has wrapped past the slot.
func (j *Journal) deposedError(winner slot) error {
	return &DeposedError{
		Journal:      j.options.ID,
		Fence:        j.fence,
		NewOwner:     winner.Owner,
		NotCommitted: winner.Slot == j.nextSlot,
	}
}

// header returns the header of the next slot.
func (j *Journal) header(kind slotKind) header {
	return header{
		Slot:     j.nextSlot,
		Kind:     kind,
		Write:    newWriteID(),
		Fence:    j.fence,
		Owner:    j.options.Owner,
		Ring:     j.options.RingSlots,
		Cover:    j.committer.cover,
		Snapshot: j.committer.snapshot,
		Carried:  j.committer.carried,
		Stored:   j.committer.sizes.total(),
	}
}

// writeSlot writes the next slot. The caller must have waited for the pacer.
func (j *Journal) writeSlot(ctx context.Context, h header, records [][]byte) writeResult {
	value, err := encodeSlot(h, records)
	if err != nil {
		return writeResult{outcome: writeNoEffect, err: err}
	}
	c := &j.committer
	w := slotWrite{
		ring:           j.ring,
		pacer:          j.options.Pacer,
		timeout:        j.options.WriteTimeout,
		header:         h,
		value:          value,
		expected:       c.revisions[j.ring.index(h.Slot)],
		failedAttempts: c.failedAttempts,
	}
	start := time.Now()
	result := w.run(ctx)
	result.storedBytes = len(value)
	if result.outcome == writeCommitted {
		c.revisions[j.ring.index(h.Slot)] = result.revision
		c.bytesSinceSnapshot += result.storedBytes
		c.sizes.set(j.ring.index(h.Slot), result.storedBytes)
		c.retryDelays.Reset()
		c.failedAttempts = min(w.failedAttempts, maxTimeoutDoublings)
		if time.Since(start) < j.options.WriteTimeout {
			c.failedAttempts = max(0, c.failedAttempts-1)
		}
		j.setNextSlot(h.Slot + 1)
	}
	return result
}

// commitSnapshot commits the manifest of a written snapshot. The slots that the snapshot contains may be overwritten
// from then on, and the chunks that it does not refer to are deleted.
func (j *Journal) commitSnapshot(ctx context.Context) error {
	w := j.readySnapshot
	m := w.manifest()
	record, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode snapshot manifest: %w", err)
	}
	if err := j.options.Pacer.Wait(ctx); err != nil {
		return nil // commitAll checks ctx.
	}
	h := j.header(kindSnapshot)
	h.Cover = w.cover
	h.Snapshot = h.Slot
	h.Carried = carriedAfter(h.Carried, w.cover)
	result := j.writeSlot(ctx, h, [][]byte{record})
	switch result.outcome {
	case writeCommitted:
		j.committer.cover = h.Cover
		j.committer.snapshot = h.Slot
		j.committer.carried = h.Carried
		j.committer.bytesSinceSnapshot -= w.replacedBytes
		j.finishSnapshot(ctx, m)
		return nil
	case writeLost:
		return j.deposedError(result.winner)
	case writeNoEffect:
		if isPermanent(result.err) {
			j.discardSnapshot(result.err)
			return nil
		}
		return j.backOff(ctx, result.err)
	default:
		return &PendingError{Journal: j.options.ID, Slot: h.Slot, Err: result.err}
	}
}

// commitClosed writes the closed record. If no slot is free, none is written and the successor waits as after a crash.
func (j *Journal) commitClosed(ctx context.Context) error {
	for j.freeSlots() > 0 {
		if err := j.options.Pacer.Wait(ctx); err != nil {
			return fmt.Errorf("close journal %d: %w", j.options.ID, err)
		}
		result := j.writeSlot(ctx, j.header(kindClosed), nil)
		switch result.outcome {
		case writeCommitted:
			return nil
		case writeLost:
			return j.deposedError(result.winner)
		case writeUnknown:
			return &PendingError{Journal: j.options.ID, Slot: j.nextSlot, Err: result.err}
		}
		if err := j.backOff(ctx, result.err); err != nil || ctx.Err() != nil {
			return fmt.Errorf("close journal %d: %w", j.options.ID, result.err)
		}
	}
	return nil
}

// expireRecords rejects records that have waited for a write longer than the queue timeout.
func (j *Journal) expireRecords(ctx context.Context) {
	ticker := time.NewTicker(j.options.QueueTimeout / expiryChecksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			j.mu.Lock()
			expired := j.queue.expire(now.Add(-j.options.QueueTimeout))
			j.mu.Unlock()
			rejectRecords(expired, &UnavailableError{Journal: j.options.ID, Reason: "no write started in time"})
		}
	}
}

// rejectRecords completes records that no write contained with an error.
func rejectRecords(records []*pendingRecord, err error) {
	recordsRefused.Add(len(records))
	for _, r := range records {
		r.done(err)
	}
}
