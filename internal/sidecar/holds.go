package sidecar

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

const (
	holdScanInterval   = 100 * time.Millisecond // Interval between searches for expired leases.
	orphanScanInterval = 2 * time.Second        // Interval between queries for cached programs that are unknown here.
	// engineHoldFactor is the duration of a hold on the engine, as a multiple of the lease. Most renewals of the lease then
	// need no new hold.
	engineHoldFactor      = 2
	maxConcurrentReleases = 16
)

// holdLoop releases the engine's cache memory of programs whose lease has expired, and adds leases for cached programs
// that are unknown here. It returns when ctx ends.
func (s *Sidecar) holdLoop(ctx context.Context) {
	ticker := time.NewTicker(holdScanInterval)
	defer ticker.Stop()
	var lastScan time.Time
	for {
		if now := time.Now(); now.Sub(lastScan) >= orphanScanInterval {
			lastScan = now
			s.adoptOrphans(ctx)
		}
		s.releaseExpired(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// adoptOrphans adds leases for programs that the engine has cached but that this sidecar does not know, as after a restart
// of the sidecar.
func (s *Sidecar) adoptOrphans(ctx context.Context) {
	programs, err := s.engine.CachedPrograms(ctx)
	if err != nil {
		return
	}
	s.holds.AddUnknown(programs, time.Now().Add(s.settings.OrphanGrace))
}

// releaseExpired releases the memory of all programs whose release is due, with at most maxConcurrentReleases requests at
// a time.
func (s *Sidecar) releaseExpired(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentReleases)
	for _, program := range s.holds.StartReleases(time.Now()) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.release(ctx, program)
		}()
	}
}

// release asks the engine to free the memory of a program and removes its history. backend.Holds retries a failed
// release.
func (s *Sidecar) release(ctx context.Context, program string) {
	s.histories.Remove(program)
	err := s.engine.Release(ctx, program)
	s.holds.FinishRelease(program, err == nil, time.Now())
	if err != nil {
		s.metrics.releaseFailures.Inc()
		s.log.Warn("cannot release a program's memory on the engine", "program", program, "error", err)
		return
	}
	s.metrics.releases.Inc()
}

// startLease starts the lease on a program's prefix after a model call and removes the call's pin. The hold on the
// engine is requested while the pin still prevents a release, so that the engine never receives the hold after the
// release.
func (s *Sidecar) startLease(req *api.CallRequest, ran bool) {
	defer s.holds.Unpin(req.Program)
	if !ran {
		return
	}
	now, lease := time.Now(), time.Duration(req.Model.HoldMS)*time.Millisecond
	if s.holds.RecordRun(req.Program, now.Add(lease), now.Add(engineHoldFactor*lease)) && lease > 0 {
		s.holdOnEngine(req.Program, lease)
	}
}

// renewHolds renews leases. It requests a new hold from the engine for the programs whose hold there would end before the
// lease.
func (s *Sidecar) renewHolds(programs []string, lease time.Duration) {
	now := time.Now()
	renew := s.holds.Renew(programs, now.Add(lease), now.Add(engineHoldFactor*lease))
	if len(renew) == 0 {
		return
	}
	go func() {
		for _, program := range renew {
			s.holdOnEngine(program, lease)
			s.holds.Unpin(program)
		}
	}()
}

// holdOnEngine asks the engine to keep a program's prefix. A hold is no guarantee: the engine may still evict the prefix.
func (s *Sidecar) holdOnEngine(program string, lease time.Duration) {
	if err := s.engine.Hold(s.ctx, program, engineHoldFactor*lease); err != nil {
		s.log.Debug("cannot request a hold from the engine", "program", program, "error", err)
	}
}
