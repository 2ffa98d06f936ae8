// Package retention deletes expired records from the key-value service. The age of a record is determined from its value
// alone, because the process that wrote it may have ended long ago.
package retention

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Rule defines how long the records under a prefix are kept.
type Rule struct {
	Prefix string
	Keep   time.Duration
	// Written returns the time at which a record was written.
	Written func(value []byte) (time.Time, error)
}

// Deleter deletes keys asynchronously; commit.Batcher implements it.
type Deleter interface {
	Delete(keys ...string)
}

// Sweep deletes the records that have expired at now and returns their number. A record whose age cannot be determined is
// kept.
func Sweep(ctx context.Context, list ports.Lister, remove Deleter, r Rule, now time.Time, log *slog.Logger) (int, error) {
	removed, after := 0, ""
	for {
		page, err := list.ReadRange(ctx, r.Prefix, after, ports.Stale)
		if err != nil {
			return removed, fmt.Errorf("list records under %q: %w", r.Prefix, err)
		}
		for _, item := range page.Items {
			after = item.Key
			written, err := r.Written(item.Value)
			if err != nil {
				log.Warn("record not removed: its age cannot be determined", "key", item.Key, "revision", item.Revision, "error", err)
				continue
			}
			if now.Sub(written) > r.Keep {
				remove.Delete(item.Key)
				removed++
			}
		}
		if !page.More || len(page.Items) == 0 {
			return removed, nil
		}
	}
}
