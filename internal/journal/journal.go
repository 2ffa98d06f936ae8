// Package journal keeps the state of programs durable in the platform's key-value service. A journal is a chain of
// numbered slots in a ring of keys, each written by compare-and-swap against the key's last known revision. The owner
// of a journal is the writer of its newest open record, whose slot number is the fencing number; an owner that has been
// replaced learns it from its next write, whatever its clock says.
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

// Owner identifies one run of an entry process.
type Owner struct {
	Entry       string `json:"entry"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// State is the state machine that a journal makes durable.
type State interface {
	// Restore replaces the state by the head chunks of a snapshot, in the order of writing. It is called at most once,
	// before Apply. Other chunks are read with ReadChunk when they are needed.
	Restore(chunks [][]byte) error
	// Apply applies a committed record during recovery, in commit order. A snapshot that was written without
	// SnapshotWriter.Capture may contain the record already.
	Apply(slot uint64, record []byte) error
	// Snapshot writes the state. It runs on a goroutine of its own while records are committed. The snapshot must
	// contain every record whose done function had returned when Snapshot was called or, if Snapshot calls
	// SnapshotWriter.Capture, when the captured function ran. An error discards the snapshot; it is tried again.
	Snapshot(w *SnapshotWriter) error
}

// Options configure a Journal. KV, Owner and State are required.
type Options struct {
	KV        ports.KV
	ID        int
	Owner     Owner
	RingSlots int // Keys in the ring; fixed for the life of the journal.
	// WriteTimeout limits the first attempt of a request; later attempts get up to 16 times as much. A limit of the
	// KV's own must not be shorter, as a slow service would never be heard.
	WriteTimeout  time.Duration
	QueueTimeout  time.Duration // Limit on a record's wait for a write, after which it is refused as not committed.
	QueueBytes    int           // Limit on the records that wait for a write.
	SnapshotBytes int           // Stored bytes to recover that cause a snapshot.
	Pacer         *Pacer        // Shared by the journals of a process; nil means unlimited.
	State         State
	Logger        *slog.Logger
}

// validate fills in the defaults.
func (o *Options) validate() error {
	if o.KV == nil || o.State == nil || o.Owner.Entry == "" {
		return fmt.Errorf("journal %d: options need a key-value service, a state and an owner", o.ID)
	}
	setDefault(&o.RingSlots, DefaultRingSlots)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.QueueTimeout, DefaultQueueTimeout)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	if o.RingSlots < MinRingSlots {
		return fmt.Errorf("journal %d: a ring of %d slots is below the minimum of %d", o.ID, o.RingSlots, MinRingSlots)
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

// Journal is an owned journal. All methods are safe for concurrent use.
type Journal struct {
	options Options
	ring    ring
	fence   uint64
	log     *slog.Logger

	cancel  context.CancelFunc // Ends every goroutine of the journal.
	stopped chan struct{}      // Closed when the committer has ended.
	deposed chan struct{}      // Closed when the ownership is known to be lost.
	wake    chan struct{}      // Tells the committer that there is work; holds one token.
	tasks   sync.WaitGroup     // Goroutines besides the committer.

	committer committer // Used by the committer's goroutine only.

	mu           sync.Mutex // Guards the fields below.
	queue        recordQueue
	closing      bool
	failure      error // Why the committer has ended; nil while it runs and after a clean end.
	captures     []capture
	snapshotting bool
	ready        *SnapshotWriter      // A snapshot whose manifest waits to be committed.
	chunks       map[ChunkID]struct{} // Stored chunks that are not freed: those in force and those written since.
	chunkCount   uint64               // Chunks written under this fencing number.
	next         uint64               // Number of the next slot; only the committer changes it.
}
