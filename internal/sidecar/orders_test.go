package sidecar_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// orderingEngine makes the fake serve a model and carry out orders to load another, each lasting until release is
// closed. It ignores fencing numbers.
func orderingEngine(f *fakeServer, release <-chan struct{}) {
	var model atomic.Value
	model.Store("m")
	f.on("/v1/models", func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"data":[{"id":"` + model.Load().(string) + `"}]}`)
	})
	f.on("/v1/orders", func(ctx *fasthttp.RequestCtx) {
		<-release
		var o api.OrderRequest
		_ = json.Unmarshal(ctx.PostBody(), &o)
		model.Store(o.Argument)
		ctx.SetBodyString("{}")
	})
}

func loadOrder(id, model string, fence, number uint64) api.OrderRequest {
	return api.OrderRequest{ID: id, Kind: api.OrderLoadModel, Argument: model, Fence: api.Fence{Number: fence}, Number: number}
}

func TestOrdersAreTakenOneAtATimeAndInOrder(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	release := make(chan struct{})
	orderingEngine(fake, release)
	s := startSidecar(t, "engine", fake.Address(), nil)
	code := func(o api.OrderRequest) api.Code { return post(t, s, api.PathOrders, o, nil) }
	is.Equal(code(loadOrder("a", "n", 3, 1)), api.CodeOrderRunning)
	is.Equal(code(loadOrder("b", "o", 3, 2)), api.CodeOrderBusy)
	is.Equal(code(loadOrder("z", "o", 2, 9)), api.CodeOrderStale)   // an older giver
	is.Equal(code(loadOrder("a", "n", 4, 1)), api.CodeOrderRunning) // the successor asks for the same order
	close(release)
	eventually(t, "the order ends", func() bool { return code(loadOrder("a", "n", 4, 1)) == api.CodeOK })
	is.Equal(fake.count("/v1/orders"), 1)
	is.Equal(code(loadOrder("c", "o", 4, 5)), api.CodeOK)
	is.Equal(code(loadOrder("late", "p", 4, 4)), api.CodeOrderStale) // an older order of the same giver
	is.Equal(code(loadOrder("again", "o", 4, 6)), api.CodeOK)        // has its effect already
	other := loadOrder("d", "q", 4, 7)
	other.Incarnation = "another"
	is.Equal(code(other), api.CodeUnavailable)
	is.Equal(fake.count("/v1/orders"), 2)
}

// An order to load a model waits for the calls under way; new ones are refused as not run, before and after it.
func TestOrderCutsNoCall(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	release := make(chan struct{})
	close(release)
	orderingEngine(fake, release)
	gate := make(chan struct{})
	fake.on("/v1/chat/completions", answerWith(gate, "whole"))
	s := startSidecar(t, "engine", fake.Address(), nil)
	stream, _ := open(t, s, modelCall("first"))
	defer stream.Close()
	eventually(t, "the call runs", func() bool { return fake.count("/v1/chat/completions") == 1 })
	order := loadOrder("a", "n", 3, 1)
	is.Equal(post(t, s, api.PathOrders, order, nil), api.CodeOrderRunning)
	is.Equal(call(t, s, modelCall("second")).code, api.CodeUnavailable)
	gate <- struct{}{}
	is.Equal(finish(t, stream).text, "whole")
	eventually(t, "the engine awaits the order", func() bool { return post(t, s, api.PathOrders, order, nil) == api.CodeOK })
	is.Equal(fake.count("/v1/orders"), 1)
	is.Equal(call(t, s, modelCall("third")).code, api.CodeUnavailable)
	is.Equal(fake.count("/v1/chat/completions"), 1)
}
