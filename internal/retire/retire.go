// Package retire runs on machines with a disk. The product keeps nothing on them, so that a machine which is to be emptied
// is empty at once; this process only says so to the operators.
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

// Settings configure the process.
type Settings struct {
	ID    string       `yaml:"id" validate:"required"`
	Store string       `yaml:"store" validate:"required,hostname_port"` // Address of the key-value service.
	Log   settings.Log `yaml:"log"`
}

// Requests says where the operators ask and where they read the answer.
type Requests struct {
	AskKey    string // Set by the operators when the machine is to be emptied.
	AnswerKey string
	Done      []byte // Answer of an empty machine.
}

const (
	watchWait     = 20 * time.Second // Operators wait for seconds; each wait is a call that costs money.
	retryPause    = time.Second      // After the first failure. It doubles with each further one.
	maxRetryPause = 8 * time.Second
)

// Run answers requests until ctx ends.
func Run(ctx context.Context, s Settings, r Requests, store ports.Store, log *slog.Logger) error {
	log = log.With("process", s.ID)
	log.Info("start", "store", s.Store)
	answered, wait := int64(0), retryPause
	for ctx.Err() == nil {
		item, err := store.Read(ctx, r.AskKey, ports.Linearizable)
		if err == nil && item.Revision > answered {
			if err = answer(ctx, r, store); err == nil {
				answered = item.Revision
				log.Info("machine is empty", "asked_at_revision", item.Revision)
			}
		}
		if err != nil {
			log.Warn("request cannot be read or answered", "error", err)
			pause.For(ctx, wait)
			wait = min(2*wait, maxRetryPause)
			continue
		}
		wait = retryPause
		await(ctx, r, store, max(answered, item.Revision), log)
	}
	log.Info("stop")
	return nil
}

func answer(ctx context.Context, r Requests, store ports.Store) error {
	_, err := store.Commit(ctx, ports.Transaction{Writes: []ports.Write{{Key: r.AnswerKey, Value: r.Done}}})
	return err
}

// await waits until the request may have changed.
func await(ctx context.Context, r Requests, store ports.Store, after int64, log *slog.Logger) {
	if after == 0 {
		page, err := store.ReadRange(ctx, r.AskKey, "", ports.Linearizable)
		if err != nil || len(page.Items) > 0 {
			pause.For(ctx, retryPause)
			return
		}
		after = page.Revision
	}
	for ctx.Err() == nil {
		events, next, err := store.Await(ctx, r.AskKey, after, watchWait)
		if errors.Is(err, ports.ErrCompacted) || len(events) > 0 {
			return
		}
		if err != nil {
			log.Warn("watch failed", "error", err)
			pause.For(ctx, retryPause)
			return
		}
		after = next
	}
}
