// Package retention removes records from the key-value service when their time is over. Processes that wrote them may have
// ended long ago, so that nothing but the record itself says how old it is.
package retention

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// Rule says how long the records under a prefix are kept.
type Rule struct {
	Prefix string
	Keep   time.Duration
	// Written returns when a record was written.
	Written func(value []byte) (time.Time, error)
}

// Lister lists keys; ports.Store is one.
type Lister interface {
	ReadRange(ctx context.Context, prefix, after string, fresh ports.Freshness) (ports.Page, error)
}

// Deleter removes keys some time later; commit.Batcher is one.
type Deleter interface {
	Delete(keys ...string)
}

// Sweep removes the records whose time is over at now, and returns how many. A record that cannot be read is kept.
func Sweep(ctx context.Context, list Lister, remove Deleter, r Rule, now time.Time, log *slog.Logger) (int, error) {
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
				log.Warn("record kept, as its age cannot be read", "key", item.Key, "revision", item.Revision, "error", err)
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
