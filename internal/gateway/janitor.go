package gateway

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/retention"
	"github.com/redwinggauge/redwinggauge/internal/turns"
)

const (
	janitorInterval = 5 * time.Minute // Old records take room only; each look costs calls to the service.
	// retentionFactor and retentionMargin are added to the operators' retention time, as clocks differ and may be set.
	retentionFactor = 2
	retentionMargin = time.Minute
	// budgetRetention is longer than any program lasts: a budget whose record is gone would begin anew.
	budgetRetention = 24 * time.Hour
)

// janitorLoop removes old records while the process is the hub, until ctx ends.
func (g *Gateway) janitorLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, janitorInterval)
		if ctx.Err() != nil || !g.isHub() {
			continue
		}
		for _, rule := range g.retentionRules() {
			n, err := retention.Sweep(ctx, g.store, g.batcher, rule, time.Now(), g.log)
			if err != nil {
				g.log.Warn("old records cannot be listed", "prefix", rule.Prefix, "error", err)
				continue
			}
			g.log.Info("old records removed", "prefix", rule.Prefix, "records", n, "kept_s", rule.Keep.Seconds())
		}
	}
}

func (g *Gateway) retentionRules() []retention.Rule {
	longest := time.Duration(0)
	if config := g.directory.View().Config; config != nil {
		for i := range config.Routes {
			longest = max(longest, config.Routes[i].Retain)
		}
	}
	rules := []retention.Rule{{Prefix: budgetPrefix, Keep: budgetRetention, Written: budget.Written}}
	if longest > 0 {
		keep := retentionFactor*longest + retentionMargin
		rules = append(rules, retention.Rule{Prefix: turnPrefix, Keep: keep, Written: turns.Written})
	}
	return rules
}
