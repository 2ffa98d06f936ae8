package gateway_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
)

// FuzzDecode checks that messages that can be decoded are the same after encoding and decoding them again, and that decoding
// does not panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"7"}}}]}`))
	f.Add([]byte(`{"header":{"revision":7},"kvs":[{"key":"Zm9v","mod_revision":"-1","value":"YmFy","lease":"12"}],"count":"1"}`))
	f.Add([]byte(`{"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"Zm9v"}}]}}`))
	f.Add([]byte(`{"result":{"canceled":true,"compact_revision":"12"}}`))
	f.Add([]byte(`{"result":{"ID":"3","TTL":"0"}}`))
	f.Add([]byte(`{"error":"etcdserver: too many requests","code":8}`))
	f.Add([]byte(`{"compare":[{"target":"MOD","key":"AA==","mod_revision":"\u0031"}],"success":[{"request_put":null}]}`))
	f.Add([]byte(`{"header":{"revision":"9223372036854775808"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, newMessage := range []func() any{
			func() any { return new(gateway.RangeResponse) },
			func() any { return new(gateway.TxnRequest) },
			func() any { return new(gateway.TxnResponse) },
			func() any { return new(gateway.LeaseGrantResponse) },
			func() any { return new(gateway.KeepAliveResponse) },
			func() any { return new(gateway.WatchLine) },
		} {
			first, second := newMessage(), newMessage()
			if json.Unmarshal(data, first) != nil {
				continue
			}
			encoded, err := json.Marshal(first)
			if err != nil {
				t.Fatalf("encode the message decoded from %q: %v", data, err)
			}
			if err := json.Unmarshal(encoded, second); err != nil {
				t.Fatalf("decode %s: %v", encoded, err)
			}
			again, err := json.Marshal(second)
			if err != nil || string(again) != string(encoded) {
				t.Fatalf("message %s changed to %s after another round: %v", encoded, again, err)
			}
		}
		if e, ok := gateway.DecodeError(data); ok && reflect.DeepEqual(e, gateway.Error{}) {
			t.Fatalf("%q decoded to an empty error", data)
		}
	})
}

func TestIntegersAreStringsOnTheWire(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(gateway.Header{Revision: 1 << 62})
	is.NoErr(err)
	is.Equal(string(data), `{"revision":"4611686018427387904"}`)
	for _, bad := range []string{`""`, `"1`, `"x"`, `1.5`, `true`, `"9223372036854775808"`} {
		var i gateway.Int
		is.True(json.Unmarshal([]byte(bad), &i) != nil)
	}
}

func TestPrefixEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(string(gateway.PrefixEnd("a/")), "a0")
	is.Equal(gateway.PrefixEnd("a\xff\xff"), []byte("b"))
	is.Equal(gateway.PrefixEnd("\xff"), []byte{0})
	is.Equal(gateway.PrefixEnd(""), []byte{0})
}
