package policy_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
)

// outcomes records the results that concurrent operators received for their submissions.
type outcomes struct {
	mu        sync.Mutex        // Guards the fields below.
	accepted  map[string]uint64 // Revision by idempotency key.
	conflicts map[string]bool
}

// submitUntilCertain repeats the submission until its outcome is certain, like an operator who repeats a command.
func (o *outcomes) submitUntilCertain(ctx context.Context, s *policy.Store, sub policy.Submission) error {
	for ctx.Err() == nil {
		submitCtx, cancel := context.WithTimeout(ctx, time.Second)
		entry, err := s.Submit(submitCtx, sub)
		cancel()
		var apiErr *api.Error
		switch {
		case err == nil:
			o.mu.Lock()
			o.accepted[sub.IdempotencyKey] = entry.Revision
			o.mu.Unlock()
			return nil
		case errors.As(err, &apiErr) && apiErr.Code == api.CodeConfigConflict:
			o.mu.Lock()
			o.conflicts[sub.IdempotencyKey] = true
			o.mu.Unlock()
			return nil
		case errors.As(err, &apiErr) && apiErr.Code == api.CodeConfigUncertain:
			continue
		default:
			return err
		}
	}
	return ctx.Err()
}

// submitSequence submits several configurations one after the other, each based on the newest revision.
func (o *outcomes) submitSequence(ctx context.Context, s *policy.Store, author string, submissions int) error {
	for i := range submissions {
		head, err := s.Head(ctx)
		if err != nil {
			return fmt.Errorf("read the base of submission %d of %s: %w", i, author, err)
		}
		sub := policy.Submission{
			Config: policy.Default(), Base: head.Revision, Author: author, Reason: "race",
			IdempotencyKey: fmt.Sprintf("key-%s-%04d", author, i),
		}
		if err := o.submitUntilCertain(ctx, s, sub); err != nil {
			return err
		}
	}
	return nil
}

func TestConcurrentSubmissionsWithFaultyService(t *testing.T) {
	const authors, submissions = 4, 15
	is := is.New(t)
	service, err := kv.Start(kv.Options{Listen: "127.0.0.1:0", WritesPerSecond: 2000, ReadsPerSecond: 5000, Seed: 1})
	is.NoErr(err)
	defer service.Close()
	faults := kv.Faults{LoseAnswerShare: 0.15, LoseBeforeEffectShare: 0.1, LateApplyShare: 0.15, LateApplyMS: 50}
	service.SetFaults(faults)

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	results := &outcomes{accepted: make(map[string]uint64), conflicts: make(map[string]bool)}
	var group errgroup.Group
	for i := range authors {
		store, err := ports.NewKV([]string{service.Address()}, ports.KVOptions{RequestTimeout: 200 * time.Millisecond})
		is.NoErr(err)
		s := policy.NewStore(store, time.Now)
		group.Go(func() error { return results.submitSequence(ctx, s, fmt.Sprintf("author-%d", i), submissions) })
	}
	is.NoErr(group.Wait())

	service.SetFaults(kv.Faults{})
	time.Sleep(100 * time.Millisecond) // Delayed writes take effect within 50 ms.
	store, err := ports.NewKV([]string{service.Address()}, ports.KVOptions{RequestTimeout: time.Second})
	is.NoErr(err)
	history, err := policy.NewStore(store, time.Now).History(ctx, 1000)
	is.NoErr(err)
	is.Equal(len(history), len(results.accepted)) // each accepted submission is one revision, and no rejected one is
	is.Equal(len(results.accepted)+len(results.conflicts), authors*submissions)
	for _, e := range history {
		key := e.Submission[len("000000000001-"):]
		is.Equal(results.accepted[key], e.Revision)
	}
}
