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

// Ready reports whether every journal has a known owner and every listed sidecar has been asked.
func (e *Entry) Ready() bool {
	for j := range e.settings.Journals {
		if e.ownership.shard(j) == nil && e.ownership.address(j) == "" {
			return false
		}
	}
	return e.fleet.askedAll()
}
