package entry

import (
	"github.com/valyala/fasthttp"
)

// serveHealth serves the paths that every port has.
func (e *Entry) serveHealth(ctx *fasthttp.RequestCtx, path string) bool {
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if e.isDraining() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("draining\n")
			return true
		}
		if !e.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("starting\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	default:
		return false
	}
	return true
}

func (e *Entry) isDraining() bool { return e.draining.Load() }

// serveMetrics serves the metrics, which callers do not see.
func (e *Entry) serveMetrics(ctx *fasthttp.RequestCtx, path string) bool {
	if path != "/metrics" {
		return false
	}
	e.metrics.write(ctx)
	return true
}

// Ready reports whether the entry has been ready since its start: every journal had a known owner and every listed sidecar
// had been asked. It stays ready from then on. A takeover elsewhere is no reason for the balancer to leave out every entry
// at once; calls wait for the new owner.
func (e *Entry) Ready() bool {
	if e.ready.Load() {
		return true
	}
	ready := e.fleet.askedAll() && e.allOwned()
	if ready {
		e.ready.Store(true)
	}
	return ready
}

// allOwned reports whether every journal has a known owner.
func (e *Entry) allOwned() bool {
	for j := range e.settings.Journals {
		if e.ownership.shard(j) == nil && e.ownership.address(j) == "" {
			return false
		}
	}
	return true
}
