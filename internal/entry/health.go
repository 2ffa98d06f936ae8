package entry

import (
	"github.com/valyala/fasthttp"
)

// serveHealth handles the health and readiness paths, which every port has. It returns false for other paths.
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

// serveMetrics handles the metrics path, which the callers' port does not have. It returns false for other paths.
func (e *Entry) serveMetrics(ctx *fasthttp.RequestCtx, path string) bool {
	if path != "/metrics" {
		return false
	}
	e.metrics.write(ctx)
	return true
}

// Ready reports whether the entry has become ready: at some time since its start, every journal had a known owner and
// every listed sidecar had been contacted. It stays ready from then on. Otherwise the takeover of one journal would make
// the load balancer remove all entries at the same time, although calls only have to wait for the new owner.
func (e *Entry) Ready() bool {
	if e.ready.Load() {
		return true
	}
	ready := e.fleet.allContacted() && e.allOwned()
	if ready {
		e.ready.Store(true)
	}
	return ready
}

// allOwned reports whether every journal has a known owner.
func (e *Entry) allOwned() bool {
	for j := range e.settings.Journals {
		if e.ownership.shard(j) == nil && e.ownership.ownerAddress(j) == "" {
			return false
		}
	}
	return true
}
