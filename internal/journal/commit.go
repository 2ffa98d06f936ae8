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

// Shares of the ring.
const (
	snapshotShare   = 2 // A snapshot starts when one part in snapshotShare of the ring is not covered by the last one.
	reserveShare    = 8 // One part in reserveShare is kept for open, snapshot and closed records.
	minReserve      = 2 // Slots.
	expiryDivisions = 4 // Checks for expired records in each queue timeout.
)

// committer is the state of the goroutine that writes the slots.
type committer struct {
	revisions []int64 // Last known revision of each key of the ring.
	cover     uint64  // Slots up to this one are contained in the snapshot in force.
	snapshot  uint64  // Slot of its manifest; 0 means none.
	carried   []carriedSlot
	bytes     int // Stored since the snapshot in force was started.
	sizes     ringSizes
	delays    backoff.BackOff
	failed    int // Failed attempts that the next write counts, so that its timeout suits a slow service.
}

// newJournal starts the goroutines of an owned journal.
func newJournal(o Options, r ring, opened opening, rec recovered) *Journal {
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
			revisions: opened.revisions,
			cover:     h.Cover,
			snapshot:  h.Snapshot,
			carried:   h.Carried,
			bytes:     rec.bytes,
			sizes:     rec.sizes,
			delays:    newRetryDelays(),
		},
		chunks: rec.chunks,
	}
	j.advance(h.Slot + 1)
	j.tasks.Go(func() { j.expireRecords(ctx) })
	referenced := maps.Clone(rec.chunks)
	j.tasks.Go(func() { j.collectOrphans(ctx, referenced) })
	go j.run(ctx)
	return j
}

// run commits until the journal is closed, lost or stopped.
func (j *Journal) run(ctx context.Context) {
	err := j.commitAll(ctx)
	j.cancel()
	j.mu.Lock()
	j.failure = err
	j.closing = true
	refused := j.queue.expire(time.Now())
	refusal := j.refusal()
	j.mu.Unlock()
	if errors.Is(err, ErrDeposed) || errors.Is(err, ErrCorrupt) {
		j.log.Warn("journal lost", "error", err)
		ownershipsLost.Inc()
		close(j.deposed)
	}
	refuse(refused, refusal)
	close(j.stopped)
}

// work is what the committer does next.
type work int

// Kinds of work.
const (
	workNone work = iota
	workCapture
	workBatch
	workSnapshot
	workClose
)

func (j *Journal) commitAll(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return fmt.Errorf("journal %d was stopped: %w", j.options.ID, ctx.Err())
		}
		j.startSnapshot(ctx)
		var err error
		switch j.nextWork() {
		case workNone:
			j.idle(ctx)
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

func (j *Journal) nextWork() work {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case len(j.captures) > 0:
		return workCapture
	case j.ready != nil:
		return workSnapshot
	case j.queue.live > 0 && j.free() > j.reserve():
		return workBatch
	case j.queue.live == 0 && j.closing:
		return workClose
	default:
		return workNone
	}
}

// idle waits for work.
func (j *Journal) idle(ctx context.Context) {
	select {
	case <-j.wake:
	case <-ctx.Done():
	}
}

// free returns how many slots can be written without displacing one that the snapshot does not contain.
func (j *Journal) free() int {
	used := int(j.next - 1 - j.committer.cover)
	return max(0, j.options.RingSlots-used)
}

func (j *Journal) reserve() int { return max(minReserve, j.options.RingSlots/reserveShare) }

// advance sets the number of the next slot.
func (j *Journal) advance(next uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = next
}

// commitBatch writes the queued records that fit into one slot. Records that arrive while it waits for the pacer share
// the slot.
func (j *Journal) commitBatch(ctx context.Context) error {
	if err := j.options.Pacer.wait(ctx, j.demand); err != nil {
		return nil // The loop sees the end of ctx.
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

// finishBatch settles the records of a slot by the outcome of its write.
func (j *Journal) finishBatch(ctx context.Context, batch []*pendingRecord, result writeResult) error {
	switch result.outcome {
	case writeCommitted:
		j.settle(batch, nil)
		return nil
	case writeLost:
		err := j.deposedBy(result.winner)
		j.settle(batch, err)
		return err
	case writeNone:
		if permanent(result.err) {
			j.settle(batch, &UnavailableError{Journal: j.options.ID, Reason: "write refused", Err: result.err})
			return nil
		}
		j.putBack(batch)
		return j.failed(ctx, result.err)
	default:
		err := &PendingError{Journal: j.options.ID, Slot: j.next, Err: result.err}
		j.settle(batch, err)
		return err
	}
}

func (j *Journal) takeBatch() []*pendingRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.queue.takeBatch()
}

// putBack returns the records of a write without effect to the queue.
func (j *Journal) putBack(batch []*pendingRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queue.putBack(batch)
}

// demand describes the waiting records to the Pacer.
func (j *Journal) demand() demand {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.queue.demand()
}

// settle answers the records of a batch in their order. Called by the committer.
func (j *Journal) settle(batch []*pendingRecord, err error) {
	j.mu.Lock()
	for _, r := range batch {
		r.state = recordSettled
	}
	j.mu.Unlock()
	for _, r := range batch {
		if err == nil {
			recordsCommitted.Inc()
			commitSeconds.UpdateDuration(r.queued)
		}
		r.done(err)
	}
}

// failed waits after a write that had no effect.
func (j *Journal) failed(ctx context.Context, err error) error {
	j.log.Warn("write had no effect", "slot", j.next, "error", err)
	_ = sleep(ctx, j.committer.delays.NextBackOff()) // The loop sees the end of ctx.
	return nil
}

func (j *Journal) deposedBy(winner slot) error {
	return &DeposedError{
		Journal:      j.options.ID,
		Fence:        j.fence,
		By:           winner.Owner,
		NotCommitted: winner.Slot == j.next,
	}
}

// header returns the header of the next slot.
func (j *Journal) header(kind slotKind) header {
	return header{
		Slot:     j.next,
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

// writeSlot writes the next slot. The caller has waited for the pacer.
func (j *Journal) writeSlot(ctx context.Context, h header, records [][]byte) writeResult {
	value, err := encodeSlot(h, records)
	if err != nil {
		return writeResult{outcome: writeNone, err: err}
	}
	c := &j.committer
	w := slotWrite{
		ring:     j.ring,
		pacer:    j.options.Pacer,
		timeout:  j.options.WriteTimeout,
		header:   h,
		value:    value,
		expected: c.revisions[j.ring.index(h.Slot)],
		failed:   c.failed,
	}
	start := time.Now()
	result := w.run(ctx)
	result.stored = len(value)
	if result.outcome == writeCommitted {
		c.revisions[j.ring.index(h.Slot)] = result.revision
		c.bytes += result.stored
		c.sizes.set(j.ring.index(h.Slot), result.stored)
		c.delays.Reset()
		c.failed = min(w.failed, maxTimeoutGrowth)
		if time.Since(start) < j.options.WriteTimeout {
			c.failed = max(0, c.failed-1)
		}
		j.advance(h.Slot + 1)
	}
	return result
}

// commitSnapshot commits the manifest of a written snapshot, which frees the slots that it contains and the chunks that
// it does not name.
func (j *Journal) commitSnapshot(ctx context.Context) error {
	w := j.ready
	m := w.manifest()
	record, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode a manifest: %w", err)
	}
	if err := j.options.Pacer.Wait(ctx); err != nil {
		return nil // The loop sees the end of ctx.
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
		j.committer.bytes -= w.bytes
		j.finishSnapshot(ctx, m)
		return nil
	case writeLost:
		return j.deposedBy(result.winner)
	case writeNone:
		if permanent(result.err) {
			j.discardSnapshot(result.err)
			return nil
		}
		return j.failed(ctx, result.err)
	default:
		return &PendingError{Journal: j.options.ID, Slot: h.Slot, Err: result.err}
	}
}

// commitClosed writes the closed record. Without a free slot the successor waits as after a crash.
func (j *Journal) commitClosed(ctx context.Context) error {
	for j.free() > 0 {
		if err := j.options.Pacer.Wait(ctx); err != nil {
			return fmt.Errorf("close journal %d: %w", j.options.ID, err)
		}
		result := j.writeSlot(ctx, j.header(kindClosed), nil)
		switch result.outcome {
		case writeCommitted:
			return nil
		case writeLost:
			return j.deposedBy(result.winner)
		case writeUnknown:
			return &PendingError{Journal: j.options.ID, Slot: j.next, Err: result.err}
		}
		if err := j.failed(ctx, result.err); err != nil || ctx.Err() != nil {
			return fmt.Errorf("close journal %d: %w", j.options.ID, result.err)
		}
	}
	return nil
}

// expireRecords refuses records that have waited too long for a write.
func (j *Journal) expireRecords(ctx context.Context) {
	ticker := time.NewTicker(j.options.QueueTimeout / expiryDivisions)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			j.mu.Lock()
			expired := j.queue.expire(now.Add(-j.options.QueueTimeout))
			j.mu.Unlock()
			refuse(expired, &UnavailableError{Journal: j.options.ID, Reason: "no write began in time"})
		}
	}
}

// refuse answers records that were in no write.
func refuse(records []*pendingRecord, err error) {
	recordsRefused.Add(len(records))
	for _, r := range records {
		r.done(err)
	}
}
