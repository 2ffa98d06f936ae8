package sidecar

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	holdScanInterval  = 100 * time.Millisecond // Between looks for lapsed leases.
	statsInterval     = 2 * time.Second        // Between looks at what the engine holds.
	engineHoldFactor  = 2                      // The engine's own limit on a hold, in leases.
	maxReleasesAtOnce = 16
)

// holdLoop releases the memory of programs whose lease has lapsed, until ctx ends.
func (s *Sidecar) holdLoop(ctx context.Context) {
	ticker := time.NewTicker(holdScanInterval)
	defer ticker.Stop()
	var observed time.Time
	for {
		if now := time.Now(); now.Sub(observed) >= statsInterval {
			observed = now
			s.observeCache(ctx)
		}
		s.releaseDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observeCache finds programs whose memory the engine holds unknown to this sidecar.
func (s *Sidecar) observeCache(ctx context.Context) {
	programs, err := s.engine.CachedPrograms(ctx)
	if err != nil {
		return
	}
	s.holds.Observe(programs, time.Now().Add(s.settings.OrphanGrace))
}

// releaseDue releases what is due, a few programs at a time.
func (s *Sidecar) releaseDue(ctx context.Context) {
	slots := make(chan struct{}, maxReleasesAtOnce)
	for _, program := range s.holds.Due(time.Now()) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.release(ctx, program)
		}()
	}
}

// release frees one program's memory.
func (s *Sidecar) release(ctx context.Context, program string) {
	s.histories.Remove(program)
	err := s.engine.Release(ctx, program)
	s.holds.Released(program, err == nil, time.Now())
	if err != nil {
		s.metrics.releaseFailures.Inc()
		s.log.Warn("engine did not release a program's memory", "program", program, "error", err)
		return
	}
	s.metrics.releases.Inc()
}

// finishHold ends a model call's use of its program's memory and begins the lease. The engine is asked for its hold before
// the memory may be released, so that a late hold never follows a release.
func (s *Sidecar) finishHold(req *api.CallRequest, ran bool) {
	defer s.holds.Finish(req.Program)
	if !ran {
		return
	}
	now, lease := time.Now(), time.Duration(req.Model.HoldMS)*time.Millisecond
	if s.holds.Ran(req.Program, now.Add(lease), now.Add(engineHoldFactor*lease)) && lease > 0 {
		s.holdOnEngine(req.Program, lease)
	}
}

// renewHolds extends leases and, where the engine's own hold would end first, asks the engine again.
func (s *Sidecar) renewHolds(programs []string, lease time.Duration) {
	now := time.Now()
	renew := s.holds.Renew(programs, now.Add(lease), now.Add(engineHoldFactor*lease))
	if len(renew) == 0 {
		return
	}
	go func() {
		for _, program := range renew {
			s.holdOnEngine(program, lease)
			s.holds.Finish(program)
		}
	}()
}

// holdOnEngine asks the engine to keep a prefix. The engine may evict it all the same: a hold is no promise.
func (s *Sidecar) holdOnEngine(program string, lease time.Duration) {
	if err := s.engine.Hold(s.ctx, program, engineHoldFactor*lease); err != nil {
		s.log.Debug("engine did not take a hold", "program", program, "error", err)
	}
}
