// Package crashstore keeps crash records in the key-value service, so that they outlive the processes that know them. Each crash is
// stored under a key of its own: writers that do not know of each other never overwrite what the other has stored.
package crashstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Memory holds the crash records of a process.
type Memory interface {
	// AllRecords returns all records.
	AllRecords() []schedule.CrashRecord
	// MergeStored adds records that were stored.
	MergeStored([]schedule.CrashRecord)
}

// Putter writes keys; commit.Batcher implements it.
type Putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

const writeTimeout = 2 * time.Second

// Store keeps the crash records of a process. It is used by one goroutine.
type Store struct {
	prefix string // Of the keys.
	memory Memory
	list   ports.Lister
	put    Putter
	log    *slog.Logger
	stored map[string]bool // Keys, without prefix, that are known to be stored.
}

// New returns a store of the records in memory, under keys with the prefix.
func New(prefix string, memory Memory, list ports.Lister, put Putter, log *slog.Logger) *Store {
	return &Store{prefix: prefix, memory: memory, list: list, put: put, log: log, stored: make(map[string]bool)}
}

// Read merges the stored crash records into those of the process.
func (s *Store) Read(ctx context.Context, fresh ports.Freshness) error {
	page, err := ports.ReadAll(ctx, s.list, s.prefix, fresh)
	if err != nil {
		return fmt.Errorf("read crash records: %w", err)
	}
	records := make([]schedule.CrashRecord, 0, len(page.Items))
	for _, item := range page.Items {
		r, err := decode(item.Value)
		if err != nil {
			s.log.Warn("crash record ignored", "key", item.Key, "revision", item.Revision, "error", err)
			continue
		}
		records = append(records, r)
		s.stored[strings.TrimPrefix(item.Key, s.prefix)] = true
	}
	s.memory.MergeStored(records)
	return nil
}

// Write stores the crashes, and those taken back, that are not known to be stored. What fails is tried again by the next call.
func (s *Store) Write(ctx context.Context) {
	facts := make(map[string]schedule.CrashRecord)
	for _, r := range s.memory.AllRecords() {
		for _, fact := range factsOf(r) {
			facts[factKey(fact)] = fact
		}
	}
	for key := range s.stored {
		if _, known := facts[key]; !known {
			delete(s.stored, key) // The record has expired.
			continue
		}
		delete(facts, key)
	}
	if len(facts) == 0 {
		return
	}
	written, err := s.putAll(ctx, facts)
	for _, key := range written {
		s.stored[key] = true
	}
	if err != nil {
		s.log.Warn("crash records not stored", "stored", len(written), "records", len(facts), "error", err)
	}
}

// putAll writes the records under their keys, and returns the keys that were written and one of the errors.
func (s *Store) putAll(ctx context.Context, facts map[string]schedule.CrashRecord) (written []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var group errgroup.Group
	var mu sync.Mutex
	for key, fact := range facts {
		group.Go(func() error {
			value, err := json.Marshal(fact)
			if err != nil {
				return fmt.Errorf("encode crash record: %w", err)
			}
			if err := s.put.Put(ctx, s.prefix+key, value); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			written = append(written, key)
			return nil
		})
	}
	err = group.Wait()
	return written, err
}

// factsOf splits a record into one for each crash and for each crash that was taken back.
func factsOf(r schedule.CrashRecord) []schedule.CrashRecord {
	var facts []schedule.CrashRecord
	for _, crash := range r.Crashes {
		facts = append(facts, schedule.CrashRecord{Fingerprint: r.Fingerprint, Crashes: []string{crash}, Last: r.Last})
	}
	for _, crash := range r.Cleared {
		facts = append(facts, schedule.CrashRecord{Fingerprint: r.Fingerprint, Cleared: []string{crash}, Last: r.Last})
	}
	return facts
}

// factKey returns the key, without prefix, of a record that factsOf returns. A crash that was taken back has another key than
// the crash, so that the order in which they are written does not matter.
func factKey(fact schedule.CrashRecord) string {
	if len(fact.Cleared) > 0 {
		return fact.Fingerprint + "/cleared/" + fact.Cleared[0]
	}
	return fact.Fingerprint + "/crashed/" + fact.Crashes[0]
}

// Written returns the time of the crash in a stored record.
func Written(value []byte) (time.Time, error) {
	r, err := decode(value)
	return r.Last, err
}

func decode(value []byte) (schedule.CrashRecord, error) {
	var r schedule.CrashRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode crash record: %w", err)
	}
	return r, nil
}
