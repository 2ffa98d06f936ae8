package backend_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
)

func TestAppendDeltaIsTheJSONOfTheEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		line := backend.AppendDelta(nil, string(raw))
		if line[len(line)-1] != '\n' {
			t.Fatalf("%q does not end its line", line)
		}
		var got, want api.Event
		if err := json.Unmarshal(line, &got); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		reference, _ := json.Marshal(api.Event{Kind: api.EventDelta, Text: string(raw)})
		_ = json.Unmarshal(reference, &want)
		if got != want {
			t.Fatalf("decoded %q, want %q", got.Text, want.Text)
		}
	})
}

func BenchmarkDeltaAppended(b *testing.B) {
	buf := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		buf = backend.AppendDelta(buf[:0], " attestation\n")
	}
}

func BenchmarkDeltaMarshalled(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = json.Marshal(api.Event{Kind: api.EventDelta, Text: " attestation\n"})
	}
}
