package sidecar_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
)

func TestModelCallStreamsTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler("/v1/chat/completions", streamCompletion(nil, "a \"b\"\n", "é", "c"))
	s := startSidecar(t, sidecar.KindEngine, f.Address(), nil)
	req := modelCall("p1/1")
	req.Model.Params = json.RawMessage(`{"temperature":0.5,"program":"other"}`)
	got := runCall(t, s, req)
	is.Equal(got.code, api.CodeOK)
	is.Equal(got.text, "a \"b\"\néc")
	is.Equal(got.result.Usage.PromptTokens, 5)
	is.Equal(got.result.FinishReason, "stop")
	var body map[string]any
	is.NoErr(json.Unmarshal([]byte(f.body("/v1/chat/completions")), &body))
	is.Equal(body["program"], "p1")
	is.Equal(body["request_id"], "p1/1#1")
	is.Equal(body["temperature"], 0.5)
}

func TestServiceCallPassesTheRequestOn(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.setHandler("/stamp", func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(409)
		ctx.SetContentType("text/x-slip")
		ctx.SetBodyString(string(ctx.Method()) + string(ctx.RequestURI()) + string(ctx.Request.Header.Peek("Idempotency-Key")))
	})
	s := startSidecar(t, sidecar.KindService, f.Address(), nil)
	got := runCall(t, s, serviceCall("p1/2", false))
	is.Equal(got.code, api.CodeOK) // the call ran, although the service answered with an error
	is.Equal(got.result.Status, 409)
	is.Equal(got.result.ContentType, "text/x-slip")
	is.Equal(string(got.result.Body), "POST/stamp?x=1p1/2")
	is.Equal(f.body("/stamp"), `{"slip":1}`)
}
