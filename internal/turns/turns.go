// Package turns stores the inputs and outputs of the turns of programs, so that a request only needs to carry the new input.
//
// Invariant: a turn whose answer was completed to its caller is in the key-value service until its retention time is over.
// A process therefore writes the turn before it completes the answer. A record never changes, so a stale copy is correct.
package turns

import (
	"bytes"
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// ErrUnknown means that the turn is not in the key-value service.
var ErrUnknown = errors.New("no turn with this id is kept")

// ErrOtherOrganisation means that the turn belongs to another organisation. Callers are told the same as for ErrUnknown.
var ErrOtherOrganisation = fmt.Errorf("the organisation has none: %w", ErrUnknown)

// Record is one turn.
type Record struct {
	ID           string
	Organisation string   // Name of the organisation to which the turn belongs; empty if none.
	Chain        []string // Ids of the preceding turns, the oldest first.
	Text         []byte   // Input, then the data of each event, each followed by a line feed.
	Ended        time.Time
}

// header is the first line of a stored record; the text follows it.
type header struct {
	Organisation string   `json:"organisation,omitempty"`
	Chain        []string `json:"chain,omitempty"`
	EndedMS      int64    `json:"ended_ms"` // Unix milliseconds.
}

// encode returns the stored form of the turn.
func (r *Record) encode() ([]byte, error) {
	line, err := json.Marshal(header{Organisation: r.Organisation, Chain: r.Chain, EndedMS: r.Ended.UnixMilli()})
	if err != nil {
		return nil, fmt.Errorf("encode turn %q: %w", r.ID, err)
	}
	return append(append(line, '\n'), r.Text...), nil
}

// decode returns the turn with the id from its stored form. The text refers to value.
func decode(id string, value []byte) (*Record, error) {
	line, text, ok := bytes.Cut(value, []byte("\n"))
	var h header
	if err := json.Unmarshal(line, &h); err != nil || !ok {
		return nil, fmt.Errorf("record of turn %q is malformed", id)
	}
	return &Record{ID: id, Organisation: h.Organisation, Chain: h.Chain, Text: text, Ended: time.UnixMilli(h.EndedMS)}, nil
}

// Written returns the time at which a stored turn ended.
func Written(value []byte) (time.Time, error) {
	r, err := decode("", value)
	if err != nil {
		return time.Time{}, err
	}
	return r.Ended, nil
}

// Putter writes a key and repeats the write until it succeeds; commit.Batcher implements it.
type Putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

// Reader reads keys; ports.Store implements it.
type Reader interface {
	Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error)
}

// Options configure a Log.
type Options struct {
	Prefix     string // Prefix of the keys in the key-value service.
	CacheBytes int    // Limit on the size of the cached records.
}

// Log writes and reads turns and caches them in memory. It is safe for concurrent use.
type Log struct {
	options Options
	putter  Putter
	reader  Reader

	mu          sync.Mutex
	byID        map[string]*list.Element // Guarded by mu.
	lru         *list.List               // Guarded by mu. Of *Record, most recently used first.
	cachedBytes int                      // Guarded by mu. Size of the cached texts and the overhead of their records.
}

// NewLog returns a Log with an empty cache.
func NewLog(put Putter, read Reader, options Options) *Log {
	return &Log{options: options, putter: put, reader: read, byID: make(map[string]*list.Element), lru: list.New()}
}

// Append writes a turn. If it returns nil, the turn is stored durably.
func (l *Log) Append(ctx context.Context, r *Record) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	if err := l.putter.Put(ctx, l.options.Prefix+r.ID, value); err != nil {
		return fmt.Errorf("write turn %q: %w", r.ID, err)
	}
	l.cache(r)
	return nil
}

// Chain returns the organisation's turn with the id and all turns before it, the oldest first. ErrUnknown means that a turn
// certainly does not exist or belongs to another organisation; after any other error it may exist.
func (l *Log) Chain(ctx context.Context, organisation, id string) ([]*Record, error) {
	last, err := l.loadOwn(ctx, organisation, id)
	if err != nil {
		return nil, err
	}
	chain := make([]*Record, len(last.Chain)+1)
	chain[len(last.Chain)] = last
	group, ctx := errgroup.WithContext(ctx)
	for i, ancestor := range last.Chain {
		if r := l.cached(ancestor); r != nil && r.Organisation == organisation {
			chain[i] = r
			continue
		}
		group.Go(func() error {
			r, err := l.loadOwn(ctx, organisation, ancestor)
			chain[i] = r
			return err
		})
	}
	return chain, group.Wait()
}

// loadOwn returns a turn of the organisation. The error for a turn of another one is ErrOtherOrganisation.
func (l *Log) loadOwn(ctx context.Context, organisation, id string) (*Record, error) {
	r, err := l.load(ctx, id)
	if err == nil && r.Organisation != organisation {
		return nil, fmt.Errorf("turn %q: %w", id, ErrOtherOrganisation)
	}
	return r, err
}

// load returns a turn from the cache or from the service. It tries a stale read first, and a linearizable read only if the
// stale one does not find the turn.
func (l *Log) load(ctx context.Context, id string) (*Record, error) {
	if r := l.cached(id); r != nil {
		return r, nil
	}
	for _, fresh := range []ports.Freshness{ports.Stale, ports.Linearizable} {
		item, err := l.reader.Read(ctx, l.options.Prefix+id, fresh)
		if err != nil {
			return nil, fmt.Errorf("read turn %q: %w", id, err)
		}
		if item.Revision != 0 {
			r, err := decode(id, item.Value)
			if err != nil {
				return nil, err
			}
			l.cache(r)
			return r, nil
		}
	}
	return nil, fmt.Errorf("turn %q: %w", id, ErrUnknown)
}

// CacheValue caches the value of a key in the service if it is a turn.
func (l *Log) CacheValue(key string, value []byte) {
	id, ok := strings.CutPrefix(key, l.options.Prefix)
	if !ok {
		return
	}
	if r, err := decode(id, value); err == nil {
		l.cache(r)
	}
}

// CachedValue returns the value of a key in the service if it is a cached turn.
func (l *Log) CachedValue(key string) ([]byte, bool) {
	id, ok := strings.CutPrefix(key, l.options.Prefix)
	if !ok {
		return nil, false
	}
	r := l.cached(id)
	if r == nil {
		return nil, false
	}
	value, err := r.encode()
	return value, err == nil
}

// cached returns a turn from the cache and marks it as used, or returns nil.
func (l *Log) cached(id string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byID[id]
	if !ok {
		return nil
	}
	l.lru.MoveToFront(e)
	return e.Value.(*Record)
}

// recordOverhead is the approximate memory in bytes that a cached record uses in addition to its text.
const recordOverhead = 300

// cache adds a turn to the cache unless it is there. It evicts the least recently used turns beyond Options.CacheBytes, but
// keeps at least the newest one.
func (l *Log) cache(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byID[r.ID]; ok {
		return
	}
	l.byID[r.ID] = l.lru.PushFront(r)
	l.cachedBytes += len(r.Text) + recordOverhead
	for l.cachedBytes > l.options.CacheBytes && l.lru.Len() > 1 {
		oldest := l.lru.Remove(l.lru.Back()).(*Record)
		delete(l.byID, oldest.ID)
		l.cachedBytes -= len(oldest.Text) + recordOverhead
	}
}
