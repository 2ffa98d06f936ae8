package entry

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// Journal is a journal that this entry owns.
type Journal interface {
	// AppendThen appends the record and returns when it is committed or ctx ends. It calls committed in commit order,
	// even if the commit happens after ctx has ended.
	AppendThen(ctx context.Context, record []byte, committed func()) error
	// Fence returns the fencing token of this ownership.
	Fence() api.Fence
	// Deposed returns a channel that is closed when another entry is known to have taken over the journal, or when the
	// journal's stored data is found to be corrupt.
	Deposed() <-chan struct{}
	// Close marks the journal as handed over, so that another entry can take it without waiting.
	Close(ctx context.Context) error
}

// JournalHead is the record of a journal's owner in the key-value service.
type JournalHead struct {
	Exists      bool   // False if the journal has never been opened.
	Entry       string // Id of the owner.
	Incarnation string
	Address     string // Internal address of the owner.
	Closed      bool   // The owner has handed over the journal.
	Fence       uint64 // Fencing number of the ownership.
}

// Journals gives access to the journals in the key-value service.
type Journals interface {
	// Take makes this entry the owner of the journal and replays the journal into store and book.
	Take(ctx context.Context, id int, store *program.Store, book *orders.Book) (Journal, error)
	// Head reads the record of the journal's owner.
	Head(ctx context.Context, id int) (JournalHead, error)
	// ReadChunks reads the journal's snapshot chunks with the given ids, in the order of chunks.
	ReadChunks(ctx context.Context, id int, chunks []string) ([][]byte, error)
}
