package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/orders"
	"github.com/redwinggauge/redwinggauge/internal/program"
)

const (
	// ownershipInterval is the time between two checks of which journals this entry should own.
	ownershipInterval = 100 * time.Millisecond
	// takeTimeout is the timeout for one attempt to take a journal.
	takeTimeout = 20 * time.Second
	// handOverTimeout is the timeout for closing one journal.
	handOverTimeout = 5 * time.Second
)

// ownership takes and hands over journals, so that this entry owns those that rendezvous hashing over the live entries
// assigns to it. The view of which entries are alive only decides when to try to take a journal. The journal's fencing
// number decides who owns it.
type ownership struct {
	self          string
	journalCount  int
	journals      Journals
	peers         *peers
	log           *slog.Logger
	deadAfter     time.Duration
	started       time.Time
	reportedCount int // Number of owned journals at the last call of onChange; used only by the goroutine of run.
	metrics       *entryMetrics
	onChange      func(owned int) // Called when the number of owned journals has changed.
	onLost        func(*shard)    // Called when an ownership has ended.

	mu           sync.RWMutex // Guards the fields below.
	shards       map[int]*shard
	inTransition map[int]bool // Journals that are being taken or handed over.
	leaving      bool         // The entry is shutting down and takes no more journals.
}

func newOwnership(self string, count int, journals Journals, peers *peers, log *slog.Logger, deadAfter time.Duration) *ownership {
	return &ownership{
		self: self, journalCount: count, journals: journals, peers: peers, log: log, deadAfter: deadAfter,
		started: time.Now(), shards: make(map[int]*shard), inTransition: make(map[int]bool),
	}
}

// shard returns the shard of the journal, or nil if this entry does not own it.
func (o *ownership) shard(journal int) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.shards[journal]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

// all returns the shards of the owned journals in no particular order.
func (o *ownership) all() []*shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make([]*shard, 0, len(o.shards))
	for _, s := range o.shards {
		if s.ctx.Err() == nil {
			out = append(out, s)
		}
	}
	return out
}

// fences returns the fences of the owned journals.
func (o *ownership) fences() []api.Fence {
	shards := o.all()
	out := make([]api.Fence, 0, len(shards))
	for _, s := range shards {
		out = append(out, s.journal.Fence())
	}
	return out
}

// ownerAddress returns the internal address of the other entry that owns the journal, or "" if none is known.
func (o *ownership) ownerAddress(journal int) string {
	address, _ := o.peers.owner(journal)
	return address
}

// observeFences ends the ownership of journals for which a higher fencing number is reported, since another entry owns
// them.
func (o *ownership) observeFences(fences []api.Fence) {
	for _, f := range fences {
		s := o.shard(f.Journal)
		if s != nil && s.journal.Fence().Number < f.Number {
			o.log.Warn("journal owned by a peer under a higher fencing number", "journal", f.Journal, "fence", f.Number)
			s.cancel()
		}
	}
}

// run checks the ownership of all journals every ownershipInterval until ctx ends.
func (o *ownership) run(ctx context.Context) {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step checks the ownership of every journal once and calls onChange if the number of owned journals has changed.
func (o *ownership) step(ctx context.Context) {
	ids := o.peers.candidates()
	if !o.isLeaving() {
		ids = append(ids, o.self)
	}
	for j := range o.journalCount {
		o.stepJournal(ctx, j, rendezvousOwner(j, ids))
	}
	if owned := len(o.all()); owned != o.reportedCount {
		o.reportedCount = owned
		o.onChange(owned)
	}
}

// stepJournal starts to take or hand over one journal if this is needed for the wanted entry to own it. It does nothing
// while the journal is already being taken or handed over.
func (o *ownership) stepJournal(ctx context.Context, journal int, wanted string) {
	o.mu.Lock()
	s := o.shards[journal]
	if s != nil && s.ctx.Err() != nil {
		delete(o.shards, journal)
		s = nil
	}
	inTransition := o.inTransition[journal]
	start := !inTransition && (s == nil) == (wanted == o.self) && (s != nil || !o.leaving)
	if start {
		o.inTransition[journal] = true
	}
	o.mu.Unlock()
	if !start {
		return
	}
	go func() {
		defer o.endTransition(journal)
		if s == nil {
			o.tryTake(ctx, journal)
			return
		}
		o.handOver(ctx, s, wanted)
	}()
}

// endTransition records that the journal is no longer being taken or handed over.
func (o *ownership) endTransition(journal int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inTransition, journal)
}

func (o *ownership) isLeaving() bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.leaving
}

// tryTake takes the journal unless its current owner may still serve it.
func (o *ownership) tryTake(ctx context.Context, journal int) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	head, err := o.journals.Head(ctx, journal)
	if err != nil {
		o.log.Debug("journal head cannot be read", "journal", journal, "error", err)
		sleep(ctx, ownershipInterval)
		return
	}
	if o.ownerMayServe(head) {
		sleep(ctx, ownershipInterval)
		return
	}
	began := time.Now()
	store := program.NewStore(journal)
	book := orders.NewBook()
	owned, err := o.journals.Take(ctx, journal, store, book)
	if err != nil {
		o.log.Warn("journal not taken", "journal", journal, "error", err)
		sleep(ctx, ownershipInterval)
		return
	}
	o.metrics.takeoverSeconds.UpdateDuration(began)
	o.addShard(journal, store, book, owned)
	o.log.Info("journal taken", "journal", journal, "fence", owned.Fence().Number, "took", time.Since(began).String())
}

// ownerMayServe reports whether the journal's current owner may still be serving it.
func (o *ownership) ownerMayServe(head JournalHead) bool {
	if !head.Exists || head.Closed || head.Entry == o.self {
		return false
	}
	if o.peers.alive(head.Entry, head.Incarnation) {
		return true
	}
	// Just after the start of this entry, the owner may be alive although its state is not known yet.
	return time.Since(o.started) < o.deadAfter
}

// addShard registers the taken journal as owned. It starts a goroutine that ends the ownership when the journal is deposed,
// and that calls onLost once the ownership has ended for any reason.
func (o *ownership) addShard(journal int, store *program.Store, book *orders.Book, owned Journal) {
	store.InheritReservations()
	s := newShard(journal, store, book, owned, o.journals, o.metrics.commitSeconds)
	go func() {
		select {
		case <-owned.Deposed():
			o.log.Warn("journal ownership lost", "journal", journal)
			s.cancel()
		case <-s.ctx.Done():
		}
		o.onLost(s)
	}()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards[journal] = s
}

// handOver ends the ownership and closes the journal so that the wanted entry can take it. Calls in progress continue at the
// new owner. wanted is used only in the log.
func (o *ownership) handOver(ctx context.Context, s *shard, wanted string) {
	o.log.Info("journal handed over", "journal", s.id, "to", wanted)
	s.cancel()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := s.journal.Close(ctx); err != nil {
		o.log.Warn("journal not closed", "journal", s.id, "error", err)
	}
}

// handOverAll hands over every journal and takes no more.
func (o *ownership) handOverAll(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	var group sync.WaitGroup
	for _, s := range o.all() {
		group.Add(1)
		go func() {
			defer group.Done()
			o.handOver(ctx, s, "")
		}()
	}
	group.Wait()
}
