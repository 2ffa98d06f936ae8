package kv_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/standin/kv"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// FuzzRequests checks that no request body crashes the stand-in, causes a response that is not JSON or a server error, or
// advances the revision by more than one.
func FuzzRequests(f *testing.F) {
	server, err := kv.Start(kv.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = server.Close() })
	paths := []string{
		gateway.PathRange, gateway.PathPut, gateway.PathTxn, gateway.PathDeleteRange, gateway.PathLeaseGrant, gateway.PathKeepAlive,
	}
	f.Add(byte(0), []byte(`{"key":"AA==","range_end":"AA==","limit":"-1"}`))
	f.Add(byte(1), []byte(`{"key":"Zm9v","value":"YmFy","lease":"0"}`))
	f.Add(byte(2), []byte(`{"compare":[],"success":[{},{"request_put":{"key":"YQ=="}},{"request_delete_range":{"key":"Yg==","range_end":"YQ=="}}]}`))
	f.Add(byte(3), []byte(`{"key":"/w==","range_end":"AA=="}`))
	f.Add(byte(4), []byte(`{"TTL":"9223372036854775807"}`))
	f.Add(byte(5), []byte(`{"ID":null}`))
	f.Fuzz(func(t *testing.T, path byte, body []byte) {
		before := server.Stats().Revision
		url := "http://" + server.Address() + paths[int(path)%len(paths)]
		resp, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var response json.RawMessage
		if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
			t.Fatalf("status %d: response is not JSON: %v", resp.StatusCode, err)
		}
		if resp.StatusCode >= 500 || server.Stats().Revision > before+1 {
			t.Fatalf("status %d, revision %d, revision before the request %d", resp.StatusCode, server.Stats().Revision, before)
		}
	})
}

func TestOneTransactionHasOneRevision(t *testing.T) {
	is := is.New(t)
	server, err := kv.Start(kv.Options{Listen: "127.0.0.1:0"})
	is.NoErr(err)
	defer server.Close()
	client := transport.NewClient(transport.ClientOptions{})
	put := func(key string) gateway.RequestOp {
		return gateway.RequestOp{Put: &gateway.PutRequest{Key: []byte(key), Value: []byte("v")}}
	}
	in := gateway.TxnRequest{Success: []gateway.RequestOp{put("a"), put("b"), put("c")}}
	var out gateway.TxnResponse
	is.NoErr(client.JSON(context.Background(), "POST", server.Address(), gateway.PathTxn, in, &out))
	is.Equal(out.Header.Revision, gateway.Int(2))
	var found gateway.RangeResponse
	all := gateway.RangeRequest{Key: []byte("a"), RangeEnd: []byte("z"), Limit: 2}
	is.NoErr(client.JSON(context.Background(), "POST", server.Address(), gateway.PathRange, all, &found))
	is.True(found.More)
	is.Equal(found.Count, gateway.Int(3))
	is.Equal(found.KVs[1].ModRevision, gateway.Int(2))
	in.Compare = []gateway.Compare{{Target: gateway.CompareMod, Result: gateway.CompareEqual, Key: []byte("a"), ModRevision: 1}}
	in.Failure = []gateway.RequestOp{{Range: &gateway.RangeRequest{Key: []byte("a")}}}
	out = gateway.TxnResponse{}
	is.NoErr(client.JSON(context.Background(), "POST", server.Address(), gateway.PathTxn, in, &out))
	is.True(!out.Succeeded)
	is.Equal(out.Header.Revision, gateway.Int(2)) // a failed condition with only reads leaves the revision unchanged
}
