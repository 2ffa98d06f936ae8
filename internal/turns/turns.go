// Package turns keeps what was said in the turns of programs, so that a turn need only carry its new input.
//
// Invariant: a turn whose answer ended at its caller stands in the key-value service until its retention time is over. An
// entry therefore writes the turn before it ends the answer. A record never changes, so that a copy of any age is right.
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

// ErrUnknown means that no such turn stands in the service.
var ErrUnknown = errors.New("no turn with this id is kept")

// Record is one turn.
type Record struct {
	ID    string
	Chain []string // Ids of the turns before it, the oldest first.
	Text  []byte   // Its input, then the data of each event followed by a line feed.
	Ended time.Time
}

// head is the first line of a stored record; the text follows it.
type head struct {
	Chain   []string `json:"chain,omitempty"`
	EndedMS int64    `json:"ended_ms"` // Unix milliseconds.
}

func (r *Record) encode() ([]byte, error) {
	line, err := json.Marshal(head{Chain: r.Chain, EndedMS: r.Ended.UnixMilli()})
	if err != nil {
		return nil, fmt.Errorf("encode turn %q: %w", r.ID, err)
	}
	return append(append(line, '\n'), r.Text...), nil
}

func decode(id string, value []byte) (*Record, error) {
	line, text, ok := bytes.Cut(value, []byte("\n"))
	var h head
	if err := json.Unmarshal(line, &h); err != nil || !ok {
		return nil, fmt.Errorf("the record of turn %q cannot be read", id)
	}
	return &Record{ID: id, Chain: h.Chain, Text: text, Ended: time.UnixMilli(h.EndedMS)}, nil
}

// Written returns when a stored turn ended.
func Written(value []byte) (time.Time, error) {
	r, err := decode("", value)
	if err != nil {
		return time.Time{}, err
	}
	return r.Ended, nil
}

// Putter writes a key until it succeeds; commit.Batcher is one.
type Putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

// Reader reads keys; ports.Store is one.
type Reader interface {
	Read(ctx context.Context, key string, fresh ports.Freshness) (ports.KeyValue, error)
}

// Options tune a Log.
type Options struct {
	Prefix     string // Of the keys in the service.
	CacheBytes int    // Size of the records kept in memory.
}

// Log writes and reads turns. It is safe for concurrent use.
type Log struct {
	options Options
	put     Putter
	read    Reader

	mu    sync.Mutex
	byID  map[string]*list.Element // Guarded by mu.
	used  *list.List               // Guarded by mu. Of *Record, the latest use first.
	bytes int                      // Guarded by mu.
}

// NewLog returns a Log with an empty memory.
func NewLog(put Putter, read Reader, options Options) *Log {
	return &Log{options: options, put: put, read: read, byID: make(map[string]*list.Element), used: list.New()}
}

// Append writes a turn. When it returns nil, the turn lasts.
func (l *Log) Append(ctx context.Context, r *Record) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	if err := l.put.Put(ctx, l.options.Prefix+r.ID, value); err != nil {
		return fmt.Errorf("write turn %q: %w", r.ID, err)
	}
	l.remember(r)
	return nil
}

// Chain returns the turn with the id and all before it, the oldest first. ErrUnknown is certain; any other error is not.
func (l *Log) Chain(ctx context.Context, id string) ([]*Record, error) {
	last, err := l.find(ctx, id)
	if err != nil {
		return nil, err
	}
	chain := make([]*Record, len(last.Chain)+1)
	chain[len(last.Chain)] = last
	group, ctx := errgroup.WithContext(ctx)
	for i, ancestor := range last.Chain {
		if r := l.recall(ancestor); r != nil {
			chain[i] = r
			continue
		}
		group.Go(func() error {
			r, err := l.find(ctx, ancestor)
			chain[i] = r
			return err
		})
	}
	return chain, group.Wait()
}

// find returns a turn from memory or from the service: from an older copy if that has it.
func (l *Log) find(ctx context.Context, id string) (*Record, error) {
	if r := l.recall(id); r != nil {
		return r, nil
	}
	for _, fresh := range []ports.Freshness{ports.Stale, ports.Linearizable} {
		item, err := l.read.Read(ctx, l.options.Prefix+id, fresh)
		if err != nil {
			return nil, fmt.Errorf("read turn %q: %w", id, err)
		}
		if item.Revision != 0 {
			r, err := decode(id, item.Value)
			if err != nil {
				return nil, err
			}
			l.remember(r)
			return r, nil
		}
	}
	return nil, fmt.Errorf("turn %q: %w", id, ErrUnknown)
}

// Observe takes over a key that the service holds, if it is a turn.
func (l *Log) Observe(key string, value []byte) {
	id, ok := strings.CutPrefix(key, l.options.Prefix)
	if !ok {
		return
	}
	if r, err := decode(id, value); err == nil {
		l.remember(r)
	}
}

// Stored returns the value of a key that the service holds, if it is a turn in memory.
func (l *Log) Stored(key string) ([]byte, bool) {
	id, ok := strings.CutPrefix(key, l.options.Prefix)
	if !ok {
		return nil, false
	}
	r := l.recall(id)
	if r == nil {
		return nil, false
	}
	value, err := r.encode()
	return value, err == nil
}

func (l *Log) recall(id string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byID[id]
	if !ok {
		return nil
	}
	l.used.MoveToFront(e)
	return e.Value.(*Record)
}

// recordBytes is the memory that a record takes beside its text.
const recordBytes = 300

func (l *Log) remember(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byID[r.ID]; ok {
		return
	}
	l.byID[r.ID] = l.used.PushFront(r)
	l.bytes += len(r.Text) + recordBytes
	for l.bytes > l.options.CacheBytes && l.used.Len() > 1 {
		oldest := l.used.Remove(l.used.Back()).(*Record)
		delete(l.byID, oldest.ID)
		l.bytes -= len(oldest.Text) + recordBytes
	}
}
