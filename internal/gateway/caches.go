package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/guard"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// The hub places a turn at an engine that has the turn's prompt cached. It knows the caches from the turns that it has
// placed. A new hub has placed none, while the engines still cache the prompts of all running programs. It therefore asks
// the engines for the contents of their caches. Otherwise it would send those programs to other engines, which would have
// to process the prompts again, just while the turns that queued up during the takeover are being served.

const (
	// hubStableTime is how long a process must have been the hub before it asks the engines: gateways that start together
	// change their choice of the hub during the first few tens of milliseconds.
	hubStableTime           = 100 * time.Millisecond
	cacheReadTimeout        = time.Second // For one engine; an older list of its cache is of no use.
	maxConcurrentCacheReads = 8           // Bounds the memory that answers take in a large fleet.
)

// cacheReadLoop reads the lists of the engines' caches each time the process becomes the hub, until ctx ends.
func (g *Gateway) cacheReadLoop(ctx context.Context) {
	var since time.Time // When the process became the hub; zero while it is not.
	read := false
	for ctx.Err() == nil {
		pause.For(ctx, followPollInterval)
		switch {
		case !g.isHub():
			since, read = time.Time{}, false
		case since.IsZero():
			since = time.Now()
		case !read && time.Since(since) >= hubStableTime:
			read = g.readCaches(ctx)
		}
	}
}

// readCaches reads the cache lists of all engines once. It reports whether there was any engine to ask.
func (g *Gateway) readCaches(ctx context.Context) bool {
	engines := g.directory.View().Engines()
	if len(engines) == 0 {
		return false
	}
	start := time.Now()
	var parts, answered atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxConcurrentCacheReads)
	for _, engine := range engines {
		group.Go(func() error {
			var n int
			var err error
			if panicked := guard.Run(g.log, "cache list", func() { n, err = g.readCache(ctx, engine) }); panicked != nil {
				err = panicked
			}
			if err != nil {
				g.log.Warn("cannot read cache list of engine", "server", engine.ID, "error", err)
				return nil // The answers of the other engines are still used.
			}
			parts.Add(int64(n))
			answered.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	g.cachesRead.Store(answered.Load())
	g.log.Info("caches of engines read", "engines", len(engines), "answered", answered.Load(), "parts", parts.Load(),
		"after_ms", time.Since(start).Milliseconds())
	return true
}

// readCache reads and records the cache list of one engine. It returns the number of cached prompt parts.
func (g *Gateway) readCache(ctx context.Context, engine *fleet.BackendServer) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	sentAt := time.Now()
	g.limiter.Charge(sentAt, engine.ID, engine.Born)
	resp, err := g.pool.Send(ctx, engine.Address, &upstream.Request{
		Method: http.MethodGet, Target: g.codec.CacheTarget(), Host: engine.Address, Repeatable: true,
		Deadline: time.Now().Add(cacheReadTimeout),
		Matches:  g.isAnswerToProbe, OnMalformed: g.brokenAnswer(engine, ""),
	})
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	answer := g.codec.DecodeAnswer(resp.Status, resp.Header)
	g.recordLimit(engine, answer, sentAt)
	g.recordLeaving(engine, answer, resp.Status)
	account := g.buffers.NewAccount()
	defer account.Release()
	body, err := resp.ReadAll(maxAnswerBytes, account)
	if err != nil {
		return 0, err
	}
	if resp.Status != http.StatusOK {
		return 0, fmt.Errorf("the engine answered %d", resp.Status)
	}
	parts, err := g.codec.DecodeCache(body)
	if err != nil {
		return 0, err
	}
	g.loads.recordCache(engine.ID, parts)
	return len(parts), nil
}

// isAnswerToProbe reports whether an answer names no call. Late answers to earlier calls on the same connection name theirs.
func (g *Gateway) isAnswerToProbe(h upstream.Head) bool {
	return g.codec.DecodeAnswer(h.Status, h.Header).CallID == ""
}

// CachesRead returns the number of engines whose cache lists were read when the process last became the hub.
func (g *Gateway) CachesRead() int { return int(g.cachesRead.Load()) }
