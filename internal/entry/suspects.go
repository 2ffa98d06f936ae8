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
	// maxSuspects is the number of suspect request bodies that an entry remembers.
	maxSuspects = 1024
	// suspectPrefix is the key prefix of suspects in the key-value service.
	suspectPrefix = "suspects/"
	// crashReportTimeout is how long a sidecar is asked whether its backend server crashed.
	crashReportTimeout = 1500 * time.Millisecond
	// crashReportPoll is the pause between two such requests.
	crashReportPoll = 100 * time.Millisecond
	// suspectStoreTimeout is the timeout for one access to the key-value service.
	suspectStoreTimeout = 2 * time.Second
)

// suspects records request bodies that were running when a backend server crashed and may have caused the crash. Bodies are
// identified by their fingerprint, which is the request's digest.
type suspects struct {
	kv ports.KV

	mu     sync.Mutex // Guards ledger.
	ledger *schedule.SuspectLedger
}

func newSuspects(kv ports.KV) *suspects {
	return &suspects{kv: kv, ledger: schedule.NewSuspectLedger(maxSuspects, schedule.MaxCrashes)}
}

// runMode returns whether the body may run normally, only alone, or not at all.
func (s *suspects) runMode(fingerprint string) schedule.RunMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Mode(fingerprint)
}

// merge merges reports of sidecars and peers and returns those that changed the run mode of their body.
func (s *suspects) merge(reported []api.Suspect) []api.Suspect {
	if len(reported) == 0 {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []api.Suspect
	for _, r := range reported {
		before := s.ledger.Mode(r.Fingerprint)
		s.ledger.Merge([]schedule.CrashRecord{{Fingerprint: r.Fingerprint, Crashes: r.IDs, Cleared: r.Cleared, Last: now}})
		if s.ledger.Mode(r.Fingerprint) != before {
			changed = append(changed, r)
		}
	}
	return changed
}

// clear discounts the crashes recorded so far for a body that has since run alone without a crash.
func (s *suspects) clear(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Clear(fingerprint)
}

// report returns all recorded suspects, in the form in which they are sent to sidecars and peers.
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

// save stores a suspect in the key-value service, for entries that start later or cannot reach the others.
func (s *suspects) save(ctx context.Context, r api.Suspect) error {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.kv.Put(ctx, suspectPrefix+r.Fingerprint+"/"+strings.Join(r.IDs, "+"), data, 0)
}

// load reads the suspects that are stored in the key-value service.
func (s *suspects) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	pairs, err := s.kv.List(ctx, suspectPrefix, maxSuspects, false)
	if err != nil {
		return err
	}
	var errs []error
	for _, pair := range pairs {
		var r api.Suspect
		if err := json.Unmarshal(pair.Value, &r); err != nil {
			errs = append(errs, err)
			continue
		}
		s.merge([]api.Suspect{r})
	}
	return errors.Join(errs...)
}

// mergeSuspects merges reports and stores those that changed the run mode of their body.
func (e *Entry) mergeSuspects(reported []api.Suspect) {
	for _, changed := range e.suspects.merge(reported) {
		if len(changed.IDs) > 0 {
			e.log.Warn("request body was running when a backend server crashed", "fingerprint", changed.Fingerprint, "crashes", changed.IDs)
		}
		go func() {
			if err := e.suspects.save(e.ctx, changed); err != nil {
				e.log.Warn("crash suspect not stored", "fingerprint", changed.Fingerprint, "error", err)
			}
		}()
	}
}

// checkSuspect returns an error if the call's body was running when schedule.MaxCrashes backend servers crashed. alone says
// that the body must run with no other call at the same server.
func (x *execution) checkSuspect() (alone bool, err *api.Error) {
	switch x.entry.suspects.runMode(x.call.Digest) {
	case schedule.RunModeRefused:
		return false, api.Errorf(api.CodeCrashSuspect, "the request body was running when %d backend servers crashed", schedule.MaxCrashes)
	case schedule.RunModeAlone:
		return true, nil
	default:
		return false, nil
	}
}

// clearSuspectIfAlone clears the call's body after a successful run, if that run was alone.
func (x *execution) clearSuspectIfAlone(alone bool) {
	if alone {
		x.entry.suspects.clear(x.call.Digest)
	}
}

// awaitCrashReport asks the sidecar whether its backend server crashed while running the call, before the call is attempted
// again. It returns when the sidecar has reported the body and the other entries have been informed, or after
// crashReportTimeout.
func (x *execution) awaitCrashReport(ctx context.Context, s *sidecar, t target) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	before := x.entry.suspects.runMode(x.call.Digest)
	for ctx.Err() == nil && x.entry.suspects.runMode(x.call.Digest) == before {
		x.entry.fleet.exchange(ctx, t.ID, s)
		sleep(ctx, crashReportPoll)
	}
	if x.entry.suspects.runMode(x.call.Digest) != before {
		// The other entries must know of the suspect before the caller can send the body to one of them.
		x.entry.peers.sendHeartbeats(ctx, ms(x.entry.settings.HeartbeatMS)).Wait()
	}
}
