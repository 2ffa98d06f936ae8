package membership

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDeltasDeliverAllFacts guards against facts that never arrive because packets were lost. One node publishes at random
// while packets are lost. Once no more packets are lost, every other node must hold all facts of that node, byte for byte.
// No packet may exceed the maximum size.
func TestDeltasDeliverAllFacts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxPacket = rapid.IntRange(minMaxPacket, 1400).Draw(rt, "max packet")
		f := newFabric(t, cfg, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 12).Draw(rt, "entries"), 1)
		publisher := f.nodes[0]
		f.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,120}`), 1, 30, rapid.ID).Draw(rt, "sidecars")
		publisher.SetSidecars(f.now, ids)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			id := rapid.SampledFrom(ids).Draw(rt, "sidecar")
			status := Status{Healthy: true, Slots: rapid.IntRange(1, 99).Draw(rt, "slots"), Incarnation: "run"}
			publisher.ReportSidecar(f.now, id, status, Load{Running: rapid.IntRange(0, 99).Draw(rt, "running")})
			publisher.SetFences(f.now, []Fence{{Journal: rapid.IntRange(0, 50).Draw(rt, "journal"), Number: rapid.Uint64Range(1, 1e9).Draw(rt, "number")}})
			f.run(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
		}
		f.loss = 0
		f.run(15 * time.Second)
		for _, h := range f.nodes[1:] {
			requireSameFacts(rt, publisher, h)
		}
		if f.largestPacket > cfg.MaxPacket {
			rt.Fatalf("a packet has %d bytes, more than %d", f.largestPacket, cfg.MaxPacket)
		}
	})
}

// requireSameFacts checks that h holds all facts of the publisher. The bodies of confirmations may differ.
func requireSameFacts(rt *rapid.T, publisher, h *host) {
	held := h.byKey[publisher.local.key]
	if held == nil {
		rt.Fatalf("%s does not know %s", h.identity.ID, publisher.identity.ID)
	}
	for i := range publisher.local.streams {
		for key, f := range publisher.local.streams[i].facts {
			got := held.streams[i].facts[key]
			if got == nil || (key.kind != kindConfirm && !bytes.Equal(got.body, f.body)) {
				rt.Fatalf("%s: fact %v of %s is missing or differs", h.identity.ID, key, publisher.identity.ID)
			}
		}
	}
}

// TestRefutedSuspicionsCauseNoDeaths checks that suspicions of live entries are refuted. Entries are paused at random while
// 2 % of the packets are lost. Entries that were never paused must never be seen dead, and all must be alive in the end.
func TestRefutedSuspicionsCauseNoDeaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFabric(t, DefaultConfig(), rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(4, 16).Draw(rt, "entries"), 1)
		f.runUntilAllAlive()
		f.loss = 0.02
		paused := make(map[string]bool)
		for range rapid.IntRange(1, 4).Draw(rt, "faults") {
			victim := rapid.SampledFrom(f.nodes).Draw(rt, "victim")
			pause := time.Duration(rapid.IntRange(100, 4000).Draw(rt, "pause ms")) * time.Millisecond
			paused[victim.identity.ID] = true
			victim.frozen = true
			f.requireAlive(rt, pause, paused)
			f.unfreeze(victim)
			f.requireAlive(rt, 2*time.Second, paused)
		}
		f.loss = 0
		f.run(20 * time.Second)
		if alive := f.countViews(Alive); alive != f.livePairs() {
			rt.Fatalf("%d of %d views show the other entry alive", alive, f.livePairs())
		}
	})
}

// requireAlive runs for d and checks that only entries in except are dead in any view.
func (f *fabric) requireAlive(rt *rapid.T, d time.Duration, except map[string]bool) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(100 * time.Millisecond)
		for _, h := range f.nodes {
			for _, v := range h.Entries(f.now) {
				if v.State == Dead && !except[v.ID] {
					rt.Fatalf("%s sees %s dead", h.identity.ID, v.ID)
				}
			}
		}
	}
}

// TestFencingNumbersOnlyRise checks that the fencing number of a journal that a node reports never decreases. Several
// entries claim the journal and hand it over, in any order and with any number. In the end every node must report the
// highest number claimed.
func TestFencingNumbersOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFabric(t, DefaultConfig(), rapid.Uint64().Draw(rt, "seed"), 5, 1)
		f.loss = 0.2
		var claimed uint64
		seen := make([]uint64, len(f.nodes))
		for range rapid.IntRange(1, 12).Draw(rt, "claims") {
			owner := rapid.SampledFrom(f.nodes).Draw(rt, "owner")
			number := rapid.Uint64Range(1, 40).Draw(rt, "number")
			claimed = max(claimed, number)
			owner.SetFences(f.now, []Fence{{Journal: 1, Number: number}})
			if rapid.Bool().Draw(rt, "hand over") {
				owner.SetFences(f.now, nil)
			}
			f.run(300 * time.Millisecond)
			for i, h := range f.nodes {
				_, number, _ := h.Owner(f.now, 1)
				if number < seen[i] {
					rt.Fatalf("%s reports fencing number %d after %d", h.identity.ID, number, seen[i])
				}
				seen[i] = number
			}
		}
		f.loss = 0
		f.run(15 * time.Second)
		for _, h := range f.nodes {
			if _, number, _ := h.Owner(f.now, 1); number != claimed {
				rt.Fatalf("%s reports fencing number %d, want %d", h.identity.ID, number, claimed)
			}
		}
	})
}

// FuzzHandle passes arbitrary packets to a node. It must not panic, and its answers must not exceed the maximum size. A
// decoded message must be the same after it is encoded and decoded again.
func FuzzHandle(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	a, _ := New(Identity{ID: "a", Region: "r", Address: "10.0.0.1:1"}, DefaultConfig(), now, rand.New(rand.NewPCG(1, 1)))
	b, _ := New(Identity{ID: "b", Region: "r", Address: "10.0.0.2:1"}, DefaultConfig(), now, rand.New(rand.NewPCG(2, 2)))
	a.SetMembers(now, []Member{{ID: "b", Region: "r", Address: "10.0.0.2:1"}})
	for step, packets := 0, a.Tick(now); step < 6 && len(packets) > 0; step++ {
		f.Add(packets[0].Body)
		packets, _ = []*Node{b, a}[step%2].Handle(now, packets[0].Body)
	}
	for kind := typeProbe; kind <= typeAlive; kind++ {
		f.Add((&message{kind: kind, from: runIdentity{id: "b", epoch: 1}, target: "c"}).encode())
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		m, err := decodeMessage(packet)
		if err != nil {
			return
		}
		again, err := decodeMessage(m.encode())
		if err != nil {
			t.Fatalf("the message cannot be decoded after it is encoded again: %v", err)
		}
		again.size, m.size = 0, 0
		if fmt.Sprintf("%+v", again) != fmt.Sprintf("%+v", m) {
			t.Fatalf("message changed by encoding and decoding: want %+v, got %+v", m, again)
		}
		out, _ := a.Handle(now, packet)
		for _, p := range out {
			if len(p.Body) > DefaultConfig().MaxPacket {
				t.Fatalf("answer of %d bytes exceeds the maximum packet size", len(p.Body))
			}
		}
	})
}
