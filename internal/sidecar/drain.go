package sidecar

import (
	"context"
	"fmt"
	"time"
)

const (
	drainPoll = 20 * time.Millisecond // Between two looks at what is left to finish.

	// minLinger is how long answers stay readable after the last call has ended. A peer whose connection broke looks for
	// a moment like one that has read its answer, until it asks again.
	minLinger = 500 * time.Millisecond
)

// isDraining reports whether new calls are refused: by the process's shutdown or by the backend server's own word.
func (s *Sidecar) isDraining() bool {
	if s.draining.Load() {
		return true
	}
	_, report := s.health.get()
	return report.Draining
}

// beginDrain starts the drain unless it has begun. Drained is closed at its end.
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

// drain lets the calls under way finish and their answers be read, each within its limit.
func (s *Sidecar) drain(ctx context.Context) error {
	finished := wait(ctx, s.settings.DrainTimeout, func() bool {
		unfinished, _ := s.ledger.Counts()
		return unfinished == 0
	})
	if !finished {
		unfinished, _ := s.ledger.Counts()
		return fmt.Errorf("drain sidecar %s: %d calls have not finished within %s", s.settings.Name, unfinished, s.settings.DrainTimeout)
	}
	begun := time.Now()
	wait(ctx, s.settings.LingerTimeout, func() bool {
		_, unread := s.ledger.Counts()
		return unread == 0 && time.Since(begun) >= minLinger
	})
	return nil
}

// wait polls until done holds; it returns false when the limit passes or ctx ends first.
func wait(ctx context.Context, limit time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
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

// Shutdown drains and stops the sidecar. It returns an error when calls were cut because ctx or a limit ended.
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

// serverStopTimeout bounds the wait for connections that are still open after the drain.
const serverStopTimeout = time.Second
