// Package pause provides a sleep that ends early with a context.
package pause

import (
	"context"
	"time"
)

// For blocks for d, or until ctx is done if that is earlier.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
