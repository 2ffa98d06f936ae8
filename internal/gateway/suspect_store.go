package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/commit"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// Crash records outlive the processes that know them: the hub stores each crash under a key of its own, so that two hubs that do not
// know of each other never overwrite what the other has stored. A gateway reads them when it starts, when it becomes the hub, and
// regularly while it is the hub of a part of the gateways only.

const (
	suspectPrefix        = keyPrefix + "suspects/"
	suspectStoreInterval = 100 * time.Millisecond // Between checks for crashes to store.
	suspectStoreTimeout  = 2 * time.Second
	suspectReadInterval  = time.Second // While other gateways do not answer the hub. They may follow another one.
)

// suspectStore stores the crash records of a process. It is used by one goroutine.
type suspectStore struct {
	suspects *suspects
	store    *monitoredStore
	batcher  *commit.Batcher
	log      *slog.Logger
	stored   map[string]bool // Keys that are known to be in the key-value service.
}

// suspectStoreLoop reads the stored crash records, and stores new ones while this process is the hub, until ctx ends.
func (g *Gateway) suspectStoreLoop(ctx context.Context) {
	s := &suspectStore{suspects: g.suspects, store: g.store, batcher: g.batcher, log: g.log, stored: make(map[string]bool)}
	var readAt time.Time
	wasHub := false
	for ctx.Err() == nil {
		isHub := g.isHub()
		isDue := isHub && g.group.Len() > len(g.group.Others())+1 && time.Since(readAt) > suspectReadInterval
		if readAt.IsZero() || isHub && !wasHub || isDue {
			fresh := ports.Stale
			if isHub {
				fresh = ports.Linearizable
			}
			if err := s.read(ctx, fresh); err != nil {
				g.store.pauseAfterFailure(ctx)
				continue
			}
			readAt = time.Now()
		}
		wasHub = isHub
		if isHub {
			s.write(ctx)
		}
		pause.For(ctx, suspectStoreInterval)
	}
}

// read merges the stored crash records into those of the process.
func (s *suspectStore) read(ctx context.Context, fresh ports.Freshness) error {
	var records []schedule.CrashRecord
	for after, more := "", true; more; {
		page, err := s.store.ReadRange(ctx, suspectPrefix, after, fresh)
		if err != nil {
			return fmt.Errorf("read crash records: %w", err)
		}
		for _, item := range page.Items {
			after = item.Key
			var r schedule.CrashRecord
			if err := json.Unmarshal(item.Value, &r); err != nil {
				s.log.Warn("crash record ignored", "key", item.Key, "revision", item.Revision, "error", err)
				continue
			}
			records = append(records, r)
			s.stored[strings.TrimPrefix(item.Key, suspectPrefix)] = true
		}
		more = page.More && len(page.Items) > 0
	}
	s.suspects.merge(records, "store")
	return nil
}

// write stores the crashes, and those taken back, that are not known to be stored. What fails is tried again by the next call.
func (s *suspectStore) write(ctx context.Context) {
	if s.suspects.isEmpty() && len(s.stored) == 0 || s.store.outage() != nil {
		return
	}
	facts := make(map[string]schedule.CrashRecord)
	for _, r := range s.suspects.allRecords() {
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
	written, err := s.put(ctx, facts)
	for _, key := range written {
		s.stored[key] = true
	}
	if err != nil {
		s.log.Warn("crash records not stored", "stored", len(written), "records", len(facts), "error", err)
	}
}

// put writes the records under their keys, and returns the keys that were written and one of the errors.
func (s *suspectStore) put(ctx context.Context, facts map[string]schedule.CrashRecord) (written []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	var group errgroup.Group
	var mu sync.Mutex
	for key, fact := range facts {
		group.Go(func() error {
			value, err := json.Marshal(fact)
			if err != nil {
				return fmt.Errorf("encode crash record: %w", err)
			}
			if err := s.batcher.Put(ctx, suspectPrefix+key, value); err != nil {
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

// factKey returns the key, without suspectPrefix, of a record that factsOf returns. A crash that was taken back has another key than
// the crash, so that the order in which they are written does not matter.
func factKey(fact schedule.CrashRecord) string {
	if len(fact.Cleared) > 0 {
		return fact.Fingerprint + "/cleared/" + fact.Cleared[0]
	}
	return fact.Fingerprint + "/crashed/" + fact.Crashes[0]
}

// suspectWritten returns the time of the crash in a stored record.
func suspectWritten(value []byte) (time.Time, error) {
	var r schedule.CrashRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return time.Time{}, fmt.Errorf("decode crash record: %w", err)
	}
	return r.Last, nil
}
