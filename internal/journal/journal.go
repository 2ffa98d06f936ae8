// Package journal implements a write-ahead log with snapshots on top of the platform's key-value service. It makes the
// state of programs durable.
//
// A journal is a sequence of numbered slots in a ring of keys. Each slot is written by compare-and-swap against the
// last known revision of its key. The owner of a journal is the writer of its newest open record; the slot number of
// that record is the owner's fencing number. An owner that has been replaced learns so from its next write,
// independently of any clock.
package journal

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Defaults and limits of Options.
const (
	DefaultRingSlots     = 512
	DefaultWriteTimeout  = time.Second
	DefaultQueueTimeout  = 5 * time.Second
	DefaultQueueBytes    = 16 << 20
	DefaultSnapshotBytes = 32 << 20
	MinRingSlots         = 8
)

// Owner identifies one run of an entry process that owns journals.
type Owner struct {
	Entry       string `json:"entry"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// State is the state machine that a journal makes durable.
type State interface {
	// Restore replaces the state with the head chunks of a snapshot, in the order in which they were written. It is
	// called at most once, before Apply. Other chunks are read on demand with ReadChunk.
	Restore(chunks [][]byte) error
	// Apply applies a committed record during recovery, in commit order. If the snapshot was written without
	// SnapshotWriter.Capture, it may already contain the record.
	Apply(slot uint64, record []byte) error
	// Snapshot writes the state. It runs on its own goroutine while records are committed. The snapshot must contain
	// every record whose done function had returned when Snapshot was called, or, if Snapshot calls
	// SnapshotWriter.Capture, when the captured function ran. After an error the snapshot is discarded and retried
	// later.
	Snapshot(w *SnapshotWriter) error
}

// Options configures a Journal. KV, Owner and State are required.
type Options struct {
	KV        ports.KV
	ID        int
	Owner     Owner
	RingSlots int // Number of keys in the ring; fixed for the lifetime of the journal.
	// WriteTimeout limits the first attempt of a request; later attempts get up to 16 times as long. A timeout of KV
	// itself must not be shorter, or the answers of a slow service would never arrive in time.
	WriteTimeout  time.Duration
	QueueTimeout  time.Duration // Longest wait of a record for a write, after which it ends with ErrUnavailable.
	QueueBytes    int           // Limit on the total size of the records that wait for a write.
	SnapshotBytes int           // A snapshot starts when recovery would have to read this many stored bytes of slots.
	Pacer         *Pacer        // Limits writes; shared by the journals of a process. nil means unlimited.
	State         State
	Logger        *slog.Logger
}

// validate checks the required options and fills in the defaults.
func (o *Options) validate() error {
	if o.KV == nil || o.State == nil || o.Owner.Entry == "" {
		return fmt.Errorf("journal %d: the options KV, State and Owner are required", o.ID)
	}
	setDefault(&o.RingSlots, DefaultRingSlots)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.QueueTimeout, DefaultQueueTimeout)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	if o.RingSlots < MinRingSlots {
		return fmt.Errorf("journal %d: RingSlots is %d, below the minimum of %d", o.ID, o.RingSlots, MinRingSlots)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Journal is a journal that this process owns, or owned until it was deposed. All methods are safe for concurrent use.
type Journal struct {
	options Options
	ring    ring
	fence   uint64
	log     *slog.Logger

	cancel     context.CancelFunc // Stops all goroutines of the journal.
	stopped    chan struct{}      // Closed when the committer has ended.
	deposed    chan struct{}      // Closed when the ownership is known to be lost or the data is corrupt.
	wake       chan struct{}      // Wakes the committer; buffers one token.
	background sync.WaitGroup     // Goroutines other than the committer.

	committer committer // Used by the committer's goroutine only.

	mu            sync.Mutex // Guards the fields below.
	queue         recordQueue
	closing       bool                 // No new records are accepted.
	stopCause     error                // Why the committer has ended; nil while it runs and after a successful Close.
	captures      []capture            // Captures that wait for the committer.
	snapshotting  bool                 // A snapshot is being written, or the retry of a failed one is delayed.
	readySnapshot *SnapshotWriter      // A written snapshot whose manifest is not yet committed.
	storedChunks  map[ChunkID]struct{} // Chunks of the current snapshot and of carried slots, and chunks written since.
	chunkCount    uint64               // Number of chunks written under this fencing number.
	nextSlot      uint64               // Number of the next slot. Only the committer changes it, and it reads it without mu.
}
