package sidecar_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// benchChunks is the number of text chunks in the answer to each call of a benchmark.
const benchChunks = 100

// startBench starts an engine that answers immediately, and a sidecar for it.
func startBench(b *testing.B) (engine *transport.Server, s *sidecar.Sidecar) {
	b.Helper()
	chunk := []byte(`data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}` + "\n\n")
	end := []byte(`data: {"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	engine, err := transport.Listen("127.0.0.1:0", func(ctx *requestCtx) {
		if string(ctx.Path()) != pathChat {
			ctx.SetBodyString(`{"boot_id":"b"}`)
			return
		}
		transport.WriteStream(ctx, "text/event-stream", func(w *bufio.Writer) {
			for range benchChunks {
				_, _ = w.Write(chunk)
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

// benchCalls sends calls one after another, reads each answer to its end, and reports the mean time to the first line of
// text.
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

// BenchmarkExchange measures the heartbeat of an entry that owns one journal, with a sidecar that holds the programs of 64
// journals.
func BenchmarkExchange(b *testing.B) {
	_, s := startBench(b)
	for i := range 64 {
		req := modelCall(fmt.Sprintf("p%d/1", i))
		req.Program, req.Fence.Journal = fmt.Sprintf("program-%024d", i), i
		stream, err := client.Stream(context.Background(), "POST", s.Address(), api.PathCalls, req, false)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = stream.ReadAll()
		stream.Close()
	}
	request := api.ExchangeRequest{Entry: "e1", Fences: []api.Fence{{Journal: 1, Number: 5}}, Renew: []string{fmt.Sprintf("program-%024d", 1)}}
	answerBytes := 0
	b.ReportAllocs()
	for b.Loop() {
		var answer json.RawMessage
		if err := client.JSON(context.Background(), "POST", s.Address(), api.PathExchange, &request, &answer); err != nil {
			b.Fatal(err)
		}
		answerBytes = len(answer)
	}
	b.ReportMetric(float64(answerBytes), "B/answer")
}
