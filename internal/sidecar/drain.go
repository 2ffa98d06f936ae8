package sidecar

import (
	"context"
	"fmt"
	"time"
)

const (
	drainPollInterval = 20 * time.Millisecond // Interval at which the remaining calls are counted.

	// minLinger is the minimum time for which answers stay readable after the last call has ended, unless LingerTimeout
	// is shorter. Right after a peer's connection breaks, its answer may seem to have been read; the peer needs time to
	// request it again.
	minLinger = 500 * time.Millisecond
)

// isDraining reports whether new calls are refused because the sidecar is draining or the engine reports that it is.
func (s *Sidecar) isDraining() bool {
	if s.draining.Load() {
		return true
	}
	_, report := s.health.get()
	return report.Draining
}

// beginDrain starts the drain if it has not begun. The channel that Drained returns is closed at its end.
func (s *Sidecar) beginDrain() {
	if !s.draining.CompareAndSwap(false, true) {
		return
	}
	s.log.Info("draining")
	go func() {
		defer close(s.drained)
		s.drainErr = s.drain(s.ctx)
	}()
}

// drain waits until all calls have ended, for at most DrainTimeout, and then until their answers have been read, for at
// most LingerTimeout. It returns an error if calls have not ended.
func (s *Sidecar) drain(ctx context.Context) error {
	finished := pollUntil(ctx, s.settings.DrainTimeout, func() bool {
		unfinished, _ := s.ledger.Counts()
		return unfinished == 0
	})
	if !finished {
		unfinished, _ := s.ledger.Counts()
		return fmt.Errorf("drain sidecar %s: %d calls have not finished within %s", s.settings.Name, unfinished, s.settings.DrainTimeout)
	}
	begun := time.Now()
	pollUntil(ctx, s.settings.LingerTimeout, func() bool {
		_, unread := s.ledger.Counts()
		return unread == 0 && time.Since(begun) >= minLinger
	})
	return nil
}

// pollUntil polls done until it returns true. It returns false if the limit passes or ctx ends first.
func pollUntil(ctx context.Context, limit time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// Shutdown drains and stops the sidecar. It returns an error if calls were aborted because ctx ended or DrainTimeout
// passed.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	s.beginDrain()
	var err error
	select {
	case <-s.drained:
		err = s.drainErr
	case <-ctx.Done():
		err = fmt.Errorf("drain sidecar %s: %w", s.settings.Name, ctx.Err())
	}
	s.cancel()
	_ = s.loops.Wait()
	stop, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	_ = s.server.Shutdown(stop)
	s.log.Info("sidecar stopped")
	return err
}

// serverStopTimeout is how long Shutdown waits for connections that are still open after the drain.
const serverStopTimeout = time.Second
