package sidecar_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// serveOrders makes the fake engine serve a model and execute orders to load another one. Each order takes until release
// is closed. The engine does not check fencing numbers.
func serveOrders(f *fakeServer, release <-chan struct{}) {
	var model atomic.Value
	model.Store("m")
	f.setHandler("/v1/models", func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"data":[{"id":"` + model.Load().(string) + `"}]}`)
	})
	f.setHandler("/v1/orders", func(ctx *fasthttp.RequestCtx) {
		<-release
		var o api.OrderRequest
		_ = json.Unmarshal(ctx.PostBody(), &o)
		model.Store(o.Argument)
		ctx.SetBodyString("{}")
	})
}

// loadOrder returns an order to load the model, under the fencing number of journal 0.
func loadOrder(id, model string, fence, number uint64) api.OrderRequest {
	return api.OrderRequest{ID: id, Kind: api.OrderLoadModel, Argument: model, Fence: api.Fence{Number: fence}, Number: number}
}

func TestOrdersRunOneAtATimeAndInOrder(t *testing.T) {
	is := is.New(t)
	fake := newFakeServer(t)
	release := make(chan struct{})
	serveOrders(fake, release)
	s := startSidecar(t, "engine", fake.Address(), nil)
	code := func(o api.OrderRequest) api.Code { return post(t, s, api.PathOrders, o, nil) }
	is.Equal(code(loadOrder("a", "n", 3, 1)), api.CodeOrderRunning)
	is.Equal(code(loadOrder("b", "o", 3, 2)), api.CodeOrderBusy)
	is.Equal(code(loadOrder("z", "o", 2, 9)), api.CodeOrderStale)   // a deposed sender
	is.Equal(code(loadOrder("a", "n", 4, 1)), api.CodeOrderRunning) // the new owner repeats the order
	close(release)
	eventually(t, "the order ends", func() bool { return code(loadOrder("a", "n", 4, 1)) == api.CodeOK })
	is.Equal(fake.count("/v1/orders"), 1)
	is.Equal(code(loadOrder("c", "o", 4, 5)), api.CodeOK)
	is.Equal(code(loadOrder("late", "p", 4, 4)), api.CodeOrderStale) // an older order of the same sender
	is.Equal(code(loadOrder("again", "o", 4, 6)), api.CodeOK)        // has already taken effect
	other := loadOrder("d", "q", 4, 7)
	other.Incarnation = "another"
	is.Equal(code(other), api.CodeUnavailable)
	is.Equal(fake.count("/v1/orders"), 2)
}

// TestOrderWaitsForRunningCalls checks that an order to load a model waits for the running calls. New calls are refused as
// not run while it waits. After the order, calls for the former model are refused too.
func TestOrderWaitsForRunningCalls(t *testing.T) {
	is := is.New(t)
	fake := newFakeServer(t)
	release := make(chan struct{})
	close(release)
	serveOrders(fake, release)
	gate := make(chan struct{})
	fake.setHandler("/v1/chat/completions", streamCompletion(gate, "whole"))
	s := startSidecar(t, "engine", fake.Address(), nil)
	stream, _ := openCall(t, s, modelCall("first"))
	defer stream.Close()
	eventually(t, "the call runs", func() bool { return fake.count("/v1/chat/completions") == 1 })
	order := loadOrder("a", "n", 3, 1)
	is.Equal(post(t, s, api.PathOrders, order, nil), api.CodeOrderRunning)
	is.Equal(runCall(t, s, modelCall("second")).code, api.CodeUnavailable)
	gate <- struct{}{}
	is.Equal(readToEnd(t, stream).text, "whole")
	eventually(t, "the reserved engine executes the repeated order", func() bool { return post(t, s, api.PathOrders, order, nil) == api.CodeOK })
	is.Equal(fake.count("/v1/orders"), 1)
	is.Equal(runCall(t, s, modelCall("third")).code, api.CodeUnavailable)
	is.Equal(fake.count("/v1/chat/completions"), 1)
}
