package kv

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/standin"
)

// streamWatch writes the messages of a watch until the client disconnects, an outage begins, the server stops or the
// changes to send are compacted.
func (s *Server) streamWatch(w *bufio.Writer, in gateway.WatchCreate) {
	s.addOpenWatches(1)
	defer s.addOpenWatches(-1)
	from := int64(in.StartRevision)
	if from == 0 {
		s.store.mu.Lock()
		from = s.store.revision + 1
		s.store.mu.Unlock()
	}
	if !writeLine(w, &gateway.WatchResult{Header: s.header(), Created: true}) {
		return
	}
	for {
		events, next, compacted, changed := s.store.changesSince(in.Key, in.RangeEnd, from)
		if compacted > 0 {
			writeLine(w, &gateway.WatchResult{Header: s.header(), Canceled: true, CompactRevision: gateway.Int(compacted)})
			return
		}
		from = next
		if len(events) > 0 && !writeLine(w, &gateway.WatchResult{Header: s.header(), Events: events}) {
			return
		}
		if !s.waitForChange(w, changed) {
			return
		}
	}
}

// waitForChange waits for a change and meanwhile sends progress messages. It returns false if the watch must end.
func (s *Server) waitForChange(w *bufio.Writer, changed chan struct{}) bool {
	progress := time.NewTicker(s.options.ProgressInterval)
	defer progress.Stop()
	outage := time.NewTicker(leaseCheckInterval)
	defer outage.Stop()
	for {
		select {
		case <-changed:
			return !s.inOutage()
		case <-s.stop:
			return false
		case <-outage.C:
			if s.inOutage() {
				return false
			}
		case <-progress.C:
			if !writeLine(w, &gateway.WatchResult{Header: s.header()}) {
				return false
			}
		}
	}
}

func (s *Server) inOutage() bool {
	faults, since := s.faults.Get()
	return time.Since(since) < standin.Milliseconds(faults.OutageMS)
}

// addOpenWatches adds n to the number of open watches.
func (s *Server) addOpenWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Watches += n
}

func (s *Server) header() gateway.Header {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.header()
}

// writeLine writes a message of a watch as one line and reports whether it was sent.
func writeLine(w *bufio.Writer, result *gateway.WatchResult) bool {
	data, err := json.Marshal(gateway.WatchLine{Result: result})
	if err != nil {
		return false
	}
	if _, err := w.Write(append(data, '\n')); err != nil {
		return false
	}
	return w.Flush() == nil
}
