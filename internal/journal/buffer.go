package journal

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Shape of a group of holders.
const (
	GroupSize  = 3 // Holders that the owner names.
	holdQuorum = 2 // Holders that suffice; any two of the group meet any other two in one.
)

// Holder names a sidecar that may hold entries, in one incarnation: another one has forgotten them.
type Holder struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Gap says that records which an owner acknowledged may be missing before a slot.
type Gap struct {
	Slot uint64 `json:"slot"` // Of the open record whose writer could not collect what the former owner had left.
	AtMS int64  `json:"at"`   // Unix time in milliseconds.
}

// Buffer reaches the holders, which keep batches in memory while the key-value service is away. It is safe for
// concurrent use.
type Buffer interface {
	// Group returns the holders that an owner should name: the present ones while they will do, otherwise GroupSize
	// others in different failure domains, or none.
	Group(journal int, present []Holder) []Holder
	// Hold asks a holder to hold an entry.
	Hold(ctx context.Context, h Holder, r *api.HoldRequest) (api.HoldState, error)
	// Seal asks a holder to refuse further entries of an ownership and to return those that it holds. A holder whose
	// VM is known to be gone counts as one that has forgotten.
	Seal(ctx context.Context, h Holder, r *api.SealRequest) (api.SealResponse, error)
	// Drop asks a holder to forget entries that are stored.
	Drop(ctx context.Context, h Holder, r *api.DropRequest) error
}

// entry is a batch of records with its number. An entry that is in a write keeps its content.
type entry struct {
	number uint64
	batch  []*pendingRecord
	size   int       // Bytes.
	began  time.Time // When the entry was formed.
	sent   bool      // A holder may have it: its records may come into the journal by way of a successor.
	held   bool      // Its records are acknowledged.
}

func (e *entry) records() [][]byte {
	records := make([][]byte, len(e.batch))
	for i, r := range e.batch {
		records[i] = r.data
	}
	return records
}

// bufferState is what an owner knows of its entries. The journal's lock guards it.
type bufferState struct {
	group    []Holder  // Named by the newest committed slot.
	changing bool      // A slot that names another group is being written: until then nothing can be held.
	regroup  bool      // The group should be changed though there is nothing to commit.
	entries  []*entry  // Not known to be stored, in the order of their numbers.
	last     uint64    // Number of the last entry.
	stored   uint64    // Number of the last stored entry.
	dropDue  bool      // Holders may have entries that are stored, of this ownership or of earlier ones.
	failing  time.Time // When the service took the last write that it has not confirmed; zero while it answers.
	gap      *Gap
}

// acknowledged reports whether records are acknowledged that no slot is known to contain.
func (b *bufferState) acknowledged() bool { return len(b.entries) > 0 && b.entries[0].sent }

func (b *bufferState) bytes() int {
	n := 0
	for _, e := range b.entries {
		n += e.size
	}
	return n
}

// Gap returns the last loss of acknowledged records, false if there was none.
func (j *Journal) Gap() (Gap, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.buffer.gap == nil {
		return Gap{}, false
	}
	return *j.buffer.gap, true
}

// noteFailing notes the start of a write, or with the zero time that one was committed.
func (j *Journal) noteFailing(start time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if start.IsZero() || j.buffer.failing.IsZero() {
		j.buffer.failing = start
	}
}

// newEntry forms the next entry from queued records, nil if there are none. Called with mu held.
func (j *Journal) newEntry() *entry {
	_, size, _ := j.queue.nextBatch()
	batch := j.queue.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	b := &j.buffer
	b.last++
	e := &entry{number: b.last, batch: batch, size: size, began: time.Now()}
	b.entries = append(b.entries, e)
	return e
}

// takeEntries returns the entries for the next slot: those left from before, as many as fit, or a new one.
func (j *Journal) takeEntries() []*entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.buffer.entries) == 0 {
		j.newEntry()
	}
	var taken []*entry
	size := 0
	for _, e := range j.buffer.entries {
		size += e.size
		if len(taken) > 0 && size > maxBatchBytes {
			break
		}
		taken = append(taken, e)
	}
	return taken
}

// removeEntries removes the first entries, which are stored.
func (j *Journal) removeEntries(entries []*entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.buffer.entries = j.buffer.entries[len(entries):]
	j.buffer.stored = entries[len(entries)-1].number
	j.buffer.dropDue = j.buffer.dropDue || entries[0].sent
	if len(j.buffer.entries) == 0 {
		j.buffer.entries = nil
	}
	j.signalHold()
}

// settleEntries answers the records of entries that have no answer yet.
func (j *Journal) settleEntries(entries []*entry, err error) {
	j.acks.Lock()
	defer j.acks.Unlock()
	for _, e := range entries {
		outcome := err
		if d, ok := err.(*DeposedError); ok && e.sent {
			outcome = &DeposedError{Journal: d.Journal, Fence: d.Fence, By: d.By}
		}
		j.settle(e.batch, outcome)
	}
}

// putBack returns the records of a write without effect to the queue, or refuses them if no write can carry them. It
// leaves entries that a holder may have. It reports whether the write is to be tried again.
func (j *Journal) putBack(entries []*entry, cause error) bool {
	j.mu.Lock()
	for _, e := range entries {
		if e.sent {
			j.mu.Unlock()
			return true
		}
	}
	b := &j.buffer
	b.entries = nil // Entries after unsent ones are not formed.
	b.last = entries[0].number - 1
	if !permanent(cause) {
		for _, e := range entries {
			j.queue.putBack(e.batch)
		}
		j.mu.Unlock()
		return true
	}
	j.mu.Unlock()
	j.settleEntries(entries, &UnavailableError{Journal: j.options.ID, Reason: "write refused", Err: cause})
	return false
}

// abandonEntries answers what is left when the committer has ended. A successor may collect it.
func (j *Journal) abandonEntries(cause error) {
	j.mu.Lock()
	entries := j.buffer.entries
	j.mu.Unlock()
	err := cause
	if d, ok := cause.(*DeposedError); ok {
		err = &DeposedError{Journal: d.Journal, Fence: d.Fence, By: d.By}
	} else if len(entries) > 0 {
		err = &PendingError{Journal: j.options.ID, Err: cause}
	}
	j.settleEntries(entries, err)
}

// groupHeader returns the header of the next batch. It names another group when the present one will not do and holds
// nothing.
func (j *Journal) groupHeader() header {
	h := j.header(kindBatch)
	if j.options.Buffer == nil {
		return h
	}
	group := j.options.Buffer.Group(j.options.ID, h.Group)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.buffer.acknowledged() || sameGroup(group, j.buffer.group) {
		return h
	}
	j.buffer.changing = true
	h.Group = group
	return h
}

// regrouped takes in the outcome of a write that may have named another group.
func (j *Journal) regrouped(h header, outcome writeOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if outcome == writeCommitted && !sameGroup(h.Group, j.buffer.group) {
		j.buffer.group = h.Group
		j.buffer.dropDue = true
	}
	j.buffer.changing = false
	j.buffer.regroup = false
}

// commitGroup writes a slot without records that names another group.
func (j *Journal) commitGroup(ctx context.Context) error {
	if err := j.options.Pacer.Wait(ctx); err != nil {
		return nil // The loop sees the end of ctx.
	}
	h := j.groupHeader()
	result := j.writeSlot(ctx, h, nil)
	j.regrouped(h, result.outcome)
	switch result.outcome {
	case writeCommitted:
		return nil
	case writeLost:
		return j.deposedBy(result.winner)
	case writeNone:
		return j.failed(ctx, result.err)
	default:
		return &PendingError{Journal: j.options.ID, Slot: j.next, Err: result.err}
	}
}

func sameGroup(a, b []Holder) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
