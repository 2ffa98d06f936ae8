package gateway

import (
	"context"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/crashstore"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/retention"
	"github.com/redwinggauge/redwinggauge/internal/streams"
	"github.com/redwinggauge/redwinggauge/internal/transcript"
	"github.com/redwinggauge/redwinggauge/internal/turns"
)

const (
	cleanupInterval = 5 * time.Minute // Old records only take up space, while each cleanup costs calls to the service.
	// The operators' retention time is multiplied by retentionFactor, and retentionMargin is added: clocks differ between
	// machines and may be adjusted.
	retentionFactor = 2
	retentionMargin = time.Minute
	// budgetRetention is longer than any program runs: a program whose budget record is removed would get its whole budget
	// again.
	budgetRetention = 24 * time.Hour
)

// cleanupLoop removes old records while the process is the hub, until ctx ends.
func (g *Gateway) cleanupLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, cleanupInterval)
		if ctx.Err() != nil || !g.isHub() {
			continue
		}
		for _, rule := range g.retentionRules() {
			n, err := retention.Sweep(ctx, g.store, g.batcher, rule, time.Now(), g.log)
			if err != nil {
				g.log.Warn("cannot list old records", "prefix", rule.Prefix, "error", err)
				continue
			}
			g.log.Info("old records removed", "prefix", rule.Prefix, "records", n, "kept_s", rule.Keep.Seconds())
		}
	}
}

// expireOrigins forgets the origins of streams that no caller takes up any more. The hub knows all that were stored since it became
// the hub, and removes them from the key-value service.
func (g *Gateway) expireOrigins(now time.Time) {
	expired := g.origins.ledger.Expire(now)
	if !g.isHub() {
		return
	}
	for _, call := range expired {
		g.batcher.Delete(streamPrefix + call)
	}
}

// expireTranscripts removes the events of turns that no caller takes up any more, as expireOrigins does.
func (g *Gateway) expireTranscripts(now time.Time) {
	if expired := g.transcripts.expire(now); g.isHub() {
		g.batcher.Delete(expired...)
	}
}

// retentionRules returns the rules for budget records, origins and events of streams, and stored turns. Turns are kept for the longest
// retention time of any route. They have no rule while there is no configuration or no route sets a retention time.
func (g *Gateway) retentionRules() []retention.Rule {
	longest, keysInUse := time.Duration(0), false
	if config := g.directory.View().Config; config != nil {
		keysInUse = config.RequiresKeys()
		for i := range config.Routes {
			longest = max(longest, config.Routes[i].Retain)
		}
	}
	rules := []retention.Rule{
		{Prefix: budgetPrefix, Keep: budgetRetention, Written: budget.Written},
		{Prefix: suspectPrefix, Keep: retentionFactor*suspectRetention + retentionMargin, Written: crashstore.Written},
		{Prefix: streamPrefix, Keep: retentionFactor*streams.Retention + retentionMargin, Written: streams.Written},
		{Prefix: transcriptPrefix, Keep: retentionFactor*transcript.Retention + retentionMargin, Written: transcript.Written},
	}
	if keysInUse {
		rules = append(rules, retention.Rule{Prefix: organisationBudgetPrefix, Keep: budgetRetention, Written: budget.Written})
	}
	if longest > 0 {
		keep := retentionFactor*longest + retentionMargin
		rules = append(rules, retention.Rule{Prefix: turnPrefix, Keep: keep, Written: turns.Written})
	}
	return rules
}
