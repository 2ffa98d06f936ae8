// Package retire implements a process that runs on machines with a disk and answers operators' requests to empty them.
// The system stores nothing on these machines. The process therefore does no work and reports immediately that the
// machine is empty.
package retire

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Settings holds the settings of the process.
type Settings struct {
	ID    string       `yaml:"id" validate:"required"`
	Store string       `yaml:"store" validate:"required,hostname_port"` // Address of the key-value service.
	Log   settings.Log `yaml:"log"`
}

// Requests holds the keys through which the process communicates with the operators.
type Requests struct {
	RequestKey  string // The operators set it to request that the machine be emptied.
	AnswerKey   string // The process sets it to EmptyAnswer.
	EmptyAnswer []byte // Value that reports an empty machine.
}

const (
	watchTimeout  = 20 * time.Second // Operators accept a delay of seconds, and each wait is a call that costs money.
	minRetryDelay = time.Second      // Delay after the first failure; doubles with each further failure.
	maxRetryDelay = 8 * time.Second
)

// Run answers requests until ctx ends.
func Run(ctx context.Context, s Settings, r Requests, store ports.Store, log *slog.Logger) error {
	log = log.With("process", s.ID)
	log.Info("start", "store", s.Store)
	answeredRevision, retryDelay := int64(0), minRetryDelay
	for ctx.Err() == nil {
		item, err := store.Read(ctx, r.RequestKey, ports.Linearizable)
		if err == nil && item.Revision > answeredRevision {
			if err = writeAnswer(ctx, r, store); err == nil {
				answeredRevision = item.Revision
				log.Info("reported the machine as empty", "asked_at_revision", item.Revision)
			}
		}
		if err != nil {
			log.Warn("cannot read or answer the request", "error", err)
			pause.For(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		awaitChange(ctx, r, store, max(answeredRevision, item.Revision), log)
	}
	log.Info("stop")
	return nil
}

// writeAnswer reports to the operators that the machine is empty.
func writeAnswer(ctx context.Context, r Requests, store ports.Store) error {
	_, err := store.Commit(ctx, ports.Transaction{Writes: []ports.Write{{Key: r.AnswerKey, Value: r.EmptyAnswer}}})
	return err
}

// awaitChange waits until the request may have changed since the revision after. If after is 0, no request has been
// seen yet, and the wait starts at the store's current revision.
func awaitChange(ctx context.Context, r Requests, store ports.Store, after int64, log *slog.Logger) {
	if after == 0 {
		page, err := store.ReadRange(ctx, r.RequestKey, "", ports.Linearizable)
		if err != nil || len(page.Items) > 0 {
			pause.For(ctx, minRetryDelay)
			return
		}
		after = page.Revision
	}
	for ctx.Err() == nil {
		events, next, err := store.Await(ctx, r.RequestKey, after, watchTimeout)
		if errors.Is(err, ports.ErrCompacted) || len(events) > 0 {
			return
		}
		if err != nil {
			log.Warn("watch failed", "error", err)
			pause.For(ctx, minRetryDelay)
			return
		}
		after = next
	}
}
