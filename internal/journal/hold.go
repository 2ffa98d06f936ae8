package journal

import (
	"context"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Times and limits of holding.
const (
	holdAfter      = time.Second            // How long a write is tried before batches are held.
	holdTimeout    = 500 * time.Millisecond // Of one request to a holder.
	holdRetryDelay = 100 * time.Millisecond
	holdLimit      = 15 * time.Minute // Age of the oldest entry beyond which no more are held; below what holders keep.
	bufferLimit    = 16 << 20         // Bytes of entries of one journal.
	groupInterval  = 5 * time.Second  // Least time between two checks of an idle journal's group.
	dropAttempts   = 30
)

// signalHold wakes the holding goroutine.
func (j *Journal) signalHold() {
	select {
	case j.hold <- struct{}{}:
	default:
	}
}

// holdEntries holds entries while the service does not confirm a write, one after another, and acknowledges each when
// it is held: their order is that of their numbers. It drops them after they were stored.
func (j *Journal) holdEntries(ctx context.Context) {
	ticker := time.NewTicker(holdRetryDelay)
	defer ticker.Stop()
	checked := time.Time{}
	for {
		if e, group := j.nextToHold(time.Now()); e != nil {
			if j.holdEntry(ctx, e, group) {
				j.acknowledge(e)
				continue
			}
		} else {
			j.dropStored(ctx)
			if time.Since(checked) >= groupInterval {
				checked = time.Now()
				j.checkGroup()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-j.hold:
		case <-ticker.C:
		}
	}
}

// nextToHold returns the first entry that is not held, forming one from queued records if need be, and the group to
// hold it; nil when nothing is to be held.
func (j *Journal) nextToHold(now time.Time) (*entry, []Holder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := &j.buffer
	if len(b.group) != GroupSize || b.changing || b.failing.IsZero() || now.Sub(b.failing) < holdAfter {
		return nil, nil
	}
	if len(b.entries) > 0 && now.Sub(b.entries[0].began) > holdLimit {
		return nil, nil
	}
	for _, e := range b.entries {
		if !e.held {
			e.sent = true
			return e, b.group
		}
	}
	if j.failure != nil || !j.roomToHold() {
		return nil, nil
	}
	e := j.newEntry()
	if e == nil {
		return nil, nil
	}
	e.sent = true
	return e, b.group
}

// roomToHold reports whether the queue's next batch can be held: all entries must fit into the slots that can be
// written before a snapshot, as none is captured while entries are held. Called with mu held.
func (j *Journal) roomToHold() bool {
	slots := j.free() - j.reserve()
	if len(j.buffer.entries) > 0 {
		slots-- // The slot of the write that is under way.
	}
	_, size, _ := j.queue.nextBatch()
	total := size + j.buffer.bytes()
	if slots < 1 || total > bufferLimit {
		return false
	}
	return total <= max(1, slots/2)*maxBatchBytes
}

// holdEntry sends the entry to the group and returns when holdQuorum holders have it, or when too few do.
func (j *Journal) holdEntry(ctx context.Context, e *entry, group []Holder) bool {
	data, err := encodeSlot(header{Kind: kindBatch, Fence: j.fence, Held: e.number}, e.records())
	if err != nil {
		j.log.Warn("entry not encoded", "error", err)
		return false
	}
	began := time.Now()
	answers := make(chan bool, len(group))
	for _, h := range group {
		r := &api.HoldRequest{Fence: j.Fence(), Incarnation: h.Incarnation, Number: e.number, Data: data}
		j.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, holdTimeout)
			defer cancel()
			state, err := j.options.Buffer.Hold(ctx, h, r)
			answers <- err == nil && state == api.HoldDone
		})
	}
	held := 0
	for range group {
		if <-answers {
			held++
		}
		if held == holdQuorum {
			holdSeconds.UpdateDuration(began)
			bytesHeld.Add(len(data))
			entriesHeld.Inc()
			return true
		}
	}
	holdsFailed.Inc()
	return false
}

// acknowledge answers the records of a held entry, unless its slot was committed first.
func (j *Journal) acknowledge(e *entry) {
	j.mu.Lock()
	e.held = true
	j.mu.Unlock()
	j.settleEntries([]*entry{e}, nil)
}

// dropStored lets the holders forget stored entries.
func (j *Journal) dropStored(ctx context.Context) {
	j.mu.Lock()
	b := &j.buffer
	through, group, due := b.stored, b.group, b.dropDue
	j.mu.Unlock()
	if !due || !j.drop(ctx, group, through) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	b.dropDue = b.stored != through
}

// dropFormer lets the holders of the former owner forget what it left. A holder that cannot be reached gives it up by
// itself later.
func (j *Journal) dropFormer(ctx context.Context, group []Holder) {
	for range dropAttempts {
		if len(group) == 0 || j.drop(ctx, group, 0) || sleep(ctx, time.Second) != nil {
			return
		}
	}
}

// drop reports whether every holder has answered.
func (j *Journal) drop(ctx context.Context, group []Holder, through uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	failed := make(chan error, len(group))
	for _, h := range group {
		tasks.Go(func() {
			if err := j.options.Buffer.Drop(ctx, h, &api.DropRequest{Fence: j.Fence(), Through: through}); err != nil {
				failed <- err
			}
		})
	}
	tasks.Wait()
	return len(failed) == 0
}

// checkGroup asks the committer of an idle journal to name another group when the present one will not do.
func (j *Journal) checkGroup() {
	j.mu.Lock()
	present, busy := j.buffer.group, !j.buffer.failing.IsZero()
	j.mu.Unlock()
	if busy || sameGroup(j.options.Buffer.Group(j.options.ID, present), present) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.buffer.regroup = true
	j.signal()
}
