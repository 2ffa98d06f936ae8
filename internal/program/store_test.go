package program

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// memoryChunks stores the chunks of snapshots in memory.
type memoryChunks struct {
	chunks map[string][]byte
	heads  [][]byte
}

func (m *memoryChunks) Capture(f func()) error { f(); return nil }

func (m *memoryChunks) WriteHead(data []byte) error { m.heads = append(m.heads, data); return nil }

func (m *memoryChunks) WriteChunk(data []byte) (string, error) {
	id := fmt.Sprint(len(m.chunks))
	m.chunks[id] = data
	return id, nil
}

func (m *memoryChunks) Keep(id string) error {
	if m.chunks[id] == nil {
		return fmt.Errorf("chunk %s does not exist", id)
	}
	return nil
}

func (m *memoryChunks) ReadChunks(ids []string) ([][]byte, error) {
	out := make([][]byte, len(ids))
	for i, id := range ids {
		out[i] = m.chunks[id]
	}
	return out, nil
}

// journalModel models a journal in memory: a store, its last snapshot and the records committed since.
type journalModel struct {
	t       *rapid.T
	store   *Store
	chunks  *memoryChunks
	records [][]byte
	ids     []string
	clock   int64
}

func newJournalModel(t *rapid.T) *journalModel {
	return &journalModel{t: t, store: NewStore(0), chunks: &memoryChunks{chunks: make(map[string][]byte)}}
}

// commit adds a record to the journal and applies it, as the owner does.
func (m *journalModel) commit(r *Record) {
	data, err := r.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	m.records = append(m.records, data)
	if err := m.store.Commit(r); err != nil {
		m.t.Fatal(err)
	}
}

// create creates a root program or a sub-agent.
func (m *journalModel) create(tokens int) {
	m.clock++
	parent := ""
	if len(m.ids) > 0 && rapid.Bool().Draw(m.t, "sub-agent") {
		parent = rapid.SampledFrom(m.ids).Draw(m.t, "parent")
	}
	id := NewID("org", parent, fmt.Sprint("key", m.clock))
	record, _, err := m.store.Create(id, Created{Parent: parent, Organisation: "org", Limits: Limits{Tokens: tokens}}, m.clock)
	if err != nil {
		return // The parent has ended.
	}
	m.commit(record)
	m.ids = append(m.ids, id)
}

// call runs one model call, which may be rejected, aborted or committed.
func (m *journalModel) call() {
	if len(m.ids) == 0 {
		return
	}
	m.clock++
	id := rapid.SampledFrom(m.ids).Draw(m.t, "program")
	tree, err := m.store.Tree(id)
	if err != nil {
		return
	}
	info, _ := tree.Info(id)
	question := api.Message{Role: "user", Content: json.RawMessage(fmt.Sprintf("%q", fmt.Sprint("question ", m.clock)))}
	maxTokens := rapid.IntRange(1, 60).Draw(m.t, "max tokens")
	maxCharge := PromptTokens([]api.Message{question}) + maxTokens
	begun, err := tree.Begin(context.Background(), BeginRequest{Program: id, Seq: info.NextSeq, Digest: fmt.Sprint(m.clock), MaxCharge: maxCharge, NowMS: m.clock})
	if err != nil {
		return
	}
	defer tree.End(begun.Running)
	if begun.Reserve != nil {
		m.commit(&Record{Program: id, AtMS: m.clock, Reserve: begun.Reserve})
	}
	if rapid.IntRange(0, 4).Draw(m.t, "aborts") == 0 {
		return
	}
	usage := api.Usage{CompletionTokens: rapid.IntRange(0, maxTokens).Draw(m.t, "answer")}
	answer := api.AssistantMessage(fmt.Sprint("answer ", m.clock), nil)
	m.commit(tree.TurnRecord(begun.Running, m.clock, []api.Message{question}, answer, "stop", usage))
}

func (m *journalModel) end() {
	if len(m.ids) > 0 {
		m.clock++
		m.commit(&Record{Program: rapid.SampledFrom(m.ids).Draw(m.t, "ends"), AtMS: m.clock, Ended: &Ended{Reason: "test"}})
	}
}

func (m *journalModel) snapshot() {
	m.chunks.heads = nil
	if err := m.store.WriteSnapshot(m.chunks); err != nil {
		m.t.Fatal(err)
	}
	m.records = nil
	m.store.Evict(rapid.IntRange(0, 2000).Draw(m.t, "resident"))
}

// recover returns the store that a new owner recovers from the snapshot and the records.
func (m *journalModel) recover() *Store {
	store := NewStore(0)
	if err := store.RestoreSnapshot(m.chunks.heads); err != nil {
		m.t.Fatal(err)
	}
	for i, record := range m.records {
		if err := store.Apply(uint64(i), record); err != nil {
			m.t.Fatal(err)
		}
	}
	return store
}

// describe returns the externally visible state of each program of the store, loading unloaded histories.
func (m *journalModel) describe(store *Store) map[string]string {
	out := make(map[string]string)
	for _, id := range m.ids {
		tree, err := store.Tree(id)
		if err != nil {
			out[id] = err.Error()
			continue
		}
		if unloaded := tree.UnloadedHistory(id); unloaded != nil {
			messages, err := unloaded.Load(m.chunks)
			if err != nil {
				m.t.Fatal(err)
			}
			if err := tree.Restore(id, messages); err != nil {
				m.t.Fatal(err)
			}
		}
		info, _ := tree.Info(id)
		history, complete := tree.History(id)
		if !complete {
			m.t.Fatalf("history of program %s is not fully loaded", id)
		}
		out[id] = string(mustMarshal(m.t, info)) + string(mustMarshal(m.t, history))
	}
	return out
}

func mustMarshal(t *rapid.T, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRecoveryRestoresOwnerState checks after random operations that a new owner recovers the owner's state from the
// snapshot and the later records, regardless of what the owner evicted from memory.
func TestRecoveryRestoresOwnerState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJournalModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":   func(*rapid.T) { m.create(0) },
			"call":     func(*rapid.T) { m.call() },
			"end":      func(*rapid.T) { m.end() },
			"snapshot": func(*rapid.T) { m.snapshot() },
			"": func(t *rapid.T) {
				successor, owner := m.describe(m.recover()), m.describe(m.store)
				for id, text := range owner {
					if successor[id] != text {
						t.Fatalf("program %s: state of the owner is %s, of the new owner %s", id, text, successor[id])
					}
				}
			},
		})
	})
}

// TestBudgetIsNeverOverrun checks after random operations and takeovers that the charged and reserved tokens of a tree
// never exceed its budget, neither in the owner's state nor in a recovered one.
func TestBudgetIsNeverOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJournalModel(t)
		const budget = 300
		check := func(t *rapid.T, store *Store) {
			for _, tree := range store.Trees() {
				used := tree.chargedTokens
				for _, p := range tree.programs {
					used += p.reserve + p.inheritedReserve
				}
				if used > budget {
					t.Fatalf("tree %s has charged or reserved %d of %d tokens", tree.root, used, budget)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"create": func(*rapid.T) { m.create(budget) },
			"call":   func(*rapid.T) { m.call() },
			"end":    func(*rapid.T) { m.end() },
			"takeover": func(*rapid.T) {
				m.store = m.recover()
				m.store.InheritReservations()
			},
			"": func(t *rapid.T) {
				check(t, m.store)
				check(t, m.recover())
			},
		})
	})
}

// TestCallsRunInOrder checks that a call waits for the previous one, that a resent call attaches to the running one or
// gets the stored answer, and that a resend with another body is rejected.
func TestCallsRunInOrder(t *testing.T) {
	is := is.New(t)
	store := NewStore(0)
	is.NoErr(store.Commit(&Record{Program: "p1", AtMS: 1, Created: &Created{Organisation: "org"}}))
	tree, apiErr := store.Tree("p1")
	is.True(apiErr == nil)
	first, apiErr := tree.Begin(context.Background(), BeginRequest{Program: "p1", Seq: 1, Digest: "a"})
	is.True(apiErr == nil && first.Started)
	second := make(chan BeginResult)
	go func() {
		begun, _ := tree.Begin(context.Background(), BeginRequest{Program: "p1", Seq: 2, Digest: "b"})
		second <- begun
	}()
	again, apiErr := tree.Begin(context.Background(), BeginRequest{Program: "p1", Seq: 1, Digest: "a"})
	is.True(apiErr == nil && !again.Started && again.Running == first.Running)
	_, apiErr = tree.Begin(context.Background(), BeginRequest{Program: "p1", Seq: 1, Digest: "other"})
	is.Equal(apiErr.Code, api.CodeBodyMismatch)
	question := []api.Message{{Role: "user", Content: json.RawMessage(`"q"`)}}
	record := tree.TurnRecord(first.Running, 2, question, api.AssistantMessage("answer", nil), "stop", api.Usage{})
	is.NoErr(store.Commit(record))
	tree.End(first.Running)
	is.True((<-second).Started)
	is.Equal(store.Commit(record), ErrSuperseded) // A second run of the same seq has no effect.
	stored, apiErr := tree.Begin(context.Background(), BeginRequest{Program: "p1", Seq: 1, Digest: "a"})
	is.True(apiErr == nil)
	is.Equal(api.MessageText(stored.Stored.Answer), "answer")
}
