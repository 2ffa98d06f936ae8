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
	// ownershipTick is the time between two looks at which journals this entry should own.
	ownershipTick = 100 * time.Millisecond
	// takeLimit bounds one attempt to take a journal.
	takeLimit = 20 * time.Second
	// handOverLimit bounds the closing of one journal.
	handOverLimit = 5 * time.Second
)

// ownership keeps the journals that this entry owns: those that rendezvous hashing over the live entries gives it.
// Liveness only decides when to try; the journal's fencing number decides who owns.
type ownership struct {
	self      string
	count     int
	journals  Journals
	peers     *peers
	log       *slog.Logger
	deadAfter time.Duration
	started   time.Time
	reported  int // Owned journals at the last call of onChange; used by run alone.
	metrics   *entryMetrics
	onChange  func(owned int) // Called when the number of owned journals has changed.
	onLost    func(*shard)    // Called when an ownership has ended.

	mu      sync.RWMutex // Guards the fields below.
	shards  map[int]*shard
	taking  map[int]bool
	leaving bool
}

func newOwnership(self string, count int, journals Journals, peers *peers, log *slog.Logger, deadAfter time.Duration) *ownership {
	return &ownership{
		self: self, count: count, journals: journals, peers: peers, log: log, deadAfter: deadAfter,
		started: time.Now(), shards: make(map[int]*shard), taking: make(map[int]bool),
	}
}

// shard returns the owned journal or nil.
func (o *ownership) shard(journal int) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.shards[journal]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

// all returns the owned journals.
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

// address returns the internal address of the entry that owns the journal, or "".
func (o *ownership) address(journal int) string {
	address, _ := o.peers.owner(journal)
	return address
}

// observe steps down from journals that a peer owns under a higher fencing number.
func (o *ownership) observe(fences []api.Fence) {
	for _, f := range fences {
		s := o.shard(f.Journal)
		if s != nil && s.journal.Fence().Number < f.Number {
			o.log.Warn("journal taken by a peer", "journal", f.Journal, "fence", f.Number)
			s.cancel()
		}
	}
}

// run takes and hands over journals until ctx ends.
func (o *ownership) run(ctx context.Context) {
	ticker := time.NewTicker(ownershipTick)
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

// step looks at every journal once.
func (o *ownership) step(ctx context.Context) {
	ids := o.peers.candidates()
	if !o.isLeaving() {
		ids = append(ids, o.self)
	}
	for j := range o.count {
		o.stepJournal(ctx, j, rendezvous(j, ids))
	}
	if owned := len(o.all()); owned != o.reported {
		o.reported = owned
		o.onChange(owned)
	}
}

func (o *ownership) stepJournal(ctx context.Context, journal int, wanted string) {
	o.mu.Lock()
	s := o.shards[journal]
	if s != nil && s.ctx.Err() != nil {
		delete(o.shards, journal)
		s = nil
	}
	busy := o.taking[journal]
	start := !busy && (s == nil) == (wanted == o.self) && (s != nil || !o.leaving)
	if start {
		o.taking[journal] = true
	}
	o.mu.Unlock()
	if !start {
		return
	}
	go func() {
		defer o.idle(journal)
		if s == nil {
			o.tryTake(ctx, journal)
			return
		}
		o.handOver(ctx, s, wanted)
	}()
}

func (o *ownership) idle(journal int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.taking, journal)
}

func (o *ownership) isLeaving() bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.leaving
}

// tryTake takes the journal unless its owner is alive and has not handed it over.
func (o *ownership) tryTake(ctx context.Context, journal int) {
	ctx, cancel := context.WithTimeout(ctx, takeLimit)
	defer cancel()
	head, err := o.journals.Head(ctx, journal)
	if err != nil {
		o.log.Debug("journal head cannot be read", "journal", journal, "error", err)
		sleep(ctx, ownershipTick)
		return
	}
	if o.mustWait(head) {
		sleep(ctx, ownershipTick)
		return
	}
	began := time.Now()
	store := program.NewStore(journal)
	book := orders.NewBook()
	owned, err := o.journals.Take(ctx, journal, store, book)
	if err != nil {
		o.log.Warn("journal not taken", "journal", journal, "error", err)
		sleep(ctx, ownershipTick)
		return
	}
	o.metrics.takeovers.UpdateDuration(began)
	o.adopt(journal, store, book, owned)
	o.log.Info("journal taken", "journal", journal, "fence", owned.Fence().Number, "took", time.Since(began).String())
}

// mustWait reports whether the journal's present owner may still be serving it.
func (o *ownership) mustWait(head JournalHead) bool {
	if !head.Exists || head.Closed || head.Entry == o.self {
		return false
	}
	if o.peers.alive(head.Entry, head.Incarnation) {
		return true
	}
	return time.Since(o.started) < o.deadAfter // Not heard of yet, rather than dead.
}

// adopt makes the journal an owned one.
func (o *ownership) adopt(journal int, store *program.Store, book *orders.Book, owned Journal) {
	store.InheritReservations()
	s := newShard(journal, store, book, owned, o.journals, o.metrics.commits)
	go func() {
		select {
		case <-owned.Deposed():
			o.log.Warn("journal lost", "journal", journal)
			s.cancel()
		case <-s.ctx.Done():
		}
		o.onLost(s)
	}()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards[journal] = s
}

// handOver ends the ownership so that the wanted entry can take the journal. Calls under way go on at the new owner.
func (o *ownership) handOver(ctx context.Context, s *shard, wanted string) {
	o.log.Info("journal handed over", "journal", s.id, "to", wanted)
	s.cancel()
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	if err := s.journal.Close(ctx); err != nil {
		o.log.Warn("journal not closed", "journal", s.id, "error", err)
	}
}

// leave hands every journal over and takes no more.
func (o *ownership) leave(ctx context.Context) {
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
