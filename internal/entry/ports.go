package entry

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

// Journal is what the entry needs of a journal that it owns.
type Journal interface {
	// AppendThen returns when the record is committed. It calls committed in commit order, also when the wait has ended
	// before the commit.
	AppendThen(ctx context.Context, record []byte, committed func()) error
	// Fence identifies this ownership.
	Fence() api.Fence
	// Deposed is closed when another owner has taken the journal.
	Deposed() <-chan struct{}
	// Close hands the journal over.
	Close(ctx context.Context) error
}

// JournalHead is what the key-value service says of a journal's owner.
type JournalHead struct {
	Exists      bool
	Entry       string
	Incarnation string
	Address     string
	Closed      bool // The owner has handed it over.
	Fence       uint64
}

// Journals takes and inspects journals.
type Journals interface {
	// Take makes this entry the owner and replays the journal into store and book.
	Take(ctx context.Context, id int, store *program.Store, book *orders.Book) (Journal, error)
	// Head reads who owns the journal.
	Head(ctx context.Context, id int) (JournalHead, error)
	// ReadChunks reads chunks of the journal, in the order of their ids.
	ReadChunks(ctx context.Context, id int, chunks []string) ([][]byte, error)
}
