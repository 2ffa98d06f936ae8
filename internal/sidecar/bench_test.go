package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// benchPieces is the number of pieces of text in a benchmark's answer.
const benchPieces = 100

// startBench starts an engine that answers at once and a sidecar before it.
func startBench(b *testing.B) (engine *transport.Server, s *sidecar.Sidecar) {
	b.Helper()
	piece := []byte(`data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}` + "\n\n")
	end := []byte(`data: {"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	engine, err := transport.Listen("127.0.0.1:0", func(ctx *requestCtx) {
		if string(ctx.Path()) != pathChat {
			ctx.SetBodyString(`{"boot_id":"b"}`)
			return
		}
		transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
			for range benchPieces {
				_, _ = w.Write(piece)
				_ = w.Flush()
			}
			_, _ = w.Write(end)
			_ = w.Flush()
		})
	}, transport.ServerOptions{})
	if err != nil {
		b.Fatal(err)
	}
	config := sidecar.Default()
	config.Name, config.Listen, config.Kind, config.Backend = "s1", "127.0.0.1:0", sidecar.KindEngine, engine.Address()
	config.LingerTimeout, config.LedgerCalls = 0, 10_000_000
	s, err = sidecar.Start(context.Background(), config, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		_ = engine.Shutdown(ctx)
	})
	return engine, s
}

// benchCalls sends one call after the other, reads each answer to its end and reports the time to its first line of text.
func benchCalls(b *testing.B, address, path string, body func(i int) any, isText func(line []byte) bool) {
	b.ReportAllocs()
	var first time.Duration
	calls := 0
	for b.Loop() {
		begun := time.Now()
		stream, err := client.Stream(context.Background(), "POST", address, path, body(calls), false)
		if err != nil {
			b.Fatal(err)
		}
		calls++
		seen := false
		for {
			line, err := stream.ReadLine()
			if err == io.EOF {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
			if !seen && isText(line) {
				seen = true
				first += time.Since(begun)
			}
		}
		stream.Close()
	}
	b.ReportMetric(float64(first.Microseconds())/float64(calls), "µs/first-token")
}

func BenchmarkCallDirect(b *testing.B) {
	engine, _ := startBench(b)
	benchCalls(b, engine.Address(), pathChat, func(int) any { return modelCall("p1/1").Model },
		func(line []byte) bool { return len(line) > 6 })
}

func BenchmarkCallThroughSidecar(b *testing.B) {
	_, s := startBench(b)
	benchCalls(b, s.Address(), api.PathCalls, func(i int) any { return modelCall(fmt.Sprintf("p1/%d", i)) },
		func(line []byte) bool { return string(line[:15]) == `{"kind":"delta"` })
}
