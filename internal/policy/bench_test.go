package policy

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// largeConfig returns the default configuration with additional organisations and 31 additional models.
func largeConfig(organisations int) *Config {
	c := Default()
	for i := range organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		c.Organisations = append(c.Organisations, Organisation{Name: name, MaxPrograms: i + 1, Budget: Budget{Calls: 1 + i%300, Tokens: 1000 * i}})
	}
	for i := range 31 {
		c.Models = append(c.Models, Model{Name: fmt.Sprintf("model-%02d", i), MaxTokens: 512, Context: 131_072})
	}
	return c.Compile()
}

var benchSizes = []int{100, 800, 2600}

func BenchmarkParse(b *testing.B) {
	for _, n := range benchSizes {
		data, err := largeConfig(n).Encode()
		if err != nil {
			b.Fatal(err)
		}
		compressed, err := compressJSON(largeConfig(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "JSON-bytes")
			b.ReportMetric(float64(len(compressed)), "stored-bytes")
		})
	}
}

func BenchmarkAction(b *testing.B) {
	c := largeConfig(2600)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.Action("archive", "POST", "slips/1234/verify?by=aoife"); !ok {
			b.Fatal("no rule matched")
		}
	}
}

func BenchmarkServe(b *testing.B) {
	tr := NewTracker(Default(), time.Hour, time.Now)
	tr.Observe(0, Source{Kind: SourceStore, RequestedAt: time.Now()})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tr.AwaitFresh(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConfirmations measures how often entries read the key-value service if they exchange state twice a second.
func BenchmarkConfirmations(b *testing.B) {
	const warmup, span = 3 * time.Second, 15 * time.Second
	for _, n := range []int{3, 10, 30} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				kv := newFakeKV()
				reads := runExchanges(b.Context(), kv, n, warmup, span)
				b.ReportMetric(float64(reads)/span.Seconds(), "reads/s")
				b.ReportMetric(float64(len(kv.watchers)), "watches")
			}
		})
	}
}

// runExchanges lets n entries follow kv and exchange their state. It returns the number of reads in the span after the
// warm-up.
func runExchanges(ctx context.Context, kv *fakeKV, n int, warmup, span time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, warmup+span)
	defer cancel()
	s := newTestStore(kv)
	trackers, names := make([]*Tracker, n), make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := range trackers {
		trackers[i] = NewTracker(Default(), DefaultMaxAge, time.Now)
		trackers[i].SetPeers(names[1:], time.Now())
		go func() { _ = trackers[i].Follow(ctx, s, s) }()
	}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	before := 0
	for begun := time.Now(); ctx.Err() == nil; <-ticker.C {
		now := time.Now()
		if now.Sub(begun) < warmup {
			before = kv.readCount()
		}
		for _, tr := range trackers {
			for _, peer := range trackers {
				revision, age := peer.Report(now)
				tr.Observe(revision, Source{Kind: SourcePeer, RequestedAt: now, Age: age})
			}
		}
	}
	return kv.readCount() - before
}
