package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

const (
	// maxSuspects is how many request bodies an entry remembers.
	maxSuspects = 1024
	// suspectPrefix is the prefix of the keys that keep suspects.
	suspectPrefix = "suspects/"
	// crashReportWait bounds the wait for a sidecar's word on whether its backend server died.
	crashReportWait = 1500 * time.Millisecond
	// crashReportPoll is the time between two questions for it.
	crashReportPoll = 100 * time.Millisecond
	// suspectStoreTimeout bounds one access to the key-value service.
	suspectStoreTimeout = 2 * time.Second
)

// suspects is what this entry knows of request bodies that were running when a backend server died.
type suspects struct {
	kv ports.KV

	mu     sync.Mutex // Guards ledger.
	ledger *schedule.SuspectLedger
}

func newSuspects(kv ports.KV) *suspects {
	return &suspects{kv: kv, ledger: schedule.NewSuspectLedger(maxSuspects, schedule.MaxCrashes)}
}

// verdict says how the body may run.
func (s *suspects) verdict(fingerprint string) schedule.RunMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Mode(fingerprint)
}

// learn takes reports of sidecars and peers and returns the ones that told something new.
func (s *suspects) learn(reported []api.Suspect) []api.Suspect {
	if len(reported) == 0 {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []api.Suspect
	for _, r := range reported {
		before := s.ledger.Mode(r.Fingerprint)
		s.ledger.Merge([]schedule.CrashRecord{{Fingerprint: r.Fingerprint, Crashes: r.IDs, Cleared: r.Cleared, Last: now}})
		if s.ledger.Mode(r.Fingerprint) != before {
			news = append(news, r)
		}
	}
	return news
}

// clear takes the crashes so far off a body that has run alone.
func (s *suspects) clear(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Clear(fingerprint)
}

// report returns what this entry knows.
func (s *suspects) report() []api.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Len() == 0 {
		return nil
	}
	records := s.ledger.Records()
	out := make([]api.Suspect, len(records))
	for i, r := range records {
		out[i] = api.Suspect{Fingerprint: r.Fingerprint, Crashes: len(r.Crashes), IDs: r.Crashes, Cleared: r.Cleared}
	}
	return out
}

// save keeps a suspect in the key-value service for entries that start later or are cut off from the others.
func (s *suspects) save(ctx context.Context, r api.Suspect) error {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.kv.Put(ctx, suspectPrefix+r.Fingerprint+"/"+strings.Join(r.IDs, "+"), data, 0)
}

// load reads the suspects that are kept.
func (s *suspects) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	pairs, err := s.kv.List(ctx, suspectPrefix, maxSuspects, false)
	if err != nil {
		return err
	}
	var all []error
	for _, pair := range pairs {
		var r api.Suspect
		if err := json.Unmarshal(pair.Value, &r); err != nil {
			all = append(all, err)
			continue
		}
		s.learn([]api.Suspect{r})
	}
	return errors.Join(all...)
}

// learnSuspects takes reports and keeps what is new.
func (e *Entry) learnSuspects(reported []api.Suspect) {
	for _, news := range e.suspects.learn(reported) {
		if len(news.IDs) > 0 {
			e.log.Warn("request body was running when a backend server died", "fingerprint", news.Fingerprint, "crashes", news.IDs)
		}
		go func() {
			if err := e.suspects.save(e.ctx, news); err != nil {
				e.log.Warn("crash suspect not kept", "fingerprint", news.Fingerprint, "error", err)
			}
		}()
	}
}

// checkSuspect refuses a body that has crashed two backend servers. alone says that the body must run by itself.
func (x *execution) checkSuspect() (alone bool, err *api.Error) {
	switch x.entry.suspects.verdict(x.call.Digest) {
	case schedule.RunModeRefused:
		return false, api.Errorf(api.CodeCrashSuspect, "the request body was running when %d backend servers died", schedule.MaxCrashes)
	case schedule.RunModeAlone:
		return true, nil
	default:
		return false, nil
	}
}

// ranAlone clears the call's body after it has run alone without harm.
func (x *execution) ranAlone(alone bool) {
	if alone {
		x.entry.suspects.clear(x.call.Digest)
	}
}

// awaitCrashReport asks the sidecar whether its backend server died while running the call, before the call is tried
// again. It returns when the sidecar has named the body and the other entries have been told, or the wait is over.
func (x *execution) awaitCrashReport(ctx context.Context, s *sidecar, t target) {
	ctx, cancel := context.WithTimeout(ctx, crashReportWait)
	defer cancel()
	before := x.entry.suspects.verdict(x.call.Digest)
	for ctx.Err() == nil && x.entry.suspects.verdict(x.call.Digest) == before {
		x.entry.fleet.exchange(ctx, t.ID, s)
		sleep(ctx, crashReportPoll)
	}
	if x.entry.suspects.verdict(x.call.Digest) != before {
		// The others must know before the caller can send the body to one of them.
		x.entry.peers.beat(ctx, ms(x.entry.settings.HeartbeatMS)).Wait()
	}
}
