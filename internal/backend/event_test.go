package backend_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
)

func TestAppendDeltaIsTheJSONOfTheEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		line := backend.AppendDelta(nil, string(raw))
		if line[len(line)-1] != '\n' {
			t.Fatalf("%q does not end with a newline", line)
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

// BenchmarkLedgerRecord measures the memory that an ended non-idempotent call uses after its answer was dropped.
func BenchmarkLedgerRecord(b *testing.B) {
	ledger := backend.NewLedger(backend.Limits{Calls: 1 << 30, Bytes: 0, Idempotent: time.Hour, NonIdempotent: time.Hour})
	fences := backend.NewFences()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	count := 0
	for b.Loop() {
		req := request(1, false)
		req.CallID, req.Program = fmt.Sprintf("program-%024d/1/abcdef01", count), fmt.Sprintf("program-%024d", count)
		started, _ := ledger.Start(req, nil)
		started.Call.Begin(fences, nil)
		started.Call.Complete(&api.Result{Status: 200, Body: make([]byte, 1000)}, api.CodeOK)
		ledger.AddEnded(started.Call)
		count++
	}
	ledger.Sweep(time.Now())
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/record")
	runtime.KeepAlive(ledger)
}
