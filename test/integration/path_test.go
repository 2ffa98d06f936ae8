package integration

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// A program makes two model calls and a service call through different entries. Its history contains both model calls, and
// the service call takes effect once.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{})
	k := c.newProgram("")
	first := k.chatUntilDone(0, 1, "draft", 24)
	is.True(first != "")
	a := k.service(1, 2, "slips/7/verify", `{"by":"test"}`)
	is.Equal(a.code, api.CodeOK)
	second := k.chatUntilDone(1, 3, "revise", 24)
	is.Equal(k.history(), []string{"draft", first, "revise", second})
	effects := c.effects(k.program + "/2/")
	is.Equal(len(effects), 1)
	for _, n := range effects {
		is.Equal(n, 1)
	}
}

func TestBadInputGetsACode(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, engines: 1, services: 1, entryYAML: "max_body_bytes: 4096\n"})
	k := c.newProgram("")
	chat := chatBody(t, "hello", 8, false)
	tests := []struct {
		name, method, path string
		body               []byte
		want               api.Code
	}{
		{"malformed JSON", "POST", k.callPath(1, "chat/completions"), []byte(`{"model":`), api.CodeBadRequest},
		{"no messages", "POST", k.callPath(1, "chat/completions"), []byte(`{"model":"demo-lm"}`), api.CodeBadRequest},
		{"body over the limit", "POST", k.callPath(1, "chat/completions"), make([]byte, 8192), api.CodeBodyTooLarge},
		{"unknown program", "POST", "/v1/programs/p00/calls/1/chat/completions", chat, api.CodeUnknownProgram},
		{"seq 0", "POST", k.callPath(0, "chat/completions"), chat, api.CodeSeqOutOfRange},
		{"seq far ahead", "POST", k.callPath(5000, "chat/completions"), chat, api.CodeSeqOutOfRange},
		{"seq is not a number", "POST", "/v1/programs/" + k.program + "/calls/x/chat/completions", chat, api.CodeBadRequest},
		{"unknown model", "POST", k.callPath(1, "chat/completions"), []byte(`{"model":"none","messages":[{"role":"user","content":"x"}]}`), api.CodeUnknownService},
		{"unknown service", "POST", k.callPath(1, "services/none/x"), nil, api.CodeUnknownService},
		{"wrong method", "GET", k.callPath(1, "chat/completions"), nil, api.CodeMethodNotAllowed},
		{"unknown path", "GET", "/v2", nil, api.CodeNotFound},
		{"unknown organisation", "POST", "/v1/programs", []byte(`{"organisation":"none","class":"interactive"}`), api.CodeUnknownService},
		{"internal path at the callers' port", "POST", api.PathPeers, []byte(`{}`), api.CodeNotFound},
		{"metrics at the callers' port", "GET", "/metrics", nil, api.CodeNotFound},
		{"operators' path at the callers' port", "GET", api.PathAdminPrograms, nil, api.CodeNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := k.send(0, test.method, test.path, test.body)
			is.NoErr(a.err)
			is.Equal(a.code, test.want)
		})
	}
}

// Guards against an outage caused by readiness checks: an entry must stay ready while the journals of another entry are
// taken over, or a load balancer would stop using every entry.
func TestEntryStaysReadyDuringTakeover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1})
	c.entries[0].kill()
	k := newCaller(t, c)
	for range 100 {
		is.Equal(k.send(1, "GET", "/readyz", nil).status, 200)
		time.Sleep(20 * time.Millisecond)
	}
}
