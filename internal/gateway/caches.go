package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// A hub places turns where their prompts are cached, as it knows from the turns that it has placed. A new hub has placed
// none, while the engines still hold the prompts of all programs under way: without asking, it would have each of them read
// again at another engine, just when the backlog of the takeover is worked off.

const (
	// hubSettleTime is how long a process must have been the hub before it asks: gateways that start together change their
	// mind for a few tens of milliseconds.
	hubSettleTime    = 100 * time.Millisecond
	cacheReadTimeout = time.Second // Of one engine; what it held is of no use much later.
	cacheReaders     = 8           // Engines asked at a time, so that a large fleet's answers do not fill the memory.
)

// cacheLoop reads the engines' caches each time the process has become the hub, until ctx ends.
func (g *Gateway) cacheLoop(ctx context.Context) {
	var since time.Time // When the process became the hub; zero while it is not.
	read := false
	for ctx.Err() == nil {
		pause.For(ctx, followStep)
		switch {
		case !g.isHub():
			since, read = time.Time{}, false
		case since.IsZero():
			since = time.Now()
		case !read && time.Since(since) >= hubSettleTime:
			read = g.readCaches(ctx)
		}
	}
}

// readCaches asks all engines once. It reports whether there was one to ask.
func (g *Gateway) readCaches(ctx context.Context) bool {
	engines := g.directory.View().Engines()
	if len(engines) == 0 {
		return false
	}
	began := time.Now()
	var parts, answered atomic.Int64
	var group errgroup.Group
	group.SetLimit(cacheReaders)
	for _, engine := range engines {
		group.Go(func() error {
			n, err := g.readCache(ctx, engine)
			if err != nil {
				g.log.Warn("cache of an engine cannot be read", "server", engine.ID, "error", err)
				return nil // The others' answers are of use without it.
			}
			parts.Add(int64(n))
			answered.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	g.cachesRead.Store(answered.Load())
	g.log.Info("caches of engines read", "engines", len(engines), "answered", answered.Load(), "parts", parts.Load(),
		"after_ms", time.Since(began).Milliseconds())
	return true
}

// readCache asks one engine and notes what it holds. It returns the number of parts.
func (g *Gateway) readCache(ctx context.Context, engine *fleet.BackendServer) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	resp, err := g.pool.Send(ctx, engine.Address, &upstream.Request{
		Method: http.MethodGet, Target: g.codec.CacheTarget(), Host: engine.Address, Repeatable: true,
		Deadline: time.Now().Add(cacheReadTimeout),
		Owns:     g.isAnswerToProbe,
	})
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswerBytes)
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
	g.loads.noteCache(engine.ID, parts)
	return len(parts), nil
}

// isAnswerToProbe reports whether an answer names no call: late answers to calls do.
func (g *Gateway) isAnswerToProbe(status int, h http.Header) bool {
	return g.codec.DecodeAnswer(status, h).CallID == ""
}

// CachesRead returns the number of engines whose caches were read when the process last became the hub.
func (g *Gateway) CachesRead() int { return int(g.cachesRead.Load()) }
