package sidecar

import (
	"context"
	"fmt"
	"time"
)

// drainPoll lies between two looks at what is left to finish.
const drainPoll = 20 * time.Millisecond

// isDraining reports whether new calls are refused: by the process's shutdown or by the backend server's own word.
func (s *Sidecar) isDraining() bool {
	if s.draining.Load() {
		return true
	}
	_, report := s.health.get()
	return report.Draining
}

// drain refuses new calls, lets the ones under way finish and their answers be read, each within its limit.
func (s *Sidecar) drain(ctx context.Context) error {
	s.draining.Store(true)
	s.log.Info("draining")
	err := s.wait(ctx, s.settings.DrainTimeout, func() bool {
		unfinished, _ := s.ledger.Counts()
		return unfinished == 0
	})
	if err != nil {
		unfinished, _ := s.ledger.Counts()
		return fmt.Errorf("drain sidecar %s: %d calls have not finished: %w", s.settings.Name, unfinished, err)
	}
	_ = s.wait(ctx, s.settings.LingerTimeout, func() bool {
		_, unread := s.ledger.Counts()
		return unread == 0
	})
	return nil
}

// wait polls until done holds; it returns an error when the limit passes or ctx ends.
func (s *Sidecar) wait(ctx context.Context, limit time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// drainInBackground drains once and closes Drained.
func (s *Sidecar) drainInBackground() {
	if !s.draining.CompareAndSwap(false, true) {
		return
	}
	go func() {
		if err := s.drain(s.ctx); err != nil {
			s.log.Warn("drain ended early", "error", err)
		}
		close(s.drained)
	}()
}

// Shutdown drains and stops the sidecar. It returns an error when calls were cut because ctx or a limit ended.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	drainErr := s.drain(ctx)
	s.cancel()
	_ = s.loops.Wait()
	stop, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = s.server.Shutdown(stop)
	s.log.Info("sidecar stopped")
	return drainErr
}
