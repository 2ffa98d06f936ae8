package budget_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// fakeRecords is an in-memory key-value service that can lose answers or be unavailable.
type fakeRecords struct {
	items      map[string]ports.KeyValue
	revision   int64
	loseAnswer bool // The answer to the next write is lost after the write took effect.
	down       bool // All calls fail.
}

// CompareAndSwap implements budget.CompareAndSwapper.
func (f *fakeRecords) CompareAndSwap(_ context.Context, key string, value []byte, expected int64) (int64, *ports.KeyValue, error) {
	if f.down {
		return 0, nil, ports.ErrUnavailable
	}
	if item := f.items[key]; item.Revision != expected {
		return 0, &item, nil
	}
	f.revision++
	f.items[key] = ports.KeyValue{Key: key, Value: value, Revision: f.revision}
	if f.loseAnswer {
		f.loseAnswer = false
		return 0, nil, ports.ErrAmbiguous
	}
	return f.revision, nil, nil
}

// fakePeers recalls tokens from the accounts of other processes.
type fakePeers struct{ accounts []*budget.Accounts }

// Recall implements budget.Recaller.
func (p *fakePeers) Recall(_ context.Context, program string) int {
	tokens := 0
	for _, a := range p.accounts {
		tokens += a.ReleaseUnused(program)
	}
	return tokens
}

func newAccounts(r *fakeRecords, peers *fakePeers, holder string) *budget.Accounts {
	return budget.NewAccounts(r, peers, budget.Options{Prefix: "b/", Holder: holder, Retain: time.Minute})
}

func newRecords() *fakeRecords { return &fakeRecords{items: make(map[string]ports.KeyValue)} }

// TestAccountsOfOrganisationsAreSeparate guards against a program that uses the budget of another organisation's program, and
// against other keys where there are no organisations.
func TestAccountsOfOrganisationsAreSeparate(t *testing.T) {
	is := is.New(t)
	records := newRecords()
	a := budget.NewAccounts(records, &fakePeers{}, budget.Options{Prefix: "b/", OrganisationPrefix: "o/", Holder: "a", Retain: time.Minute})
	for _, owner := range [][2]string{{"", "p"}, {"x", "p"}, {"x/y", "p"}, {"x", "y/p"}, {"", "x/p"}} {
		_, err := a.Reserve(t.Context(), budget.Account(owner[0], owner[1]), 10, 10)
		is.NoErr(err)
	}
	is.Equal(slices.Sorted(maps.Keys(records.items)), []string{"b/p", "b/x/p", "o/x%2Fy/p", "o/x/p", "o/x/y/p"})
}

// TestBudgetHoldsAcrossProcessesAndRestarts lets processes that may die at any moment use as many tokens as they can.
// Together they must not use more than the budget plus the maximum of one call.
func TestBudgetHoldsAcrossProcessesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := newRecords()
		total := rapid.IntRange(0, 2000).Draw(t, "budget")
		const maxTokens = 100
		processes := make([]*budget.Accounts, 3)
		for i := range processes {
			processes[i] = newAccounts(records, &fakePeers{}, string(rune('a'+i)))
		}
		spent := 0
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // The process dies and a new one starts.
				processes[i] = newAccounts(records, &fakePeers{}, string(rune('A'+step)))
			case 1:
				records.loseAnswer = true
			case 2: // The process passes tokens to another.
				if processes[i].Withdraw(t.Context(), "p", total, maxTokens) == nil {
					processes[(i+1)%3].DepositAndReserve("p", maxTokens, 0)
				}
			default:
				r, err := processes[i].Reserve(t.Context(), "p", total, maxTokens)
				if err != nil {
					continue
				}
				used := rapid.IntRange(0, maxTokens).Draw(t, "used")
				spent += used
				r.Settle(used)
			}
		}
		if spent > total+maxTokens {
			t.Fatalf("%d tokens were used of a budget of %d", spent, total)
		}
	})
}

func TestGrantWithLostAnswerIsUsed(t *testing.T) {
	is := is.New(t)
	records := newRecords()
	a := newAccounts(records, &fakePeers{}, "a")
	records.loseAnswer = true
	_, err := a.Reserve(t.Context(), "p", 200, 100)
	is.True(errors.Is(err, ports.ErrAmbiguous))
	for range 2 { // the grant whose answer was lost suffices for both calls
		_, err = a.Reserve(t.Context(), "p", 200, 100)
		is.NoErr(err)
	}
	is.Equal(records.revision, int64(1))
}

// Guards against tokens that are lost although nobody used them, so that a program is refused: the store is slow, an attempt to
// raise the grant gets no answer, another one neither, and the first takes effect after both.
func TestGrantThatTakesEffectLateIsUsed(t *testing.T) {
	is := is.New(t)
	late := &lateRecords{fakeRecords: newRecords()}
	a := budget.NewAccounts(late, &fakePeers{}, budget.Options{Prefix: "b/", Holder: "a", Retain: time.Minute})
	for range 3 {
		_, err := a.Reserve(context.Background(), "p", 400, 100)
		is.True(errors.Is(err, ports.ErrAmbiguous))
	}
	late.applyFirst()
	for range 5 { // 400 tokens and those of one call
		_, err := a.Reserve(context.Background(), "p", 400, 100)
		is.NoErr(err)
	}
	_, err := a.Reserve(context.Background(), "p", 400, 100)
	is.True(errors.Is(err, budget.ErrSpent))
}

// lateRecords answers no write until applyFirst, which applies the first of them.
type lateRecords struct {
	*fakeRecords
	first   func()
	applied bool
}

// CompareAndSwap implements budget.CompareAndSwapper.
func (l *lateRecords) CompareAndSwap(ctx context.Context, key string, value []byte, expected int64) (int64, *ports.KeyValue, error) {
	if l.applied {
		return l.fakeRecords.CompareAndSwap(ctx, key, value, expected)
	}
	if l.first == nil {
		l.first = func() { _, _, _ = l.fakeRecords.CompareAndSwap(ctx, key, value, expected) }
	}
	return 0, nil, ports.ErrAmbiguous
}

func (l *lateRecords) applyFirst() {
	l.first()
	l.applied = true
}

func TestUnusedTokensOfOtherProcessesAreRecalledBeforeABudgetIsSpent(t *testing.T) {
	is := is.New(t)
	records := newRecords()
	first := newAccounts(records, &fakePeers{}, "first")
	r, err := first.Reserve(t.Context(), "p", 200, 100)
	is.NoErr(err)
	r.Settle(10)
	second := newAccounts(records, &fakePeers{accounts: []*budget.Accounts{first}}, "second")
	for range 2 {
		r, err := second.Reserve(t.Context(), "p", 200, 100)
		is.NoErr(err)
		r.Settle(20)
	}
	_, err = newAccounts(records, &fakePeers{}, "third").Reserve(t.Context(), "p", 200, 200)
	is.True(errors.Is(err, budget.ErrSpent)) // no other process releases tokens
}

func TestGrantedTokensNeedNoService(t *testing.T) {
	is := is.New(t)
	records := newRecords()
	a := newAccounts(records, &fakePeers{}, "a")
	r, err := a.Reserve(t.Context(), "p", 5000, 100)
	is.NoErr(err)
	r.Settle(30)
	records.down = true
	is.True(a.TryReserve("p", 100) != nil)
	is.Equal(a.Shortfall("p", 100), 0)
	_, err = a.Reserve(t.Context(), "new", 5000, 100)
	is.True(errors.Is(err, ports.ErrUnavailable))
}
